"""Simulation of one daemon: its clock, its targets and the execution of its effects."""

import heapq
import itertools
import random
import typing

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.engine import reducer
from hyssopproxy.engine import state as states

HOME = "domain-a"
DOMAINS = (HOME, "domain-b", "domain-c")
STORE = "10.0.0.1:80"


@attrs.define(eq=False)
class Replica:
    """A simulated target; its attributes may be changed during a test."""

    entry: model.TargetEntry
    rng: random.Random
    service_time_s: float = 0.02
    network_delay_s: float = 0.0
    shed_fraction: float = 0.0
    failure_fraction: float = 0.0
    is_down: bool = False  # connections are refused
    is_silent: bool = False  # requests get no answer
    fixed_outcome: model.Outcome | None = None  # immediate outcome of each request
    is_leaving: bool = False  # states so in each answer
    closed_until: float = 0.0  # refuses requests until then and states the time
    pause_period_s: float = 0.0
    pause_length_s: float = 0.0
    pause_phase_s: float = 0.0
    has_queue: bool = False  # requests beyond its slots wait, in order of arrival
    slots_free_at: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    paused_arrivals: list[float] = attrs.field(factory=list)  # arrivals during a pause

    def respond(
        self, now: float, network_delay_s: float | None = None
    ) -> tuple[float, model.Outcome] | None:
        """Return the delay and outcome of a request, or None if it gets no answer.

        `network_delay_s` overrides the attribute of that name, which applies to daemons in `HOME`.
        """
        if network_delay_s is None:
            network_delay_s = self.network_delay_s
        if self.is_down:
            return network_delay_s, model.Outcome.CONNECT
        if self.is_silent:
            return None
        if self.fixed_outcome is not None:
            return network_delay_s + 0.001, self.fixed_outcome
        self.arrivals.append(now)
        if now < self.closed_until:
            return network_delay_s + 0.001, model.Outcome.SHED
        draw = self.rng.random()
        if draw < self.shed_fraction:
            return network_delay_s + 0.001, model.Outcome.SHED
        if draw < self.shed_fraction + self.failure_fraction:
            return network_delay_s + 0.002, model.Outcome.RESET
        delay = network_delay_s + self.service_time_s * self.rng.lognormvariate(0.0, 0.3)
        if self.pause_period_s:
            phase = (now + self.pause_phase_s) % self.pause_period_s
            if phase < self.pause_length_s:
                self.paused_arrivals.append(now)
                delay += self.pause_length_s - phase
        if self.has_queue:
            delay += self._wait_for_slot(now, delay - network_delay_s)
        return delay, model.Outcome.ANSWERED

    def _wait_for_slot(self, now: float, busy_s: float) -> float:
        """Occupy the slot that is free first; return how long the request waits for it."""
        waits_s = 0.0
        if len(self.slots_free_at) >= self.entry.slots:
            waits_s = max(0.0, heapq.heappop(self.slots_free_at) - now)
        heapq.heappush(self.slots_free_at, now + waits_s + busy_s)
        return waits_s


@attrs.define(eq=False)
class Result:
    """How one request ended."""

    at: float
    effect: typing.Any
    latency_s: float


