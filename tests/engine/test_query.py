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


def play_unsafe(**faults):
    """Send one unsafe request to targets that all have the same faults."""
    world = make_plain(is_idempotent=False)
    for replica in world.replicas.values():
        for name, value in faults.items():
            setattr(replica, name, value)
    number = world.send_request("/p/x", 2.0)
    world.run(3.0)
    return world, world.results[number].effect


def sends(world):
    return [one for one in world.effects if isinstance(one, effect.Send)]


def test_a_search_answers_once_every_shard_did():
    world = worlds.make_search_world()
    number = world.send_request()
    world.run(0.5)
    answer = world.results[number].effect
    assert len(answer.replies) == 10 and answer.missing == 0
    assert len({reply.partition("-")[0] for reply in answer.replies}) == 10


def test_without_a_configuration_a_request_is_refused_as_not_run():
    world = worlds.World()
    number = world.send_request()
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.NO_CONFIGURATION and refused.is_not_run
    assert refused.retry_after_s > 0


def test_an_unknown_route_is_refused():
    world = worlds.make_search_world()
    number = world.send_request(path="/none/x")
    assert world.results[number].effect.reason is model.Refusal.NO_ROUTE


def test_a_missing_shard_is_stated_and_does_not_cost_the_objective():
    world = worlds.make_search_world()
    for replica in world.replicas.values():
        if replica.entry.pool == "s3":
            replica.is_silent = True
    number = world.send_request()
    world.run(1.5)
    result = world.results[number]
    assert result.effect.missing == 1 and len(result.effect.replies) == 9
    assert result.latency_s <= 0.25


def test_under_the_least_coverage_a_search_is_refused_as_run():
    world = worlds.make_search_world(min_coverage=0.95)
    for replica in world.replicas.values():
        if replica.entry.pool in ("s3", "s4"):
            replica.is_down = True
    number = world.send_request()
    world.run(1.5)
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and not refused.is_not_run
    assert world.results[number].latency_s < 0.25, "known at once, so refused at once"


def test_an_answer_is_given_at_the_routes_timeout():
    world = make_plain(timeout_s=0.4)
    for replica in world.replicas.values():
        replica.is_silent = True
    number = world.send_request("/p/x", 2.0)
    world.run(3.0)
    assert world.results[number].latency_s == pytest.approx(0.4, abs=0.05)
    assert not world.results[number].effect.is_not_run


def test_leafs_are_handed_no_more_time_than_is_left():
    world = make_plain(timeout_s=0.4)
    world.replicas["p-0"].failure_fraction = 1.0
    world.send_request("/p/x", 2.0)
    world.send_request("/p/x", 0.3)
    world.run(1.0)
    assert all(send.time_left_s <= 0.4 for send in sends(world))


def test_an_unsafe_request_is_sent_once_even_when_its_answer_is_lost():
    world, refused = play_unsafe(failure_fraction=1.0)
    assert world.count_arrivals() == 1
    assert not refused.is_not_run


@pytest.mark.parametrize("outcome", [Outcome.SHED, Outcome.CONNECT, Outcome.MISDIRECTED])
def test_an_unsafe_request_goes_on_where_it_provably_did_not_run(outcome):
    world = make_plain(is_idempotent=False)
    world.state.policies = policy.from_names({"placement": "nearest"})
    world.replicas["p-0"].fixed_outcome = outcome
    number = world.send_request("/p/x", 2.0)
    world.run(1.0)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_an_unsafe_request_that_nobody_could_take_is_refused_as_not_run():
    _, refused = play_unsafe(shed_fraction=1.0)
    assert refused.is_not_run


def test_max_attempts_of_one_binds_hedges_and_retries():
    world = worlds.make_search_world(max_attempts=1)
    for replica in world.replicas.values():
        replica.failure_fraction = 0.3
        replica.pause_every_s, replica.pause_s = 1.0, 0.2
    world.send_load(20, 5)
    firsts = world.state.counters["requests"] * 10
    assert world.count_arrivals() <= firsts


def test_extras_stay_under_the_fleets_budget_whatever_fails():
    """Load pattern: every target sheds or fails half of its requests."""
    world = worlds.make_search_world()
    for replica in world.replicas.values():
        replica.shed_fraction = replica.failure_fraction = 0.25
    began = world.now
    numbers = world.send_load(15, 10)
    world.run(2.0)
    for pool in [f"s{index}" for index in range(10)]:
        arrivals = sum(
            len([at for at in one.arrivals if at >= began])
            for one in world.replicas.values()
            if one.entry.pool == pool
        )
        assert arrivals <= len(numbers) * 1.2 + 56.0 / 8


def test_hedges_and_evidence_keep_the_objective_while_targets_pause():
    """Load pattern: each target stands still for 250 ms every 6 s, at a time of its own."""
    scores = {}
    for name in ("none", "quantile"):
        world = worlds.make_search_world()
        world.state.policies = policy.from_names({"hedge": name})
        rng = random.Random(1)
        for replica in world.replicas.values():
            replica.pause_every_s = 6.0 + rng.random()
            replica.pause_s = 0.25
            replica.work_s = 0.04
        scores[name] = world.mean_score(world.send_load(15, 30), 0.25)
    assert scores["quantile"] > 0.97
    assert scores["quantile"] > scores["none"]


def test_slow_targets_are_left_after_few_requests():
    """Load pattern: one in six targets turns eight times slower."""
    scores = {}
    for name in ("nearest", "evidence"):
        world = worlds.make_search_world()
        world.state.policies = policy.from_names({"placement": name})
        world.send_load(15, 5)
        for replica in list(world.replicas.values())[::6]:
            replica.work_s *= 20
        scores[name] = world.mean_score(world.send_load(15, 20), 0.25)
    assert scores["evidence"] > 0.97
    assert scores["evidence"] > scores["nearest"]


def test_targets_that_shed_at_random_get_less_than_sound_ones():
    """Load pattern: half of the targets shed four in ten requests and answer the others well."""
    world = worlds.make_search_world()
    for replica in list(world.replicas.values())[::2]:
        replica.shed_fraction = 0.4
    numbers = world.send_load(15, 30)
    assert world.mean_score(numbers, 0.25) > 0.97


def test_work_for_a_caller_who_left_is_ended_after_a_grace():
    world = make_plain()
    for replica in world.replicas.values():
        replica.work_s = 1.5
    number = world.send_request("/p/x", 2.0)
    world.run(0.05)
    world.post(event.CallerDisconnected(number))
    world.run(0.45)
    cancelled = {one.attempt_no for one in world.effects if isinstance(one, effect.Cancel)}
    assert {send.attempt_no for send in sends(world)} <= cancelled
    before = len(sends(world))
    world.run(2.0)
    assert len(sends(world)) == before


def test_a_losing_hedge_goes_on_and_its_connection_is_kept():
    world = make_plain()
    world.send_load(30, 2, path="/p/x")
    near = world.replicas["p-0"]
    near.work_s = 0.28
    world.send_load(30, 1, path="/p/x")
    world.run(1.0)
    ended = [one for one in world.effects if isinstance(one, effect.Cancel)]
    assert ended and all(one.only_unsent for one in ended)


def test_a_shed_is_retried_on_another_target_without_counting_as_a_run():
    world = make_plain(max_attempts=1)
    world.state.policies = policy.from_names({"placement": "nearest"})
    world.replicas["p-0"].shed_fraction = 1.0
    number = world.send_request("/p/x", 2.0)
    world.run(1.0)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_a_late_caller_attempt_has_less_of_the_objective_left():
    """Callers of one route state the same time at first, so less of it is a second attempt."""
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
