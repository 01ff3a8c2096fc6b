import random

import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from tests.engine import world as worlds

Outcome = model.Outcome


def make_plain(**fields):
    return worlds.make_plain_world(members=7, seconds=3.0, **fields)


def send_non_idempotent(**faults):
    """Send one non-idempotent request to targets that all have the same faults."""
    world = make_plain(is_idempotent=False)
    for replica in world.replicas.values():
        for name, value in faults.items():
            setattr(replica, name, value)
    number = world.send_request("/p/x", 2.0)
    world.run(3.0)
    return world, world.results[number].effect


def sends(world):
    return [send for send in world.effects if isinstance(send, effect.Send)]


def test_search_is_answered_when_every_shard_has_answered():
    world = worlds.make_search_world()
    number = world.send_request()
    world.run(0.5)
    answer = world.results[number].effect
    assert len(answer.replies) == 10 and answer.missing == 0
    assert len({reply.partition("-")[0] for reply in answer.replies}) == 10


def test_request_without_configuration_is_refused_as_not_run():
    world = worlds.World()
    number = world.send_request()
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.NO_CONFIGURATION and refused.is_not_run
    assert refused.retry_after_s > 0


def test_unknown_route_is_refused():
    world = worlds.make_search_world()
    number = world.send_request(path="/none/x")
    assert world.results[number].effect.reason is model.Refusal.NO_ROUTE


def test_missing_shard_is_reported_and_the_objective_is_met():
    world = worlds.make_search_world()
    for replica in world.replicas.values():
        if replica.entry.pool == "s3":
            replica.is_silent = True
    number = world.send_request()
    world.run(1.5)
    result = world.results[number]
    assert result.effect.missing == 1 and len(result.effect.replies) == 9
    assert result.latency_s <= 0.25


def test_search_below_least_coverage_is_refused_as_possibly_run():
    world = worlds.make_search_world(least_coverage=0.95)
    for replica in world.replicas.values():
        if replica.entry.pool in ("s3", "s4"):
            replica.is_down = True
    number = world.send_request()
    world.run(1.5)
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and not refused.is_not_run
    assert world.results[number].latency_s < 0.25, "refused without waiting for the objective"


def test_request_is_answered_at_the_timeout_of_the_route():
    world = make_plain(timeout_s=0.4)
    for replica in world.replicas.values():
        replica.is_silent = True
    number = world.send_request("/p/x", 2.0)
    world.run(3.0)
    assert world.results[number].latency_s == pytest.approx(0.4, abs=0.05)
    assert not world.results[number].effect.is_not_run


def test_targets_are_given_no_more_time_than_is_left():
    world = make_plain(timeout_s=0.4)
    world.replicas["p-0"].failure_fraction = 1.0
    world.send_request("/p/x", 2.0)
    world.send_request("/p/x", 0.3)
    world.run(1.0)
    assert all(send.time_left_s <= 0.4 for send in sends(world))


def test_non_idempotent_request_is_sent_once_even_if_its_answer_is_lost():
    world, refused = send_non_idempotent(failure_fraction=1.0)
    assert world.count_arrivals() == 1
    assert not refused.is_not_run


@pytest.mark.parametrize("outcome", [Outcome.SHED, Outcome.CONNECT, Outcome.MISDIRECTED])
def test_non_idempotent_request_is_retried_if_it_was_certainly_not_run(outcome):
    world = make_plain(is_idempotent=False)
    world.state.policies = policy.from_names({"placement": "nearest"})
    world.replicas["p-0"].fixed_outcome = outcome
    number = world.send_request("/p/x", 2.0)
    world.run(1.0)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_non_idempotent_request_that_all_targets_shed_is_refused_as_not_run():
    _, refused = send_non_idempotent(shed_fraction=1.0)
    assert refused.is_not_run


def test_max_attempts_of_one_prevents_hedges_and_retries():
    world = worlds.make_search_world(max_attempts=1)
    for replica in world.replicas.values():
        replica.failure_fraction = 0.3
        replica.pause_period_s, replica.pause_length_s = 1.0, 0.2
    world.send_load(20, 5)
    first_attempts = world.state.counters["requests"] * 10
    assert world.count_arrivals() <= first_attempts


