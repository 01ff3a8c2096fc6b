import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import health
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states
from tests.engine import fleet as fleets
from tests.engine import world as worlds

TYPICAL_LATENCY_S = 0.02


def make_world_and_target():
    world = worlds.make_search_world(4)
    world.send_load(20, 3)
    world.state.pending_observations.clear()
    return world, next(iter(world.state.targets.values()))


def make_attempt(target, sent_at):
    return states.Attempt(
        number=1,
        part=None,
        target=target,
        sent_at=sent_at,
        typical_latency_s=TYPICAL_LATENCY_S,
        hedge_at=sent_at + 2 * TYPICAL_LATENCY_S,
        is_extra=False,
    )


def record_late_answer(world, target, latency_s):
    attempt = make_attempt(target, world.now - latency_s)
    health.record_answer(world.state, attempt, world.now, TYPICAL_LATENCY_S)


def test_late_answer_that_a_known_pause_explains_does_not_raise_slowness():
    world, target = make_world_and_target()
    pattern = world.state.pause_pattern
    pattern.period_s, pattern.length_s = 2.4, 0.1
    for cycle in range(3):
        target.pauses.record(world.now - (3 - cycle) * 2.4, pattern)
    before = health.slowness(target, world.now)
    record_late_answer(world, target, 0.11)
    assert health.slowness(target, world.now) == before
    assert not world.state.pending_observations, "nothing to report"
    assert world.state.counters["answers_paused"] == 1


def test_slowness_rises_little_for_one_late_answer_and_much_for_a_second():
    world, target = make_world_and_target()
    record_late_answer(world, target, 0.4)
    assert health.slowness(target, world.now) < health.SLOW_RATIO
    world.run(0.5)
    record_late_answer(world, target, 0.4)
    assert health.slowness(target, world.now) > health.SLOW_RATIO
    observation = world.state.pending_observations[target.id, datagram.Symptom.LATE]
    assert observation.ratio == pytest.approx(20.0)


def test_answers_delayed_together_count_as_one():
    world, target = make_world_and_target()
    for _ in range(5):
        record_late_answer(world, target, 0.4)
        world.run(0.01)
    assert health.slowness(target, world.now) < health.MAX_SINGLE_LATE_RATIO


def test_missing_answer_is_reported_only_long_after_the_typical_latency():
    world, target = make_world_and_target()
    attempt = make_attempt(target, world.now)
    health.record_silent(world.state, attempt, world.now + 0.1)
    assert not attempt.silent_ratio
    health.record_silent(world.state, attempt, world.now + 0.15)
    assert attempt.silent_ratio
    assert (target.id, datagram.Symptom.SILENT) in world.state.pending_observations


def test_reports_of_failures_of_one_target_are_rate_limited():
    world, target = make_world_and_target()
    for _ in range(10):
        attempt = make_attempt(target, world.now)
        health.record_fault(world.state, attempt, model.Outcome.RESET, world.now)
    assert len(world.state.pending_observations) == 1
    world.state.pending_observations.clear()
    health.record_shed(world.state, target, 0.0, world.now + 0.1)
    assert not world.state.pending_observations
    health.record_shed(world.state, target, 0.0, world.now + 0.6)
    assert len(world.state.pending_observations) == 1


def test_failure_reported_by_another_daemon_weighs_less_than_a_local_one():
    world, target = make_world_and_target()
    observation = states.Observation(target.id, datagram.Symptom.FAILED, world.now)
    assert health.record_reported(world.state, target, observation, world.now)
    reported = health.failure_rate(target, world.now)
    health.record_shed(world.state, target, 0.0, world.now)
    assert 0.0 < reported < health.failure_rate(target, world.now) - reported


def test_missing_answer_is_recorded_again_as_it_gets_later():
    """Its delay shows how long the queue of an overloaded target is."""
    world, target = make_world_and_target()
    attempt = make_attempt(target, world.now)
    ratios = []
    for step in range(1, 31):
        world.state.pending_observations.clear()
        health.record_silent(world.state, attempt, attempt.sent_at + 0.02 * step)
        ratios += [item.ratio for item in world.state.pending_observations.values()]
    assert len(ratios) == 2
    assert all(later >= 2 * earlier for earlier, later in zip(ratios, ratios[1:], strict=False))


def test_missing_answers_of_one_pause_count_as_one_and_later_ones_count_fully():
    world, target = make_world_and_target()
    for _ in range(3):
        attempt = make_attempt(target, world.now - 0.24)
        health.record_silent(world.state, attempt, world.now)
        world.run(0.01)
    assert health.slowness(target, world.now) <= health.MAX_SINGLE_LATE_RATIO
    world.run(0.5)
    for _ in range(3):
        attempt = make_attempt(target, world.now - 0.6)
        health.record_silent(world.state, attempt, world.now)
    assert health.slowness(target, world.now) > 3 * health.MAX_SINGLE_LATE_RATIO


def test_fleet_learns_how_slow_targets_are_from_answers_that_do_not_arrive():
    """Guards against targets that count as twice as slow although their queues last a second.

    Their answers come after the search was answered without them, or not at all.
    """
    fleet = fleets.Fleet(30, shards=10, objective_s=0.25)
    fleet.send_load(40.0, 3.0)
    slow = [replica for replica in fleet.replicas.values() if replica.entry.pool in ("s0", "s1")]
    for replica in slow:
        replica.service_time_s *= 20.0
    fleet.send_load(40.0, 2.0)
    known = [
        health.slowness(world.state.targets_by_id[replica.entry.id], fleet.now)
        for world in fleet.worlds.values()
        for replica in slow
    ]
    known.sort()
    assert known[len(known) // 10] > 4.0
