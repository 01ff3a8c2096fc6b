import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import health
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states
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
    assert not attempt.is_silent
    health.record_silent(world.state, attempt, world.now + 0.15)
    assert attempt.is_silent
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
