import hypothesis
import hypothesis.strategies as st
import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import policy
from hyssopproxy.engine import scarcity
from tests.engine import scarce
from tests.engine import world as worlds


def run_load(load, policy_name="expected", seconds=6.0):
    """Return a fleet under a load and the requests sent meanwhile."""
    replay = scarce.Replay()
    for world in replay.worlds.values():
        world.state.policies = policy.from_names({"scarcity": policy_name})
    replay.send_both(6.0)
    load(replay)
    requests = replay.send_both(seconds)
    return replay, requests


def score(replay, requests, kind):
    return replay.mean_score(requests[kind], scarce.OBJECTIVES_S[kind])


def test_searches_that_need_slow_shards_get_them():
    """Guards against failures of all searches while two of 36 shards are 12 times slower."""
    scores = {}
    for name in ("all", "expected"):
        replay, requests = run_load(scarce.slow_shards, name)
        replay.run(1.5)
        scores[name] = {kind: score(replay, requests, kind) for kind in requests}
    assert scores["expected"]["full"] > 0.7 > 0.5 > scores["all"]["full"]
    assert scores["expected"]["urgent"] > scores["all"]["urgent"] - 0.01


@pytest.mark.parametrize(
    "load",
    [scarce.calm, scarce.unsteady_replicas, scarce.slow_replicas, scarce.late_replicas],
    ids=lambda load: load.__name__,
)
def test_no_shard_that_can_answer_is_left_out(load):
    """Guards against lost coverage from pauses, predicted or not, and single slow targets."""
    replay, _ = run_load(load)
    assert replay.counters()["parts_left_out"] == 0
    assert replay.counters()["refused_coverage_too_low"] == 0


@pytest.mark.parametrize("load", [scarce.slow_shards, scarce.silent_shards])
def test_fleet_notices_a_recovery_within_a_second(load):
    replay, _ = run_load(load)
    assert replay.counters()["parts_left_out"] > 50
    scarce.recover(replay)
    replay.send_both(1.0)
    requests = replay.send_both(2.0)
    replay.run(1.5)
    assert score(replay, requests, "full") > 0.98 and score(replay, requests, "urgent") > 0.98


def make_world(least_coverage=0.85, **fields):
    world = worlds.make_search_world(shards=36, least_coverage=least_coverage, **fields)
    world.send_load(20, 3)
    return world


def silence(world, *shards, for_s=4.0):
    """Let the daemon know that the targets of some shards have been silent for some time."""
    for target in world.state.targets.values():
        if target.entry.pool in {f"s{shard}" for shard in shards}:
            world.replicas[target.id].is_silent = True
            target.silent_since, target.silent_at = world.now - for_s, world.now


def slow_down(world, pool, copies, ratio=12.0):
    """Let the daemon know that some targets of a shard are lastingly slow."""
    for target in list(world.state.pools[pool].values())[:copies]:
        target.recent_ratio, target.slow_since = ratio, world.now - 1.0
        target.recent_ratio_at = world.now


def test_coverage_is_stated_truly_and_the_log_names_what_was_left_out():
    world = make_world()
    silence(world, 3, 7)
    number = world.send_request()
    world.run(0.2)
    answer = world.results[number].effect
    assert answer.missing == 2 and len(answer.replies) == 34
    (line,) = [
        item
        for item in world.effects
        if isinstance(item, effect.Log) and item.fields.get("request_id") == f"id-{number}"
    ]
    parts = {part["shard"]: part for part in line.fields["parts"]}
    assert parts.keys() == {"s3", "s7"}
    for part in parts.values():
        assert part["reason"] == "scarce" and part["runs"] == 0 and part["needed_ms"] >= 4000


def test_search_leaves_out_no_more_than_it_may_miss_and_the_scarcest_first():
    world = make_world()
    silence(world, *range(7), for_s=0.7)
    silence(world, 9, for_s=0.9)
    world.effects.clear()
    world.send_request()
    sent = {item.target_id.partition("-")[0] for item in world.effects if is_send(item)}
    assert len(sent) == 31 and "s9" not in sent


def is_send(item):
    return isinstance(item, effect.Send)


