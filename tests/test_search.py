"""Searches: the pure decisions."""

import hypothesis
import hypothesis.strategies as st
import pytest

from bench import fleet as fleets
from hyssopproxy import configuration
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import problem
from tests import world as worlds

Kind = problem.Kind
NotRun = problem.Execution.NOT_RUN


@pytest.fixture
def world():
    made = worlds.World()
    made.publish()
    return made


def test_shards_of_one_address_share_a_request(world):
    sent = worlds.sends(world.search())
    assert len({one.address for one in sent}) == len(sent) <= 3
    assert sum(len(one.searches) for one in sent) == 6


def test_full_answer_is_best_first_and_has_no_hit_twice(world):
    got = []
    for sent in worlds.sends(world.search()):
        got += world.answer(sent, hits=[worlds.wire.Hit("same", 2.0), worlds.wire.Hit("b", 3.0)])
    (answer,) = worlds.answers(got)
    assert [hit.id for hit in answer.hits] == ["b", "same"]
    assert answer.coverage.shards_answered == answer.coverage.shards_total == 6


@pytest.mark.parametrize(
    "changes",
    [{"snapshot": "other"}, {"shard": "s999"}, {"complete": False}, {"request_id": "crossed"}],
)
def test_line_that_was_not_asked_is_never_merged(world, changes):
    sent = worlds.sends(world.search())
    got = world.answer(sent[0], **changes)
    for retry in worlds.sends(got) + sent[1:]:
        got += world.answer(retry)
    got += world.post(event.SearchDue(world.number), 1.0)
    (answer,) = worlds.answers(got)
    assert all(hit.id.startswith("s1:") for hit in answer.hits)
    assert world.state.counters["lines_garbled"] > 0


def test_answer_comes_by_the_deadline_with_the_reason(world):
    sent = worlds.sends(world.search("200"))
    world.answer(sent[0])
    got = world.post(event.SearchDue(world.number), 0.19)
    (answer,) = worlds.answers(got)
    missing = {item.shard for item in answer.coverage.missing}
    assert missing == {sub.shard for one in sent[1:] for sub in one.searches}
    cancelled = {item[1] for one in worlds.find(got, effect.SendCancel) for item in one.items}
    assert cancelled == missing


def test_process_paused_past_the_deadline_answers_nothing(world):
    world.search("200")
    got = world.post_late(event.SearchDue(world.number), 5.0)
    (refusal,) = worlds.refusals(got)
    assert refusal.kind is Kind.DEADLINE_EXCEEDED
    assert not worlds.answers(got)


@pytest.mark.parametrize("header", ["0", "-1", "x", "", "99999999", "1.5", "9" * 5000])
def test_bad_deadline_is_refused(world, header):
    (refusal,) = worlds.refusals(world.search(header))
    assert (refusal.kind, refusal.execution) == (Kind.BAD_DEADLINE, NotRun)


@pytest.mark.parametrize("limit", [0, -1, "3", True, 10**9])
def test_bad_limit_is_refused(world, limit):
    (refusal,) = worlds.refusals(world.search(limit=limit))
    assert refusal.kind is Kind.BAD_REQUEST


def test_unknown_service_is_refused(world):
    (refusal,) = worlds.refusals(world.search(service="none"))
    assert (refusal.kind, refusal.execution) == (Kind.UNKNOWN_SERVICE, NotRun)


def warm_up(world, searches=30):
    for _ in range(searches):
        for sent in worlds.sends(world.search()):
            world.answer(sent)


def test_straggler_is_hedged_at_another_target_and_the_loser_cancelled(world):
    warm_up(world)
    first, *others = worlds.sends(world.search())
    for sent in others:
        world.answer(sent)
    got = world.post(event.SearchDue(world.number), 0.02)
    hedges = worlds.sends(got)
    assert hedges and all(one.address != first.address for one in hedges)
    assert {sub.shard for one in hedges for sub in one.searches} <= {
        sub.shard for sub in first.searches
    }
    got = world.answer(hedges[0])
    assert first.address in {one.address for one in worlds.find(got, effect.SendCancel)}