class World:
    """A daemon with its clock and its targets."""

    def __init__(self, **settings: typing.Any) -> None:
        self.now = 1000.0
        self.rng = random.Random(7)
        values = {
            "ip": "10.1.0.1",
            "failure_domain": HOME,
            "store": STORE,
            "control_port": 99,
            "retry_slack": 56.0,
            **settings,
        }
        policies = policy.from_names({})
        self.state = states.State(
            settings=states.Settings(**values),
            rng=random.Random(3),
            started_at=self.now,
            incarnation=1,
            policies=policies,
        )
        self.replicas: dict[str, Replica] = {}
        self.results: dict[int, Result] = {}
        self.effects: list = []
        self.unreachable_domains: set[str] = set()
        self.network_delay_s: float | None = None  # to other domains; None: as set for each replica
        self._arrival_times: dict[int, float] = {}
        self._queue: list = []
        self._sequence = itertools.count()
        self._revision = 0
        self._cancelled_attempts: set[int] = set()

    # published data

    def publish(self, *changes: typing.Any) -> None:
        """Publish routing tables, entries and evacuations in one listing or watch response."""
        items = []
        for value in changes:
            self._revision += 1
            items.append(model.Change(_key(value), self._revision, value))
        self.post_changes(items)

    def remove(self, entry: model.TargetEntry) -> None:
        """Publish the removal of an entry."""
        self._revision += 1
        self.post_changes([model.Change(_key(entry), self._revision, None)])

    def post_changes(self, items: list[model.Change]) -> None:
        sync = self.state.sync
        if sync.as_of is None:
            sync.read_no = sync.read_no or self.state.next_number()
            sync.source = STORE
            sync.listing = states.Listing()
            page = event.PageRead(sync.read_no, tuple(items), self._revision, None)
            self.post(page)
            return
        sync.read_no = sync.read_no or self.state.next_number()
        sync.source = STORE
        self.post(event.ChangesRead(sync.read_no, tuple(items), self._revision))

    def add_pool(
        self, pool: str, copies: int = 3, slots: int = 6, **fields: typing.Any
    ) -> list[Replica]:
        """Add targets of a pool, each in the next failure domain."""
        replicas = []
        for index in range(copies):
            domain = DOMAINS[index % len(DOMAINS)]
            number = len(self.replicas)
            entry = model.TargetEntry(
                id=f"{pool}-{number}",
                pool=pool,
                address=f"10.2.0.{number}:80",
                failure_domain=domain,
                slots=slots,
                is_draining=False,
                cold_left_s=0.0,
                started_at_ms=number,
            )
            replica = Replica(entry, random.Random(number))
            replica.network_delay_s = 0.0004 if domain == HOME else 0.008
            for name, value in fields.items():
                setattr(replica, name, value)
            self.replicas[entry.id] = replica
            replicas.append(replica)
        return replicas

    def publish_routes(
        self, *routes: model.Route, version: int = 1, **pool_fields: typing.Any
    ) -> None:
        """Publish routes, all pools that have targets, and the targets."""
        names = {replica.entry.pool for replica in self.replicas.values()}
        pools = {name: model.Pool(name, **pool_fields) for name in sorted(names)}
        table = model.RoutingTable(version, routes, pools)
        self.publish(table, *(replica.entry for replica in self.replicas.values()))

    def add_members(self, count: int, domain: str = "domain-b", first: int = 10) -> None:
        """Post gossip from several other daemons."""
        for index in range(count):
            self.receive_gossip(f"10.9.0.{first + index}", domain)

    def receive_gossip(
        self, ip: str, domain: str, version: int = 0, revision: int = 0, heartbeat: int = 1
    ):
        """Post gossip from another daemon; return the effects."""
        record = datagram.MemberRecord(ip, domain, 1, heartbeat, version, revision)
        return self.post(event.GossipReceived(datagram.Gossip(record, ())))

    # time

    def post(self, posted_event: typing.Any) -> list:
        """Post an event at the current time; return its effects."""
        out = reducer.reduce(self.state, posted_event, self.now)
        self.effects.extend(out)
        for returned_effect in out:
            self._execute(returned_effect)
        return out

    def _execute(self, returned_effect: typing.Any) -> None:
        if isinstance(returned_effect, effect.ScheduleEvent):
            self._schedule(returned_effect.at, returned_effect.event)
        elif isinstance(returned_effect, effect.Send):
            self._simulate_attempt(returned_effect)
        elif isinstance(returned_effect, effect.Cancel) and not returned_effect.only_unsent:
            self._cancelled_attempts.add(returned_effect.attempt_no)
        elif isinstance(returned_effect, (effect.Deliver, effect.DeliverSearch, effect.Refuse)):
            arrived = self._arrival_times[returned_effect.query_no]
            self.results[returned_effect.query_no] = Result(
                self.now, returned_effect, self.now - arrived
            )

    def _simulate_attempt(self, send: effect.Send) -> None:
        replica = self.replicas[send.target_id]
        answer = None
        if replica.entry.failure_domain not in self.unreachable_domains:
            answer = replica.respond(self.now, self._delay_to(replica))
        if answer is None:
            answer = send.time_left_s + 0.3, model.Outcome.TIMEOUT
        delay, outcome = answer
        closed_s = max(0.0, replica.closed_until - self.now)
        if replica.is_leaving or closed_s:
            incarnation = send.target_id, send.started_at_ms
            stated = event.TargetStated(*incarnation, replica.is_leaving, closed_s)
            self._schedule(self.now + delay, stated)
        ended = event.AttemptEnded(send.attempt_no, outcome, reply=send.target_id)
        self._schedule(self.now + delay, ended)

    def _delay_to(self, replica: Replica) -> float | None:
        if self.network_delay_s is None:
            return None
        is_same_domain = replica.entry.failure_domain == self.state.settings.failure_domain
        return 0.0004 if is_same_domain else self.network_delay_s

    def _schedule(self, at: float, posted_event: typing.Any) -> None:
        heapq.heappush(self._queue, (at, next(self._sequence), posted_event))

    def run(self, seconds: float) -> None:
        """Advance the clock and process the events that become due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, posted_event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if isinstance(posted_event, event.AttemptEnded):
                if posted_event.attempt_no in self._cancelled_attempts:
                    continue
            self.post(posted_event)
        self.now = end

    def start(self) -> None:
        """Start the periodic tick."""
        self.post(event.Tick())

    # requests

    def send_request(
        self,
        path: str = "/s/x",
        time_left_s: float | None = 1.2,
        host: str = "h",
        key_digest: bytes | None = None,
    ) -> int:
        """Send a request to the daemon; return its number."""
        number = self.state.next_number()
        self._arrival_times[number] = self.now
        request_id = f"id-{number}"
        self.post(event.RequestArrived(number, request_id, host, path, time_left_s, key_digest))
        return number

    def send_load(self, per_s: float, seconds: float, **fields: typing.Any) -> list[int]:
        """Send requests at a steady rate; return their numbers."""
        numbers = []
        for _ in range(int(per_s * seconds)):
            numbers.append(self.send_request(**fields))
            self.run(1.0 / per_s)
        return numbers

    def count_arrivals(self, since: float = 0.0) -> int:
        """Return how many requests have reached targets since a time."""
        return sum(at >= since for replica in self.replicas.values() for at in replica.arrivals)

    def mean_score(self, numbers: list[int], objective_s: float) -> float:
        """Return the mean score of requests: coverage squared, and a tenth of that if late."""
        total = 0.0
        for number in numbers:
            result = self.results.get(number)
            if result is None or isinstance(result.effect, effect.Refuse):
                continue
            coverage = 1.0
            if isinstance(result.effect, effect.DeliverSearch):
                parts = len(result.effect.replies)
                coverage = parts / (parts + result.effect.missing)
            total += coverage**2 * (1.0 if result.latency_s <= objective_s else 0.1)
        return total / len(numbers)


def _key(value: typing.Any) -> str:
    if isinstance(value, model.RoutingTable):
        return "table"
    if isinstance(value, model.Evacuation):
        return f"out/{value.failure_domain}"
    return f"targets/{value.id}"


def search_route(shards: int, **fields: typing.Any) -> model.Route:
    """Return a route for searches over the shards s0, s1 and so on."""
    values = {
        "name": "search",
        "host": "h",
        "prefix": "/s/",
        "is_idempotent": True,
        "timeout_s": 1.2,
        "objective_s": 0.25,
        "max_attempts": 2,
        "shards": tuple(f"s{index}" for index in range(shards)),
        "least_coverage": 0.75,
        "top_k": 5,
        **fields,
    }
    return model.Route(**values)


def plain_route(pool: str = "p", **fields: typing.Any) -> model.Route:
    """Return a route for plain requests to one pool."""
    values = {
        "name": "plain",
        "host": "h",
        "prefix": "/p/",
        "is_idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 0.3,
        "max_attempts": 2,
        "split": (model.WeightedPool(pool, 1.0),),
        **fields,
    }
    return model.Route(**values)


def make_search_world(shards: int = 10, members: int = 7, **fields: typing.Any) -> World:
    """Return a world with one search route, after the daemon has learnt of its peers."""
    world = World()
    for index in range(shards):
        world.add_pool(f"s{index}")
    world.publish_routes(search_route(shards, **fields))
    for index in range(members):
        world.receive_gossip(f"10.9.0.{index + 10}", DOMAINS[index % 3])
    world.start()
    world.run(3.0)
    return world


def make_plain_world(members: int = 0, seconds: float = 1.0, **fields: typing.Any) -> World:
    """Return a world with one plain route that has run for some time."""
    world = World()
    world.add_pool("p")
    world.publish_routes(plain_route(**fields))
    world.add_members(members)
    world.start()
    world.run(seconds)
    return world
