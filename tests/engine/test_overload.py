"""Replays the load under which several shards have only slow targets."""

import heapq
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import overload
from hyssopproxy.engine import policy
from tests.engine import fleet as fleets
from tests.engine import world as worlds

SHARDS = 42
SERVICE_S = 0.042
OBJECTIVE_S = 0.297
TIME_LEFT_S = 1.2


class QueueingReplica:
    """A target with slots and a queue; it sheds if full or if a deadline passes in the queue."""

    def __init__(self, replica, slots=3, queue=18):
        self.rng = random.Random(replica.entry.id)
        self.slow_factor = 1.0
        self.arrivals = 0
        self._queue = queue
        self._free_at = [0.0] * slots
        self._starts = []  # of the requests that wait

    def respond(self, now, left_s, network_s):
        """Return the delay and outcome of a request."""
        self.arrivals += 1
        arrived_at = now + network_s
        self._starts = [start for start in self._starts if start > arrived_at]
        if len(self._starts) >= self._queue:
            return 2 * network_s, model.Outcome.SHED
        start = max(arrived_at, self._free_at[0])
        if start > now + left_s:
            self._starts.append(now + left_s)
            return left_s + network_s, model.Outcome.SHED
        if start > arrived_at:
            self._starts.append(start)
        service_s = SERVICE_S * self.slow_factor * self.rng.lognormvariate(-0.06, 0.35)
        heapq.heapreplace(self._free_at, start + service_s)
        if start + service_s > now + left_s:
            return left_s + network_s, model.Outcome.FAILED
        return start + service_s - now + network_s, model.Outcome.ANSWERED


class QueueingFleet(fleets.Fleet):
    """Daemons whose targets have queues; callers come back once after a refusal."""

    def __init__(self, per_domain, admission="capacity"):
        self.targets = {}
        route = {"objective_s": OBJECTIVE_S, "least_coverage": 0.95, "max_attempts": 2}
        super().__init__(per_domain, SHARDS, **route)
        self.targets = {name: QueueingReplica(item) for name, item in self.replicas.items()}
        for world in self.worlds.values():
            world.state.policies = policy.from_names({"admission": admission})
            world._simulate_attempt = self._make_simulation(world)

    def _make_simulation(self, world):
        def simulate(send):
            replica = self.replicas[send.target_id]
            is_same = replica.entry.failure_domain == world.state.settings.failure_domain
            delay_s, outcome = self.targets[send.target_id].respond(
                world.now, send.time_left_s, 0.0004 if is_same else 0.004
            )
            ended = event.AttemptEnded(send.attempt_no, outcome, reply=send.target_id)
            world._schedule(world.now + delay_s, ended)

        return simulate

    def slow_down(self, shards, factor):
        for name, target in self.targets.items():
            if self.replicas[name].entry.pool in {f"s{index}" for index in range(shards)}:
                target.slow_factor = factor

    def serve(self, per_s, seconds):
        """Send searches; return the shares answered in time and answered at all."""
        tries = []  # per caller: its arrival and the daemon and number of each try
        for _ in range(round(per_s * seconds)):
            world = next(self._turns)
            number = world.send_request(time_left_s=TIME_LEFT_S)
            tries.append((self.now, [(world, number)]))
            self.run(1.0 / per_s)
            for arrived_at, attempts in tries[-100:]:
                self._come_back(arrived_at, attempts)
        self.run(1.5)
        in_time = answered = 0
        for arrived_at, attempts in tries:
            results = [world.results[number] for world, number in attempts]
            answers = [item for item in results if isinstance(item.effect, effect.DeliverSearch)]
            answered += bool(answers)
            in_time += bool(answers) and answers[0].at - arrived_at <= OBJECTIVE_S
        return in_time / len(tries), answered / len(tries)

    def _come_back(self, arrived_at, attempts):
        result = attempts[0][0].results.get(attempts[0][1])
        if len(attempts) > 1 or result is None or not isinstance(result.effect, effect.Refuse):
            return
        left_s = arrived_at + TIME_LEFT_S - self.now
        if self.now >= result.at + min(result.effect.retry_after_s, left_s / 3) and left_s > 0.1:
            world = next(self._turns)
            attempts.append((world, world.send_request(time_left_s=left_s)))


