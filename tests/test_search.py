"""Tests of searches on the reducer, without processes or network."""

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
NOT_RUN = problem.Execution.NOT_RUN


@pytest.fixture
def world():
    world = worlds.World()
    world.publish()
    return world


def test_shards_of_one_address_share_a_request(world):
    sent = worlds.sends(world.search())
    assert len({request.address for request in sent}) == len(sent) <= 3
    assert sum(len(request.searches) for request in sent) == 6


def test_hits_are_sorted_by_score_and_deduplicated(world):
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
def test_line_that_matches_no_sub_search_is_not_merged(world, changes):
    sent = worlds.sends(world.search())
    got = world.answer(sent[0], **changes)
    for retry in worlds.sends(got) + sent[1:]:
        got += world.answer(retry)
    got += world.post(event.SearchDue(world.number), 1.0)
    (answer,) = worlds.answers(got)
    assert all(hit.id.startswith("s1:") for hit in answer.hits)
    assert world.state.counters["lines_garbled"] > 0


def test_missing_shards_are_reported_and_cancelled_at_the_deadline(world):
    sent = worlds.sends(world.search("200"))
    world.answer(sent[0])
    got = world.post(event.SearchDue(world.number), 0.19)
    (answer,) = worlds.answers(got)
    missing = {item.shard for item in answer.coverage.missing}
    assert missing == {sub.shard for request in sent[1:] for sub in request.searches}
    cancelled = {item[1] for cancel in worlds.find(got, effect.SendCancel) for item in cancel.items}
    assert cancelled == missing


def test_search_is_refused_when_the_process_was_paused_past_its_deadline(world):
    world.search("200")
    got = world.post_late(event.SearchDue(world.number), 5.0)
    (refusal,) = worlds.refusals(got)
    assert refusal.kind is Kind.DEADLINE_EXCEEDED
    assert not worlds.answers(got)


@pytest.mark.parametrize("header", ["0", "-1", "x", "", "99999999", "1.5", "9" * 5000])
def test_invalid_timeout_is_refused(world, header):
    (refusal,) = worlds.refusals(world.search(header))
    assert (refusal.kind, refusal.execution) == (Kind.BAD_DEADLINE, NOT_RUN)


@pytest.mark.parametrize("limit", [0, -1, "3", True, 10**9])
def test_invalid_limit_is_refused(world, limit):
    (refusal,) = worlds.refusals(world.search(limit=limit))
    assert refusal.kind is Kind.BAD_REQUEST


def test_unknown_service_is_refused(world):
    (refusal,) = worlds.refusals(world.search(service="none"))
    assert (refusal.kind, refusal.execution) == (Kind.UNKNOWN_SERVICE, NOT_RUN)


def warm_up(world, searches=30):
    for _ in range(searches):
        for sent in worlds.sends(world.search()):
            world.answer(sent)


def test_straggler_is_hedged_at_another_target_and_cancelled(world):
    warm_up(world)
    first, *others = worlds.sends(world.search())
    for sent in others:
        world.answer(sent)
    got = world.post(event.SearchDue(world.number), 0.02)
    hedges = worlds.sends(got)
    assert hedges and all(hedge.address != first.address for hedge in hedges)
    assert {sub.shard for hedge in hedges for sub in hedge.searches} <= {
        sub.shard for sub in first.searches
    }
    got = world.answer(hedges[0])
    assert first.address in {cancel.address for cancel in worlds.find(got, effect.SendCancel)}


def test_hedges_stay_within_their_budget(world):
    warm_up(world)
    for _ in range(200):
        for sent in worlds.sends(world.search()):
            hedges = worlds.sends(world.post(event.SearchDue(world.number), 0.02))
            for hedge in hedges:
                world.answer(hedge)
            world.answer(sent)
    counters = world.state.counters
    ordinary = counters["sub_searches"] - counters["hedges"]
    assert 0 < counters["hedges"] <= 0.05 * ordinary + configuration.INITIAL_HEDGE_TOKENS


def test_cancelled_straggler_raises_the_latency_estimate(world):
    warm_up(world)
    first, *_ = worlds.sends(world.search())
    target = world.state.targets[first.address]
    before = max(leaf.latency_s for leaf in target.leaves)
    for hedge in worlds.sends(world.post(event.SearchDue(world.number), 0.3)):
        world.answer(hedge)
    assert max(leaf.latency_s for leaf in target.leaves) > before
    assert target.consecutive_faults == 0


def test_failed_connection_is_retried_without_retry_budget(world):
    world.state.services[fleets.SERVICE].retry_budget.tokens = 0.0
    first = worlds.sends(world.search())[0]
    got = world.post(event.RequestEnded(first.request_no, event.Failure.CONNECT))
    retried = {sub.shard for retry in worlds.sends(got) for sub in retry.searches}
    assert retried == {sub.shard for sub in first.searches}


def test_lost_reply_is_not_retried_without_retry_budget(world):
    world.state.services[fleets.SERVICE].retry_budget.tokens = 0.0
    world.state.services[fleets.SERVICE].retry_budget.fraction = 0.0
    first = worlds.sends(world.search())[0]
    got = world.post(event.RequestEnded(first.request_no, event.Failure.RESET))
    assert not worlds.sends(got)


