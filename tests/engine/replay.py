"""Replay of an overload without a network: daemons, targets with slots and queues, callers.

One clock drives all daemons, which exchange datagrams. Targets have slots and a bounded queue and
shed when it is full. Callers send at random times to random daemons, honour the retry time up to a
third of the time that they have left, and then retry at another daemon.

`python -m tests.engine.replay` prints the figures of docs/design/admission.md.
"""

import collections
import heapq
import itertools
import random
import sys
import typing

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.platform import runtime
from tests.engine import world as worlds

DAEMONS = 40
# Real searches go to 36 or 54 shards, whose targets have 4 slots, a queue of 24 and some 11 ms. A
# third of the shards and half of the slots keep the replay small; the least coverages leave one and
# two shards to spare.
SHARDS = 12
SLOTS = 2
QUEUE = 12
SERVICE_S = 0.018
CAPACITY_PER_S = 3 * SLOTS / SERVICE_S  # searches that the targets of a shard can serve
USUAL_PER_S = 0.35 * CAPACITY_PER_S
MAX_TRIES = 3
Outcome = model.Outcome


@attrs.frozen
class Kind:
    """A kind of search."""

    path: str
    priority: int
    objective_s: float
    timeout_s: float
    least_coverage: float
    fraction: float  # of the searches


KINDS = (
    Kind("/1/x", priority=1, objective_s=0.24, timeout_s=0.9, least_coverage=0.9, fraction=0.4),
    Kind("/2/x", priority=2, objective_s=0.10, timeout_s=0.4, least_coverage=0.8, fraction=0.6),
)


@attrs.define(eq=False)
class Target:
    """A target with slots and a bounded queue, in order of arrival."""

    entry: model.TargetEntry
    rng: random.Random
    factor: float = 1.0  # of the service time
    is_silent: bool = False
    shed_fraction: float = 0.0
    busy: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class Request:
    """A caller's request with its retries."""

    kind: Kind
    at: float
    tries: int = 0
    sent_at: float = 0.0  # of the last try
    outcome: str = ""
    held_s: float = 0.0  # longest time after which a try was refused without having run
    ended_at: float = 0.0
    refusals: set = attrs.field(factory=set)  # reasons of refusals that had not run


class Daemon(worlds.World):
    """A daemon whose events are in the queue of the replay."""

    def __init__(self, replay: "Replay", **settings: typing.Any) -> None:
        super().__init__(**settings)
        self.replay = replay
        self.requests: dict[int, Request] = {}

    def post(self, posted_event: typing.Any) -> list:
        self.now = self.replay.now
        if isinstance(posted_event, event.AttemptEnded):
            if posted_event.attempt_no in self._cancelled_attempts:
                return []
        out = super().post(posted_event)
        self.effects.clear()
        return out

    def _schedule(self, at: float, posted_event: typing.Any) -> None:
        self.replay.schedule(at, self.post, posted_event)

    def _execute(self, sent: typing.Any) -> None:
        if isinstance(sent, effect.SendPeer):
            self.replay.send_datagram(self, sent)
        elif isinstance(sent, (effect.Deliver, effect.DeliverSearch, effect.Refuse)):
            request = self.requests.pop(sent.query_no, None)
            if request is not None:
                self.replay.end(request, sent)
        elif isinstance(sent, effect.Log):
            self.replay.logs[sent.name] += 1
        else:
            super()._execute(sent)

    def _simulate_attempt(self, send: effect.Send) -> None:
        self.replay.arrive(self, send)