def play(admission, shards, factor, seconds=10.0):
    fleet = QueueingFleet(12, admission)
    fleet.serve(55.0, 3.0)
    fleet.slow_down(shards, factor)
    return fleet.serve(55.0, seconds)


def test_searches_are_answered_in_time_though_four_shards_have_half_the_capacity():
    """Every search may lack two of its shards, so together the four can serve all of them."""
    in_time, answered = play("capacity", 4, 4.0)
    baseline_in_time, _ = play("all", 4, 4.0)
    assert in_time >= 0.3 and in_time >= 3 * baseline_in_time
    assert answered >= 0.9


def test_some_searches_are_answered_though_four_shards_have_a_fifth_of_the_capacity():
    """Guards against queues so long that no answer of a slow shard arrives before the deadline."""
    _, answered = play("capacity", 4, 10.0, seconds=14.0)
    _, baseline_answered = play("all", 4, 10.0, seconds=14.0)
    assert answered >= 0.2 and answered >= 4 * baseline_answered


def test_shards_that_no_search_needs_are_left_out_without_delay():
    in_time, answered = play("capacity", 2, 10.0, seconds=5.0)
    assert in_time >= 0.97 and answered >= 0.99


@pytest.mark.parametrize("fault", ["", "slow replicas", "errors"])
def test_nothing_is_left_out_or_refused_while_there_is_capacity(fault):
    """One slow target a shard, or targets that fail at random, leave enough capacity."""
    fleet = QueueingFleet(12)
    fleet.serve(55.0, 3.0)
    for name, target in fleet.targets.items():
        if fault == "slow replicas" and fleet.replicas[name].entry.failure_domain == worlds.HOME:
            target.slow_factor = 6.0
    if fault == "errors":
        for world in fleet.worlds.values():
            for target in world.state.targets.values():
                target.failure_rate, target.failure_rate_at = 0.3, fleet.now
    for world in fleet.worlds.values():
        world.state.counters.clear()
    in_time, answered = fleet.serve(55.0, 5.0)
    assert answered == 1.0
    for name in ("searches_scarce", "refused_overloaded"):
        assert sum(world.state.counters[name] for world in fleet.worlds.values()) == 0, name


def test_load_of_the_fleet_is_known_to_every_daemon():
    fleet = QueueingFleet(12)
    fleet.serve(55.0, 12.0)
    loads = [overload.fleet_load(world.state, fleet.now) for world in fleet.worlds.values()]
    assert min(loads) > 0.5 * 55.0 * SERVICE_S and max(loads) < 1.5 * 55.0 * SERVICE_S


@hypothesis.given(
    shares=st.dictionaries(st.text(max_size=3), st.floats(0.0, 0.999), min_size=1, max_size=12),
    may_miss=st.integers(0, 6),
    seed=st.integers(0, 999),
)
def test_admitted_search_gets_the_shards_that_it_needs(shares, may_miss, seed):
    plan = policy.ByCapacity().plan(shares, may_miss, random.Random(seed))
    if not plan.is_refused:
        assert plan.left_out <= plan.scarce == frozenset(shares)
        needed = max(0, len(shares) - may_miss)
        assert len(plan.scarce - plan.left_out) >= needed


def test_pools_get_no_more_searches_than_they_have_capacity_for():
    rng = random.Random(5)
    shares = {"a": 0.5, "b": 0.2, "c": 0.35, "d": 0.05, "e": 0.6}
    sent = dict.fromkeys(shares, 0)
    admitted = 0
    draws = 20_000
    for _ in range(draws):
        plan = policy.ByCapacity().plan(shares, 2, rng)
        if plan.is_refused:
            continue
        admitted += 1
        assert len(plan.left_out) <= 2
        for pool in plan.scarce - plan.left_out:
            sent[pool] += 1
    assert 0.5 < admitted / draws < 0.6, "all of them get e, and two of the others"
    assert all(sent[pool] / draws <= share + 0.02 for pool, share in shares.items())