@pytest.mark.parametrize("failure", [event.Failure.LOCAL, event.Failure.EXPIRED])
def test_local_failure_does_not_count_against_the_target(world, failure):
    for _ in range(5):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, failure))
    assert all(target.consecutive_faults == 0 for target in world.state.targets.values())


def test_search_is_refused_when_a_shard_would_wait_too_long(world):
    got = []
    for _ in range(200):
        got = world.search("20")
        if worlds.refusals(got):
            break
    (refusal,) = worlds.refusals(got)
    assert (refusal.kind, refusal.execution) == (Kind.OVERLOADED, NOT_RUN)
    assert not worlds.sends(got)


def test_search_is_refused_while_the_event_loop_lags(world):
    world.post(event.Tick(world.now - 0.5))
    (refusal,) = worlds.refusals(world.search("1000"))
    assert (refusal.kind, refusal.execution) == (Kind.OVERLOADED, NOT_RUN)


def test_waiting_shards_are_sent_when_slots_become_free(world):
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
    assert all(
        leaf.in_flight == 0 for target in world.state.targets.values() for leaf in target.leaves
    )


def test_latency_first_answers_early_with_enough_coverage(world):
    world.publish(2, wait={"policy": "latency_first", "enough_coverage": 0.5})
    warm_up(world)
    assert world.state.counters["answers_incomplete"] == 0
    sent = sorted(worlds.sends(world.search()), key=lambda request: len(request.searches))
    got = []
    for request in sent[1:]:
        got += world.answer(request, after=0.001)
    assert not worlds.answers(got)
    got = world.post(event.SearchDue(world.number), 0.05)
    assert worlds.answers(got)[0].coverage.shards_answered == 6 - len(sent[0].searches)


def test_answer_below_the_least_coverage_is_refused(world):
    world.publish(2, wait={"least_coverage": 0.9})
    world.search("200")
    (refusal,) = worlds.refusals(world.post(event.SearchDue(world.number), 0.195))
    assert refusal.kind is Kind.COVERAGE_TOO_LOW


def test_search_is_rerun_against_another_snapshot_when_the_first_is_gone():
    world = worlds.World()
    table = fleets.make_configuration(world.layout)["services"][fleets.SERVICE]
    shards = table["snapshots"]["s1"]["shards"]
    snapshots = {"s1": {"number": 1, "shards": shards}, "s2": {"number": 2, "shards": shards}}
    world.publish(snapshots=snapshots)
    pending = worlds.sends(world.search())
    got = []
    while pending:
        sent = pending.pop(0)
        error = "snapshot_gone" if sent.searches[0].snapshot == "s2" else ""
        effects = world.answer(sent, error=error)
        pending += worlds.sends(effects)
        got += effects
    (answer,) = worlds.answers(got)
    assert answer.snapshot == "s1"
    assert answer.coverage.shards_answered == 6
    assert all(hit.id.startswith("s1:") for hit in answer.hits)


STEP = st.sampled_from(["answer", "gone", "reset", "connect", "shed", "wrong", "due", "search"])


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.tuples(STEP, st.integers(0, 30)), max_size=60))
def test_any_order_of_events_answers_each_search_once_and_never_mixes(steps):
    world = worlds.World()
    shards = fleets.make_configuration(world.layout)["services"][fleets.SERVICE]["snapshots"]["s1"][
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


def test_hedge_is_sent_after_a_fraction_of_the_timeout_while_latencies_are_unknown(world):
    first, *_ = worlds.sends(world.search("1000"))
    hedges = worlds.sends(world.post(event.SearchDue(world.number), 0.25))
    assert hedges
    assert first.searches[0].shard in {sub.shard for hedge in hedges for sub in hedge.searches}


def answer_all(world, sent, **changes):
    """Answer requests, including those sent meanwhile, until none is in flight."""
    got = []
    while sent:
        effects = world.answer(sent.pop(0), **changes)
        sent += worlds.sends(effects)
        got += effects
    return got


def test_snapshot_reported_gone_by_every_target_is_still_tried(world):
    answer_all(world, worlds.sends(world.search()), error="snapshot_gone")
    (answer,) = worlds.answers(answer_all(world, worlds.sends(world.search())))
    assert answer.coverage.shards_answered == 6
    assert not any(
        route.snapshot.name != "s1" for route in world.state.services[fleets.SERVICE].routes
    )


def test_budgets_carried_over_to_a_new_configuration_are_capped(world):
    service = world.state.services[fleets.SERVICE]
    service.hedge_budget.tokens = service.retry_budget.tokens = 1000.0
    world.publish(version=7, budget={"hedge_percent": 3})
    service = world.state.services[fleets.SERVICE]
    assert service.spec.hedge_percent == 3
    assert service.hedge_budget.tokens == service.hedge_budget.cap
    assert service.retry_budget.tokens == service.retry_budget.cap