def test_hedges_stay_within_their_budget(world):
    warm_up(world)
    for _ in range(200):
        for sent in worlds.sends(world.search()):
            late = worlds.sends(world.post(event.SearchDue(world.number), 0.02))
            for hedge in late:
                world.answer(hedge)
            world.answer(sent)
    counters = world.state.counters
    ordinary = counters["sub_searches"] - counters["hedges"]
    assert 0 < counters["hedges"] <= 0.05 * ordinary + configuration.INITIAL_HEDGE_TOKENS


def test_hedged_straggler_tells_of_itself_though_it_was_cancelled(world):
    warm_up(world)
    first, *_ = worlds.sends(world.search())
    target = world.state.targets[first.address]
    before = max(leaf.latency_s for leaf in target.leaves)
    for hedge in worlds.sends(world.post(event.SearchDue(world.number), 0.3)):
        world.answer(hedge)
    assert max(leaf.latency_s for leaf in target.leaves) > before
    assert target.consecutive_faults == 0


def test_failed_connection_is_tried_elsewhere_without_a_budget(world):
    world.state.services[fleets.SERVICE].retry_budget.tokens = 0.0
    first = worlds.sends(world.search())[0]
    got = world.post(event.RequestEnded(first.request_no, event.Failure.CONNECT))
    retried = {sub.shard for one in worlds.sends(got) for sub in one.searches}
    assert retried == {sub.shard for sub in first.searches}


def test_lost_reply_is_tried_elsewhere_under_a_ratio(world):
    world.state.services[fleets.SERVICE].retry_budget.tokens = 0.0
    world.state.services[fleets.SERVICE].retry_budget.fraction = 0.0
    first = worlds.sends(world.search())[0]
    got = world.post(event.RequestEnded(first.request_no, event.Failure.RESET))
    assert not worlds.sends(got)


@pytest.mark.parametrize("failure", [event.Failure.LOCAL, event.Failure.EXPIRED])
def test_own_failure_is_no_fault_of_the_target(world, failure):
    for _ in range(5):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, failure))
    assert all(target.consecutive_faults == 0 for target in world.state.targets.values())


def test_search_is_refused_early_when_a_shard_would_wait_past_the_deadline(world):
    got = []
    for _ in range(200):
        got = world.search("20")
        if worlds.refusals(got):
            break
    (refusal,) = worlds.refusals(got)
    assert (refusal.kind, refusal.execution) == (Kind.OVERLOADED, NotRun)
    assert not worlds.sends(got)


def test_daemon_that_is_behind_takes_no_new_search(world):
    world.post(event.Tick(world.now - 0.5))
    (refusal,) = worlds.refusals(world.search("1000"))
    assert (refusal.kind, refusal.execution) == (Kind.OVERLOADED, NotRun)


def test_waiting_shards_are_sent_when_room_comes(world):
    sent = []
    for _ in range(12):
        sent += worlds.sends(world.search())
    waiting = sum(len(query.waiting) for query in world.state.queries.values())
    assert waiting > 0
    answered = 0
    while sent:
        got = world.answer(sent.pop(0))
        sent += worlds.sends(got)
        answered += len(worlds.answers(got))
    assert answered == 12
    assert all(leaf.in_flight == 0 for t in world.state.targets.values() for leaf in t.leaves)


def test_latency_first_answers_with_enough(world):
    world.publish(2, wait={"policy": "latency_first", "enough_coverage": 0.5})
    warm_up(world)
    assert world.state.counters["answers_incomplete"] == 0
    sent = sorted(worlds.sends(world.search()), key=lambda one: len(one.searches))
    got = []
    for one in sent[1:]:
        got += world.answer(one, after=0.001)
    assert not worlds.answers(got)
    got = world.post(event.SearchDue(world.number), 0.05)
    assert worlds.answers(got)[0].coverage.shards_answered == 6 - len(sent[0].searches)