def test_hedges_and_retries_stay_within_the_fleets_budget():
    """Guards against a retry storm when every target sheds or fails half of its requests."""
    world = worlds.make_search_world()
    for replica in world.replicas.values():
        replica.shed_fraction = replica.failure_fraction = 0.25
    started_at = world.now
    numbers = world.send_load(15, 10)
    world.run(2.0)
    for pool in [f"s{index}" for index in range(10)]:
        arrivals = sum(
            len([at for at in replica.arrivals if at >= started_at])
            for replica in world.replicas.values()
            if replica.entry.pool == pool
        )
        assert arrivals <= len(numbers) * 1.2 + 56.0 / 8


def test_hedges_meet_the_objective_while_targets_pause():
    """Guards against late answers when each target pauses for 250 ms every 6 s, independently."""
    scores = {}
    for name in ("none", "quantile"):
        world = worlds.make_search_world()
        world.state.policies = policy.from_names({"hedge": name})
        rng = random.Random(1)
        for replica in world.replicas.values():
            replica.pause_period_s = 6.0 + rng.random()
            replica.pause_length_s = 0.25
            replica.service_time_s = 0.04
        scores[name] = world.mean_score(world.send_load(15, 30), 0.25)
    assert scores["quantile"] > 0.97
    assert scores["quantile"] > scores["none"]


def test_slow_targets_are_avoided_after_few_requests():
    """Guards against late answers when one in six targets becomes 20 times slower."""
    scores = {}
    for name in ("nearest", "evidence"):
        world = worlds.make_search_world()
        world.state.policies = policy.from_names({"placement": name})
        world.send_load(15, 5)
        for replica in list(world.replicas.values())[::6]:
            replica.service_time_s *= 20
        scores[name] = world.mean_score(world.send_load(15, 20), 0.25)
    assert scores["evidence"] > 0.97
    assert scores["evidence"] > scores["nearest"]


def test_targets_that_shed_at_random_do_not_make_answers_late():
    """Guards against late answers when half of the targets shed four in ten requests at random."""
    world = worlds.make_search_world()
    for replica in list(world.replicas.values())[::2]:
        replica.shed_fraction = 0.4
    numbers = world.send_load(15, 30)
    assert world.mean_score(numbers, 0.25) > 0.97


def test_attempts_are_cancelled_after_a_grace_period_when_the_caller_disconnects():
    world = make_plain()
    for replica in world.replicas.values():
        replica.service_time_s = 1.5
    number = world.send_request("/p/x", 2.0)
    world.run(0.05)
    world.post(event.CallerDisconnected(number))
    world.run(0.45)
    cancelled = {cancel.attempt_no for cancel in world.effects if isinstance(cancel, effect.Cancel)}
    assert {send.attempt_no for send in sends(world)} <= cancelled
    before = len(sends(world))
    world.run(2.0)
    assert len(sends(world)) == before


def test_attempt_that_loses_to_a_hedge_runs_on_and_keeps_its_connection():
    world = make_plain()
    world.send_load(30, 2, path="/p/x")
    replica = world.replicas["p-0"]
    replica.service_time_s = 0.28
    world.send_load(30, 1, path="/p/x")
    world.run(1.0)
    cancels = [cancel for cancel in world.effects if isinstance(cancel, effect.Cancel)]
    assert cancels and all(cancel.only_unsent for cancel in cancels)


def test_shed_request_is_retried_at_another_target_and_not_counted_as_run():
    world = make_plain(max_attempts=1)
    world.state.policies = policy.from_names({"placement": "nearest"})
    world.replicas["p-0"].shed_fraction = 1.0
    number = world.send_request("/p/x", 2.0)
    world.run(1.0)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_retry_of_the_caller_has_less_of_the_objective_left():
    """Callers of one route state the same timeout at first, so a shorter one means a retry."""
    world = worlds.make_search_world()
    world.run(1.0)
    world.send_request(time_left_s=1.2)
    world.run(1.0)
    for replica in world.replicas.values():
        if replica.entry.pool == "s3":
            replica.is_silent = True
    number = world.send_request(time_left_s=1.2 - 0.1)
    world.run(1.5)
    assert world.results[number].latency_s <= 0.15
