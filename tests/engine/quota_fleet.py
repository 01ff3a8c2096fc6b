"""Daemons with one simulated clock and a network with faults, for the tests of quotas."""

import collections
import heapq
import itertools
import random

import attrs
import msgspec

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import reducer
from hyssopproxy.platform import runtime
from tests.engine import world as worlds

SERVICE_S = 0.005


@attrs.define(eq=False)
class Process:
    """One process of a daemon."""

    world: worlds.World
    ip: str
    domain: str
    side: int = 0  # processes of different sides can't reach each other
    is_running: bool = True
    is_old: bool = False  # its version knows nothing of quotas
    frozen_until: float = 0.0
    backlog: list = attrs.field(factory=list)


class QuotaFleet:
    """A fleet whose requests are counted by organisation when they are sent to a target."""

    def __init__(self, size, organisations, seed=1, domains=worlds.DOMAINS, **settings):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loss = self.duplication = self.long_delay = 0.0
        self.settings = {"quota_window_s": 5.0, "quota_overrun": 0.25, "quota_slack": 20.0}
        self.settings.update(settings)
        self.organisations = {owner.name: owner for owner in organisations}
        self.version = 2
        self.runs = {name: [] for name in self.organisations}  # times
        self.refusals = {name: [] for name in self.organisations}
        self.refuse_effects = []
        self.datagrams = self.bytes = 0
        self.held_s = []  # time from arrival until the first attempt or the refusal
        self.waited = collections.Counter()  # by organisation
        self._arrived = {}
        self._queue = []
        self._sequence = itertools.count()
        self._incarnations = itertools.count(1)
        self.domains = domains
        self.ips = [f"10.1.{index % len(domains)}.{index + 1}" for index in range(size)]
        self.processes = {}
        for index, ip in enumerate(self.ips):
            self.start(ip, domains[index % len(domains)])

    def start(self, ip, domain):
        """Start a daemon, or start it again after its process has ended."""
        number = next(self._incarnations)
        seeds = tuple(f"{seed}:99" for seed in self.ips[:3])
        world = worlds.World(ip=ip, failure_domain=domain, seeds=seeds, **self.settings)
        world.now = world.state.started_at = self.now
        world.state.incarnation = number
        world.state.rng.seed(self.rng.random())
        world.add_pool("p", copies=3, slots=5000)
        old = self.processes.get(ip)
        side = old.side if old is not None else 0
        if old is not None:
            old.is_running = False
        process = self.processes[ip] = Process(world, ip, domain, side)
        table = model.RoutingTable(
            1,
            (worlds.plain_route(timeout_s=2.0),),
            {"p": model.Pool("p", max_connections=100_000)},
        )
        entries = [replica.entry for replica in world.replicas.values()]
        world.publish(table, *entries)
        world.effects.clear()
        self.publish_to(process)
        self._schedule(self.now + self.rng.random() * 0.05, process, event.Tick())

    def publish_to(self, process):
        state = process.world.state
        table = attrs.evolve(
            state.table,
            version=self.version,
            key_owners={name.encode(): owner for name, owner in self.organisations.items()},
            requires_keys=True,
        )
        process.world.now = self.now
        process.world.publish(table)
        process.world.effects.clear()

    def set_limit(self, name, rate_per_s, burst, delay_s=0.0):
        """Publish a changed limit, which each daemon gets within some time."""
        self.version += 1
        owner = self.organisations[name]
        self.organisations[name] = attrs.evolve(owner, rate_per_s=rate_per_s, burst=burst)
        for process in self.running():
            self._schedule(self.now + self.rng.random() * delay_s, process, "publish")

    def running(self):
        return [process for process in self.processes.values() if process.is_running]

    def kill(self, ip):
        self.processes[ip].is_running = False

    def restart(self, ip):
        self.start(ip, self.processes[ip].domain)

    def freeze(self, ip, seconds):
        process = self.processes[ip]
        process.frozen_until = max(process.frozen_until, self.now + seconds)

    def request(self, ip, name):
        process = self.processes[ip]
        if not process.is_running:
            return
        number = process.world.state.next_number()
        self._arrived[process, number] = self.now, name
        self._handle(
            process, event.RequestArrived(number, f"id-{number}", "h", "/p/x", 1.5, name.encode())
        )

    def run(self, seconds):
        """Advance the clock."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, process, posted_event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            self._handle(process, posted_event)
        self.now = end

    def send_load(self, name, per_s, seconds, ips=None):
        """Send requests at random times to the daemons given, or all that run."""
        end = self.now + seconds
        while True:
            wait_s = self.rng.expovariate(per_s)
            if self.now + wait_s >= end:
                break
            self.run(wait_s)
            choice = ips or [process.ip for process in self.running()]
            if choice:
                self.request(self.rng.choice(choice), name)
        self.run(end - self.now)

    def owner_of(self, name):
        """Return the process that may grant requests of an organisation, or None."""
        from_name = [
            process
            for process in self.running()
            for number, account in process.world.state.quota.accounts.items()
            if process.world.state.quota.organisations[number].name == name
            and account.started_at <= self.now
        ]
        return from_name[0] if from_name else None

    def most_in_window(self, name, since=0.0):
        """Return the largest number of requests that ran in a sliding window."""
        window_s = self.settings["quota_window_s"]
        times = sorted(at for at in self.runs[name] if at >= since)
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def bound(self, owner):
        """Return the most requests of an organisation that may run in a window."""
        settings = self.settings
        full = owner.rate_per_s * settings["quota_window_s"] + owner.burst
        return full * (1 + settings["quota_overrun"]) + settings["quota_slack"]

    def _schedule(self, at, process, posted_event):
        heapq.heappush(self._queue, (at, next(self._sequence), process, posted_event))

    def restart_later(self, ip, seconds):
        """Start a daemon again after some time."""
        self._schedule(self.now + seconds, ip, "restart")

    def _handle(self, process, posted_event):
        if posted_event == "restart":
            self.restart(process)
            return
        if not process.is_running:
            return
        if self.now < process.frozen_until:
            self._schedule(process.frozen_until + 1e-6, process, posted_event)
            return
        if posted_event == "publish":
            self.publish_to(process)
            return
        state = process.world.state
        state.sync.last_synced_at = self.now
        state.sync.next_read_at = float("inf")
        for returned in reducer.reduce(state, posted_event, self.now):
            self._execute(process, returned)

    def _execute(self, process, returned):
        if isinstance(returned, effect.ScheduleEvent):
            self._schedule(returned.at, process, returned.event)
        elif isinstance(returned, effect.SendPeer):
            self._send(process, returned)
        elif isinstance(returned, effect.Send):
            arrived = self._arrived.pop((process, returned.query_no), None)
            if arrived is not None:
                self.runs[arrived[1]].append(self.now)
                self.waited[arrived[1]] += self.now > arrived[0]
                self.held_s.append(self.now - arrived[0])
            ended = event.AttemptEnded(returned.attempt_no, model.Outcome.ANSWERED, reply="r")
            self._schedule(self.now + SERVICE_S, process, ended)
        elif isinstance(returned, effect.Refuse):
            arrived = self._arrived.pop((process, returned.query_no), None)
            if arrived is not None:
                self.refusals[arrived[1]].append(self.now)
                self.held_s.append(self.now - arrived[0])
                self.refuse_effects.append(returned)
        elif isinstance(returned, effect.Log) and returned.name == "internal_error":
            raise AssertionError(returned.fields)

    def _send(self, process, sent):
        receiver = self.processes.get(sent.ip)
        blob = datagram.encode(sent.message)
        assert len(blob) < 1400
        if isinstance(sent.message, QUOTA_TYPES):
            self.datagrams += 1
            self.bytes += len(blob)
        if receiver is None or receiver.side != process.side or self.rng.random() < self.loss:
            return
        is_local = receiver.domain == process.domain
        message = datagram.decode(blob)
        if process.is_old and isinstance(message, datagram.Gossip):
            records = [_strip(record) for record in (message.sender, *message.records)]
            message = datagram.Gossip(records[0], tuple(records[1:]))
        if isinstance(message, QUOTA_TYPES) and (process.is_old or receiver.is_old):
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            delay_s = 0.0002 if is_local else self.rng.uniform(0.0009, 0.0044)
            if self.rng.random() < self.long_delay:
                delay_s += self.rng.expovariate(1.0)
            posted = runtime.PEER_EVENTS[type(message)](message)
            self._schedule(self.now + delay_s, receiver, posted)


QUOTA_TYPES = (datagram.QuotaAsk, datagram.QuotaAnswer)


def _strip(record):
    return msgspec.structs.replace(record, has_quota=False)
