import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import health
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states
from tests.engine import world as worlds

USUAL_S = 0.02


def make():
    world = worlds.make_search_world(4)
    world.send_load(20, 3)
    world.state.pending_observations.clear()
    return world, next(iter(world.state.targets.values()))


def attempt_to(target, sent_at):
    return states.Attempt(
        number=1,
        part=None,
        target=target,
        sent_at=sent_at,
        typical_latency_s=USUAL_S,
        hedge_at=sent_at + 2 * USUAL_S,
        is_extra=False,
    )


def answer_late(world, target, latency_s):
    attempt = attempt_to(target, world.now - latency_s)
    health.record_answer(world.state, attempt, world.now, USUAL_S)


def test_a_late_answer_that_a_known_pause_explains_is_no_slowness():
    world, target = make()
    pattern = world.state.pause_pattern
    pattern.period_s, pattern.length_s = 2.4, 0.1
    for cycle in range(3):
        target.pauses.record(world.now - (3 - cycle) * 2.4, pattern)
    before = health.slowness(target, world.now)
    answer_late(world, target, 0.11)
    assert health.slowness(target, world.now) == before
    assert not world.state.pending_observations, "nobody needs to be told"
    assert world.state.counters["answers_paused"] == 1


def test_a_lone_late_answer_proves_little_and_a_second_one_much():
    world, target = make()
    answer_late(world, target, 0.4)
    assert health.slowness(target, world.now) < health.SLOW_RATIO
    world.run(0.5)
    answer_late(world, target, 0.4)
    assert health.slowness(target, world.now) > health.SLOW_RATIO
    finding = world.state.pending_observations[target.id, datagram.Symptom.LATE]
    assert finding.ratio == pytest.approx(20.0)


def test_answers_held_up_together_count_as_one():
    world, target = make()
    for _ in range(5):
        answer_late(world, target, 0.4)
        world.run(0.01)
    assert health.slowness(target, world.now) < health.LONE_RATIO


def test_a_request_without_answer_is_told_once_it_is_long_past_its_usual_time():
    world, target = make()
    attempt = attempt_to(target, world.now)
    health.record_silent(world.state, attempt, world.now + 0.1)
    assert not attempt.is_silent
    health.record_silent(world.state, attempt, world.now + 0.15)
    assert attempt.is_silent
    assert (target.id, datagram.Symptom.SILENT) in world.state.pending_observations


def test_failures_of_one_target_are_told_now_and_then():
    world, target = make()
    for _ in range(10):
        attempt = attempt_to(target, world.now)
        health.record_fault(world.state, attempt, model.Outcome.RESET, world.now)
    assert len(world.state.pending_observations) == 1
    world.state.pending_observations.clear()
    health.record_shed(world.state, target, 0.0, world.now + 0.1)
    assert not world.state.pending_observations
    health.record_shed(world.state, target, 0.0, world.now + 0.6)
    assert len(world.state.pending_observations) == 1


def test_a_reported_failure_weighs_less_than_an_own_one():
    world, target = make()
    finding = states.Observation(target.id, datagram.Symptom.FAILED, world.now)
    assert health.record_reported(world.state, target, finding, world.now)
    reported = health.failure_rate(target, world.now)
    health.record_shed(world.state, target, 0.0, world.now)
    assert 0.0 < reported < health.failure_rate(target, world.now) - reported
