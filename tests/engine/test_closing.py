"""Targets that leave or close themselves by what they state in their answers."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from hyssopproxy.engine import catalog
from hyssopproxy.engine import closing
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import policy
from tests.engine import world as worlds

DRAIN_S = 5.0


def make_world(copies=3, **fields):
    """Return a world with one plain route, whose daemon prefers the first target."""
    world = worlds.World(drain_s=DRAIN_S)
    world.add_pool("p", copies=copies)
    world.publish_routes(worlds.plain_route(**fields))
    world.add_members(3)
    world.start()
    world.run(3.0)
    world.state.policies = policy.from_names({"placement": "nearest"})
    return world


def state_leaving(world, *names):
    for name in names:
        entry = world.state.targets_by_id[name].entry
        world.post(event.TargetStated(name, entry.started_at_ms, is_leaving=True))


def close(world, seconds, *names):
    for name in names:
        entry = world.state.targets_by_id[name].entry
        world.post(event.TargetStated(name, entry.started_at_ms, closed_s=seconds))


def send_load(world, seconds=0.5):
    """Send requests; return the ids of the targets that received some."""
    since = world.now
    world.send_load(40, seconds, path="/p/x")
    world.run(0.3)
    return {
        name for name, item in world.replicas.items() if any(at >= since for at in item.arrivals)
    }


def logs(world, name):
    found = [log for log in world.effects if isinstance(log, effect.Log) and log.name == name]
    return [log.fields for log in found]


def test_leaving_target_gets_no_request_that_another_can_serve():
    world = make_world()
    assert "p-0" in send_load(world)
    world.replicas["p-0"].is_leaving = True
    send_load(world)
    assert "p-0" not in send_load(world, 2.0)
    assert len(logs(world, "target_leaving")) == 1


def test_leaving_targets_serve_until_the_drain_time_ends_and_not_after_it():
    """The published entries say ready throughout, as for a daemon without the store."""
    world = make_world()
    state_leaving(world, *world.replicas)
    since = world.now
    numbers = world.send_load(40, DRAIN_S + 3.0, path="/p/x")
    world.run(0.3)
    arrivals = [
        at - since for item in world.replicas.values() for at in item.arrivals if at >= since
    ]
    assert DRAIN_S - 1.0 < max(arrivals) <= DRAIN_S - closing.LEAVE_MARGIN_S
    result = world.results[numbers[-1]]
    assert result.effect.reason is model.Refusal.NO_TARGET and result.effect.is_not_run
    assert result.latency_s == 0.0
    closed = {item.target_id for item in world.effects if isinstance(item, effect.CloseTarget)}
    assert closed == set(world.replicas), "kept connections are closed"


def test_hedge_does_not_go_to_a_leaving_target():
    world = make_world(copies=2)
    world.replicas["p-0"].is_silent = True
    state_leaving(world, "p-1")
    world.run(2.0)
    since = world.now
    world.send_request("/p/x")
    world.run(1.0)
    assert not [at for at in world.replicas["p-1"].arrivals if at >= since]


@pytest.mark.parametrize("statement", [{"is_leaving": True}, {"closed_s": 2.0}])
def test_requests_that_wait_for_a_connection_are_withdrawn_and_go_elsewhere(statement):
    world = make_world(is_idempotent=False)
    world.replicas["p-0"].is_silent = True  # the connection is not open yet
    number = world.send_request("/p/x")
    (attempt,) = world.state.attempts.values()
    assert attempt.target.id == "p-0"
    out = world.post(event.TargetStated("p-0", attempt.target.entry.started_at_ms, **statement))
    (cancel,) = [item for item in out if isinstance(item, effect.Cancel)]
    assert cancel == effect.Cancel(attempt.number, only_unsent=True, ends_unsent=True)
    world.post(event.AttemptEnded(attempt.number, model.Outcome.EXPIRED))
    world.run(0.3)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_request_that_is_sent_just_before_the_drain_time_ends_must_be_written_by_then():
    world = make_world(copies=1)
    state_leaving(world, "p-0")
    since = world.now
    world.run(DRAIN_S - closing.LEAVE_MARGIN_S - 0.01)
    world.send_request("/p/x")
    (send,) = [item for item in world.effects if isinstance(item, effect.Send)][-1:]
    assert send.not_after <= since + DRAIN_S - closing.LEAVE_MARGIN_S


def test_statement_holds_for_its_incarnation_only():
    world = make_world()
    old = world.replicas["p-0"].entry
    state_leaving(world, "p-0")
    world.run(DRAIN_S)
    assert "p-0" not in send_load(world)
    new = attrs.evolve(old, started_at_ms=old.started_at_ms + 1000)
    world.replicas["p-0"].entry = new
    world.publish(new)
    world.post(event.TargetStated("p-0", old.started_at_ms, True, 30.0))  # late, of the old one
    world.run(11.0)  # a new target counts as slow
    assert "p-0" in send_load(world)


def test_target_that_left_stays_out_if_its_entry_is_removed_and_published_again():
    """The lease may lapse in a store outage, for longer than removed targets are kept."""
    world = make_world()
    entry = world.replicas["p-0"].entry
    state_leaving(world, "p-0")
    world.remove(entry)
    world.run(catalog.REMOVED_RETENTION_S + 1.0)
    assert "p-0" not in world.state.targets_by_id
    world.publish(entry)
    assert "p-0" not in send_load(world)


def test_shard_whose_replicas_have_left_is_missing_at_once():
    world = worlds.make_search_world(4)
    names = [name for name in world.replicas if name.startswith("s1-")]
    state_leaving(world, *names)
    world.run(DRAIN_S)
    number = world.send_request()
    world.run(0.5)
    result = world.results[number]
    assert result.effect.missing == 1 and result.latency_s < 0.15
    state_leaving(world, *[name for name in world.replicas if name.startswith("s2-")])
    world.run(DRAIN_S)
    before = world.count_arrivals()
    number = world.send_request()
    assert world.results[number].effect.reason is model.Refusal.COVERAGE_TOO_LOW
    assert world.count_arrivals() == before


@pytest.mark.parametrize("closed_s", [0.75, 2.0, 30.0])
def test_closed_target_gets_no_request_before_its_end_and_then_one_first(closed_s):
    """Guards against the cap of 0.6 s on backoffs, and against a rush at the end."""
    world = make_world()
    target, replica = world.state.targets_by_id["p-0"], world.replicas["p-0"]
    replica.closed_until = end = world.now + closed_s
    world.send_request("/p/x")
    world.run(0.1)
    assert target.closed_until >= end
    replica.service_time_s = 0.2
    since = world.now
    world.send_load(40, closed_s + 2.0, path="/p/x")
    arrivals = [at for at in replica.arrivals if at >= since]
    assert end <= arrivals[0] <= end + closing.MAX_RETURN_SPREAD_S + 0.1
    assert len(arrivals) > 1 and arrivals[1] - arrivals[0] > 0.1, "one request first"


def test_answer_of_an_earlier_request_does_not_open_a_closed_target():
    world = make_world()
    world.replicas["p-0"].service_time_s = 0.2
    world.send_request("/p/x")
    close(world, 3.0, "p-0")
    world.run(1.0)
    assert "p-0" not in send_load(world)


def test_return_is_spread_over_the_daemons():
    ends = []
    for seed in range(20):
        world = make_world()
        world.state.rng = random.Random(seed)
        close(world, 2.0, "p-0")
        ends.append(world.state.targets_by_id["p-0"].closed_until - world.now)
    assert min(ends) >= 2.0 and max(ends) - min(ends) > closing.MAX_RETURN_SPREAD_S / 2


def test_requests_to_a_pool_of_closed_targets_are_refused_with_the_earliest_true_time():
    world = make_world()
    close(world, 3.0, "p-0", "p-1")
    close(world, 1.25, "p-2")
    before = world.count_arrivals()
    opens_at = placement.opens_at(world.state, "p", world.now)
    for _ in range(20):
        result = world.results[world.send_request("/p/x")]
        assert result.effect.reason is model.Refusal.NO_TARGET and result.effect.is_not_run
        retry_at = world.now + round(result.effect.retry_after_s, 2)
        assert opens_at <= retry_at <= opens_at + 0.2
    assert world.count_arrivals() == before
    assert opens_at - world.now >= 1.25


def test_request_whose_last_target_closes_itself_is_refused_at_once_with_its_time():
    world = make_world()
    for replica in world.replicas.values():
        replica.closed_until = world.now + 4.0
    number = world.send_request("/p/x", 2.0)
    world.run(0.2)
    refused = world.results[number].effect
    assert refused.is_not_run and refused.retry_after_s > 3.7
    assert world.results[number].latency_s < 0.1


def test_fault_of_a_target_that_also_closes_itself_counts_as_possibly_run():
    """Only an answer that states so has not run, whatever time it states."""
    world = make_world(copies=1, is_idempotent=False)
    world.replicas["p-0"].is_silent = True
    number = world.send_request("/p/x")
    (attempt,) = world.state.attempts.values()
    close(world, 5.0, "p-0")
    world.post(event.AttemptEnded(attempt.number, model.Outcome.FAILED))
    assert not world.results[number].effect.is_not_run


@pytest.mark.parametrize(("closed_s", "is_refused"), [(5.0, True), (0.02, False)])
def test_search_is_refused_unsent_if_closed_shards_keep_it_below_its_least_coverage(
    closed_s, is_refused
):
    world = worlds.make_search_world(4)
    close(world, closed_s, *[name for name in world.replicas if name[:2] in ("s1", "s2")])
    before = world.count_arrivals()
    number = world.send_request()
    if is_refused:
        refused = world.results[number].effect
        assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and refused.is_not_run
        assert refused.retry_after_s >= closed_s and world.count_arrivals() == before
    else:
        world.run(0.5)
        assert world.results[number].effect.missing == 0, "it waits for the targets"


def test_time_below_the_present_backoff_changes_nothing():
    world = make_world()
    target = world.state.targets_by_id["p-0"]
    target.shed_until = world.now + 0.4
    close(world, 0.3, "p-0")
    assert not closing.is_closed(target, world.now)
    close(world, 2.0, "p-0")
    end = target.closed_until
    close(world, 1.0, "p-0")
    assert target.closed_until == end


def test_absurd_times_are_bounded_or_ignored_and_logged_once_for_each_target():
    world = make_world()
    for _ in range(3):
        close(world, 86400.0, "p-0")
        world.post(event.TargetStated("p-1", 1, ignored="-1"))
    longest_s = closing.MAX_CLOSED_S + closing.MAX_RETURN_SPREAD_S
    assert world.state.targets_by_id["p-0"].closed_until <= world.now + longest_s
    assert not closing.is_closed(world.state.targets_by_id["p-1"], world.now)
    assert [log["target"] for log in logs(world, "target_retry_time_odd")] == ["p-0", "p-1"]
    assert world.state.counters["retry_times_odd"] == 6


def test_closed_target_is_not_forgotten_while_its_entry_is_away():
    world = make_world()
    entry = world.replicas["p-0"].entry
    close(world, 50.0, "p-0")
    world.remove(entry)
    world.run(catalog.REMOVED_RETENTION_S + 5.0)
    world.publish(entry)
    assert "p-0" not in send_load(world)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["leave", "close", "restart", "lapse", "publish", "serve"]),
        st.integers(0, 2),
        st.floats(0.1, 4.0),
    ),
    max_size=12,
)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(STEPS)
def test_no_order_of_statements_and_entries_lets_a_request_through(steps):
    """The same incarnation may state both, lapse and come back, or be replaced meanwhile."""
    world = make_world(max_attempts=3)
    left_at: dict[str, float] = {}
    open_at: dict[str, float] = {}
    for action, index, value in steps:
        name, replica = f"p-{index}", world.replicas[f"p-{index}"]
        if action == "leave" and name in world.state.targets_by_id:
            state_leaving(world, name)
            left_at.setdefault(name, world.now + DRAIN_S)
        elif action == "close" and name in world.state.targets_by_id:
            close(world, value, name)
            open_at[name] = max(open_at.get(name, 0.0), world.now + value)
        elif action == "restart":
            new = attrs.evolve(replica.entry, started_at_ms=replica.entry.started_at_ms + 1000)
            replica.entry = new
            world.publish(new)
            left_at.pop(name, None)
            open_at.pop(name, None)
        elif action == "lapse":
            world.remove(replica.entry)
        elif action == "publish":
            world.publish(replica.entry)
        since = world.now
        world.send_load(10, value, path="/p/x")
        for name, replica in world.replicas.items():
            for at in [at for at in replica.arrivals if at >= since]:
                assert open_at.get(name, 0.0) <= at < left_at.get(name, float("inf"))
    for replica in world.replicas.values():
        replica.entry = attrs.evolve(replica.entry, started_at_ms=10**6)
        world.publish(replica.entry)
    number = world.send_request("/p/x")
    world.run(0.5)
    assert isinstance(world.results[number].effect, effect.Deliver), "new incarnations serve"