def test_left_out_parts_do_not_add_to_the_budget_of_extra_requests():
    world = make_world()
    silence(world, 3)
    before = world.state.budgets["s3"].first_attempts
    world.send_request()
    assert world.state.budgets["s3"].first_attempts == before
    assert world.state.budgets["s4"].first_attempts > before


def test_search_that_cannot_reach_its_least_coverage_is_refused_before_anything_is_sent():
    """Guards against searches that are held until their deadline although they must fail."""
    world = make_world(least_coverage=0.95)
    silence(world, 3, 7)
    world.effects.clear()
    number = world.send_request()
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and refused.is_not_run
    assert not any(map(is_send, world.effects))


def test_log_tells_which_shards_are_scarce_and_why():
    """The line of a refused search names no shards; these lines before it do."""
    world = make_world(least_coverage=0.95)
    silence(world, 3)
    world.run(0.3)
    line = find_line(world, "shard_scarce")
    assert line.fields["shard"] == "s3" and len(line.fields["targets"]) == 3
    for known in line.fields["targets"].values():
        assert known["usable"] and known["silent_s"] >= 4.0
    for target in world.state.pools["s3"].values():
        target.silent_since = target.slow_since = float("inf")
    world.run(0.3)
    assert find_line(world, "shard_recovered").fields == {"shard": "s3"}


def find_line(world, name):
    (line,) = [item for item in world.effects if isinstance(item, effect.Log) and item.name == name]
    return line


def test_search_is_a_probe_if_no_other_has_been_for_a_second():
    """Guards against refusing all searches for good, as none would notice the recovery."""
    world = make_world(least_coverage=0.95)
    silence(world, 3, 7)
    world.state.probe_at.update({"s3": world.now - 1.1, "s7": world.now - 1.1})
    world.effects.clear()
    world.send_request()
    assert any(map(is_send, world.effects))


def test_probes_of_the_fleet_come_at_a_low_rate():
    replay, _ = run_load(scarce.silent_shards, seconds=4.0)
    replay.sends.clear()
    replay.send_both(4.0)
    for pool in ("s3", "s17"):
        per_s = replay.sends[pool] / 4.0
        assert 1.0 <= per_s <= 2.0 * scarcity.PROBES_PER_S


def test_cold_targets_and_single_slow_ones_are_asked():
    world = make_world()
    for target in world.state.pools["s3"].values():
        placement.record_cold_start(target, 5.0, world.now)
    slow_down(world, "s4", copies=2, ratio=30.0)
    number = world.send_request()
    world.run(0.5)
    assert world.results[number].effect.missing == 0


def start_hedge(world, copies):
    """Return the hedges sent for a search while some targets of a shard are slow."""
    for replica in world.replicas.values():
        if replica.entry.pool == "s3":
            replica.service_time_s = 0.3
    slow_down(world, "s3", copies)
    world.effects.clear()
    world.send_request()
    world.run(0.15)
    sent = [item.target_id for item in world.effects if is_send(item)]
    return sum(target_id.startswith("s3-") for target_id in sent) - 1


def test_hedge_is_sent_only_if_another_target_is_faster():
    """Guards against hedges that double the load of a shard whose targets are all slow."""
    assert start_hedge(make_world(objective_s=1.0, timeout_s=2.0), copies=3) == 0
    assert start_hedge(make_world(objective_s=1.0, timeout_s=2.0), copies=2) == 1


def test_baseline_leaves_nothing_out_and_refuses_nothing():
    world = make_world(least_coverage=0.95)
    world.state.policies = policy.from_names({"scarcity": "all"})
    silence(world, 3, 7)
    world.effects.clear()
    world.send_request()
    assert sum(map(is_send, world.effects)) == 36


@hypothesis.given(st.integers(1, 200), st.floats(0.0, 1.0))
def test_search_without_as_many_shards_as_it_may_miss_has_its_least_coverage(total, coverage):
    count = scarcity.count_may_miss(total, coverage)
    assert 0 <= count < total
    assert (total - count) / total >= coverage
    assert count == total - 1 or (total - count - 1) / total < coverage


def test_searches_of_the_platform_may_miss_as_many_shards_as_stated():
    assert scarcity.count_may_miss(36, 0.95) == 1 and scarcity.count_may_miss(36, 0.85) == 5