class Replay:
    """The fleet, its targets and its callers."""

    def __init__(
        self,
        policy_name: str,
        shards: int = SHARDS,
        daemons: int = DAEMONS,
        seed: int = 1,
        kinds: tuple[Kind, ...] = KINDS,
        **route: typing.Any,
    ) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.shards = shards
        self.logs: collections.Counter = collections.Counter()
        self.messages: collections.Counter = collections.Counter()
        self.requests: list[Request] = []
        self.partitioned_domain = ""
        self._heap: list = []
        self._sequence = itertools.count()
        self.targets: dict[str, Target] = {}
        for shard, copy in itertools.product(range(shards), range(3)):
            self._add_target(f"s{shard}", copy)
        self.table = self._make_table(kinds, route)
        self.daemons: dict[str, Daemon] = {}
        for index in range(daemons):
            self.start_daemon(f"10.1.{index % 3}.{index // 3}", policy_name)
        self.policy_name = policy_name
        self.run(4.0)

    def _add_target(self, pool: str, copy: int) -> None:
        number = len(self.targets)
        domain = worlds.DOMAINS[copy % 3]
        address = f"10.2.0.{number}:80"
        entry = model.TargetEntry(
            f"{pool}-{copy}", pool, address, domain, SLOTS, False, 0.0, number
        )
        self.targets[entry.id] = Target(entry, random.Random(number))

    def _make_table(self, kinds: tuple[Kind, ...], fields: dict) -> model.RoutingTable:
        routes = []
        for kind in kinds:
            values = {
                "name": f"kind-{kind.priority}",
                "prefix": kind.path[:3],
                "timeout_s": kind.timeout_s,
                "objective_s": kind.objective_s,
                "least_coverage": kind.least_coverage,
                "priority": kind.priority,
                **fields,
            }
            routes.append(worlds.search_route(self.shards, **values))
        pools = {name: model.Pool(name) for name in {t.entry.pool for t in self.targets.values()}}
        return model.RoutingTable(1, tuple(routes), pools)

    def start_daemon(self, ip: str, policy_name: str) -> None:
        domain = worlds.DOMAINS[int(ip.split(".")[2])]
        daemon = Daemon(self, ip=ip, failure_domain=domain, retry_slack=60.0)
        daemon.now = daemon.state.started_at = self.now
        daemon.state.policies = policy.from_names({"admission": policy_name})
        daemon.state.incarnation = round(self.now * 1e6)
        daemon.rng.seed(ip)
        daemon.state.rng.seed(ip)
        self.daemons[ip] = daemon
        daemon.publish(self.table, *(target.entry for target in self.targets.values()))
        daemon.start()
        for seed in list(self.daemons)[:3]:
            if seed != ip:
                daemon.receive_gossip(seed, worlds.DOMAINS[int(seed.split(".")[2])])

    def schedule(self, at: float, function: typing.Callable, *arguments: typing.Any) -> None:
        heapq.heappush(self._heap, (at, next(self._sequence), function, arguments))

    def run(self, seconds: float) -> None:
        """Process everything that is due within a time."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, function, arguments = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            function(*arguments)
        self.now = end

    def send_datagram(self, sender: Daemon, sent: effect.SendPeer) -> None:
        blob = datagram.encode(sent.message)
        assert len(blob) <= 1400
        name = type(sent.message).__name__
        self.messages[name] += 1
        self.messages[f"{name} bytes"] += len(blob)
        receiver = self.daemons.get(sent.ip)
        if receiver is None or self._is_cut(sender, receiver.state.settings.failure_domain):
            return
        message = datagram.decode(blob)
        self.schedule(
            self.now + 0.002, self._receive, sent.ip, runtime.PEER_EVENTS[type(message)](message)
        )

    def _receive(self, ip: str, received: typing.Any) -> None:
        if ip in self.daemons:
            self.daemons[ip].post(received)

    def _is_cut(self, daemon: Daemon, domain: str) -> bool:
        own = daemon.state.settings.failure_domain
        return own != domain and self.partitioned_domain in (own, domain)

    # targets

    def arrive(self, daemon: Daemon, send: effect.Send) -> None:
        """Queue a request at a target, or shed it."""
        target = self.targets[send.target_id]
        domain = target.entry.failure_domain
        is_local = domain == daemon.state.settings.failure_domain
        delay = 0.0004 if is_local else 0.005  # there and back
        if target.is_silent or self._is_cut(daemon, domain):
            self._end_attempt(daemon, send, Outcome.TIMEOUT, send.time_left_s + 0.3)
        elif target.rng.random() < target.shed_fraction or len(target.queue) >= QUEUE:
            self._end_attempt(daemon, send, Outcome.SHED, delay)
        else:
            target.queue.append((daemon, send, delay))
            self._serve(target)

    def _serve(self, target: Target) -> None:
        while target.queue and target.busy < SLOTS:
            daemon, send, delay = target.queue.popleft()
            target.busy += 1
            service_s = SERVICE_S * target.factor * target.rng.lognormvariate(-0.045, 0.3)
            self.schedule(self.now + service_s, self._complete, target, daemon, send, delay)

    def _complete(self, target: Target, daemon: Daemon, send: effect.Send, delay: float) -> None:
        target.busy -= 1
        self._end_attempt(daemon, send, Outcome.ANSWERED, delay)
        self._serve(target)

    def _end_attempt(
        self, daemon: Daemon, send: effect.Send, outcome: Outcome, delay: float
    ) -> None:
        ended = event.AttemptEnded(send.attempt_no, outcome, reply=send.target_id)
        self.schedule(self.now + delay, daemon.post, ended)

    # callers

    def send_load(self, per_s: float, seconds: float) -> list[Request]:
        """Send searches at random times to random daemons and run; return the searches."""
        at, requests = self.now, []
        while True:
            at += self.rng.expovariate(per_s)
            if at >= self.now + seconds:
                break
            weights = [kind.fraction for kind in self.kinds]
            request = Request(self.rng.choices(self.kinds, weights)[0], at)
            requests.append(request)
            self.schedule(at, self.submit, request)
        self.run(seconds)
        self.requests += requests
        return requests

    def submit(self, request: Request) -> None:
        """Send one try of a request."""
        daemon = self.rng.choice(list(self.daemons.values()))
        request.tries += 1
        daemon.now = self.now
        number = daemon.state.next_number()
        daemon._arrival_times[number] = self.now
        daemon.requests[number] = request
        left_s = request.at + request.kind.timeout_s - self.now
        request.sent_at = self.now
        arrived = event.RequestArrived(number, "id", "h", request.kind.path, left_s)
        daemon.post(arrived)

    def end(self, request: Request, answer: typing.Any) -> None:
        """Record an answer; after a refusal, retry as callers do."""
        request.ended_at = self.now
        if not isinstance(answer, effect.Refuse):
            is_late = self.now - request.at > request.kind.objective_s
            request.outcome = "late" if is_late else "good"
            return
        if answer.is_not_run:
            request.outcome = "refused"
            request.refusals.add(answer.reason)
            request.held_s = max(request.held_s, self.now - request.sent_at)
        else:
            request.outcome = "failed"
        left_s = request.at + request.kind.timeout_s - self.now
        if request.tries < MAX_TRIES and left_s > 0.05:
            wait_s = max(0.005, min(answer.retry_after_s, left_s / 3))
            self.schedule(self.now + wait_s, self.submit, request)


class PlainReplay(Replay):
    """The same with plain requests to one pool of ten targets."""

    def _make_table(self, kinds: tuple[Kind, ...], fields: dict) -> model.RoutingTable:
        self.targets.clear()
        for copy in range(10):
            self._add_target("p", copy)
        routes = []
        for kind in kinds:
            values = {
                "name": f"kind-{kind.priority}",
                "prefix": kind.path[:3],
                "timeout_s": kind.timeout_s,
                "objective_s": kind.objective_s,
                "priority": kind.priority,
                **fields,
            }
            routes.append(worlds.plain_route(**values))
        return model.RoutingTable(1, tuple(routes), {"p": model.Pool("p")})


def silence_quarter(replay: Replay) -> None:
    """A quarter of the targets do not answer, no more than one of each shard."""
    for number, target in enumerate(replay.targets.values()):
        target.is_silent = number % 4 == 0


def shed_fifth(replay: Replay) -> None:
    for number, target in enumerate(replay.targets.values()):
        target.shed_fraction = 1.0 if number % 5 == 0 else 0.0


def slow_many(replay: Replay) -> None:
    for number, target in enumerate(replay.targets.values()):
        target.factor = 4.0 if number % 3 == 0 else 1.0


def restore(replay: Replay) -> None:
    for target in replay.targets.values():
        target.is_silent, target.shed_fraction, target.factor = False, 0.0, 1.0


#: Fault -> share of the capacity that is left at the weakest shard.
FAULTS: dict[typing.Callable, float] = {
    restore: 1.0,
    silence_quarter: 2 / 3,
    shed_fifth: 2 / 3,
    slow_many: (2 + 1 / 4) / 3,
}


def fraction_good(requests: list[Request], kind: Kind | None = None) -> float:
    """Return the share of requests that were answered in time."""
    chosen = [request for request in requests if kind in (None, request.kind)]
    return sum(request.outcome == "good" for request in chosen) / max(1, len(chosen))


def run_overload(
    replay: Replay, fault: typing.Callable, factor: float = 3.5, seconds: float = 8.0
) -> tuple[list[Request], float]:
    """Replay an overload; return its searches and the goodput against what targets can serve."""
    replay.send_load(USUAL_PER_S, 4.0)
    fault(replay)
    requests = replay.send_load(factor * USUAL_PER_S, seconds)
    restore(replay)
    possible = min(len(requests), FAULTS[fault] * CAPACITY_PER_S * seconds)
    return requests, fraction_good(requests) * len(requests) / possible


def main(policy_names: list[str]) -> None:
    for policy_name, fault, factor in itertools.product(policy_names, FAULTS, (1.7, 2.5, 3.5)):
        replay = Replay(policy_name)
        requests, goodput = run_overload(replay, fault, factor)
        after = [replay.send_load(USUAL_PER_S, 1.0) for _ in range(5)]
        replay.run(1.5)
        outcomes = collections.Counter(request.outcome for request in requests)
        held = max(request.held_s / request.kind.objective_s for request in requests)
        print(
            f"{policy_name} {fault.__name__} {factor}: goodput {goodput:.2f}, by priority "
            + " ".join(f"{fraction_good(requests, kind):.2f}" for kind in replay.kinds)
            + f", {dict(outcomes)}, held {held:.2f}, after "
            + " ".join(f"{fraction_good(second):.2f}" for second in after),
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:] or ["arrival", "priority"])