def test_least_coverage_turns_a_thin_answer_into_an_error(world):
    world.publish(2, wait={"least_coverage": 0.9})
    world.search("200")
    (refusal,) = worlds.refusals(world.post(event.SearchDue(world.number), 0.195))
    assert refusal.kind is Kind.COVERAGE_TOO_LOW


def test_gone_snapshot_reruns_the_whole_search_at_the_other():
    world = worlds.World()
    value = fleets.make_value(world.layout)["services"][fleets.SERVICE]
    shards = value["snapshots"]["s1"]["shards"]
    both = {"s1": {"number": 1, "shards": shards}, "s2": {"number": 2, "shards": shards}}
    world.publish(snapshots=both)
    todo = worlds.sends(world.search())
    got = []
    while todo:
        sent = todo.pop(0)
        error = "snapshot_gone" if sent.searches[0].snapshot == "s2" else ""
        step = world.answer(sent, error=error)
        todo += worlds.sends(step)
        got += step
    (answer,) = worlds.answers(got)
    assert answer.snapshot == "s1"
    assert answer.coverage.shards_answered == 6
    assert all(hit.id.startswith("s1:") for hit in answer.hits)


STEP = st.sampled_from(["answer", "gone", "reset", "connect", "shed", "wrong", "due", "search"])


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.tuples(STEP, st.integers(0, 30)), max_size=60))
def test_any_order_of_events_answers_each_search_once_and_never_mixes(steps):
    world = worlds.World()
    shards = fleets.make_value(world.layout)["services"][fleets.SERVICE]["snapshots"]["s1"][
        "shards"
    ]
    two = {"s1": {"number": 1, "shards": shards}, "s2": {"number": 2, "shards": shards}}
    world.publish(snapshots=two)
    flying, got, searches = [], [], 0
    for step, pick in [("search", 0), *steps]:
        if step == "search":
            now = world.search("300")
            searches += 1
        elif step == "due":
            now = world.post(event.SearchDue(world.number), 0.05)
        elif not flying:
            continue
        else:
            sent = flying.pop(pick % len(flying))
            now = _take_step(world, sent, step)
        flying += worlds.sends(now)
        got += now
    numbers = list(world.state.queries)
    for number in numbers:
        got += world.post(event.SearchDue(number), 0.3)
    results = worlds.find(got, effect.AnswerSearch) + worlds.find(got, effect.Refuse)
    assert len(results) == searches
    for answer in worlds.answers(got):
        assert all(hit.id.startswith(answer.snapshot) for hit in answer.hits)
        coverage = answer.coverage
        assert coverage.shards_answered + len(coverage.missing) == coverage.shards_total


def _take_step(world, sent, step):
    if step == "answer":
        return world.answer(sent)
    if step == "gone":
        return world.answer(sent, error="snapshot_gone")
    if step == "shed":
        return world.answer(sent, error="shed")
    if step == "wrong":
        return world.answer(sent, snapshot="s9")
    failure = event.Failure.RESET if step == "reset" else event.Failure.CONNECT
    return world.post(event.RequestEnded(sent.request_no, failure))


def test_first_searches_of_a_service_hedge_after_a_part_of_the_timeout(world):
    first, *_ = worlds.sends(world.search("1000"))
    hedges = worlds.sends(world.post(event.SearchDue(world.number), 0.25))
    assert hedges
    assert first.searches[0].shard in {sub.shard for one in hedges for sub in one.searches}


def answer_all(world, sent, **changes):
    """Answer requests, and what they lead to, until nothing is in flight."""
    got = []
    while sent:
        step = world.answer(sent.pop(0), **changes)
        sent += worlds.sends(step)
        got += step
    return got


def test_snapshot_that_all_said_is_gone_is_tried_again_rather_than_refused(world):
    answer_all(world, worlds.sends(world.search()), error="snapshot_gone")
    (answer,) = worlds.answers(answer_all(world, worlds.sends(world.search())))
    assert answer.coverage.shards_answered == 6
    assert not any(
        route.snapshot.name != "s1" for route in world.state.services[fleets.SERVICE].routes
    )
