import random

import hypothesis
import hypothesis.strategies
import pytest

from hyssopproxy.engine import budget
from hyssopproxy.engine import membership
from tests.engine import world as worlds

STEPS = hypothesis.strategies.lists(
    hypothesis.strategies.tuples(
        hypothesis.strategies.floats(0.0, 2.0), hypothesis.strategies.integers(0, 5)
    ),
    max_size=80,
)


@hypothesis.given(STEPS)
def test_extra_attempts_in_any_window_stay_within_the_allowance(steps):
    """Checks arbitrary timings and numbers of requests and retries."""
    pool_budget = budget.Budget(10.0)
    now = 0.0
    first_times, extra_times = [], []
    for gap_s, retries in steps:
        now += gap_s
        pool_budget.record_first_attempt(now)
        first_times.append(now)
        for _ in range(retries):
            if pool_budget.can_send_extra(now, 0.2, 7.0, is_hedge=False):
                pool_budget.record_extra_attempt(now)
                extra_times.append(now)
    for end in extra_times:
        extra_attempts = sum(end - 10.0 <= at <= end for at in extra_times)
        requests = sum(end - 11.0 <= at <= end for at in first_times)
        assert extra_attempts <= 0.2 * requests + 7.0


def test_hedges_leave_a_reserve_for_retries():
    pool_budget = budget.Budget(10.0)
    while pool_budget.can_send_extra(0.0, 0.2, 20.0, is_hedge=True):
        pool_budget.record_extra_attempt(0.0)
    assert pool_budget.can_send_extra(0.0, 0.2, 20.0, is_hedge=False)


def test_budget_recovers_as_the_window_moves():
    pool_budget = budget.Budget(10.0)
    while pool_budget.can_send_extra(0.0, 0.2, 7.0, is_hedge=False):
        pool_budget.record_extra_attempt(0.0)
    assert not pool_budget.can_send_extra(9.0, 0.2, 7.0, is_hedge=False)
    assert pool_budget.can_send_extra(11.5, 0.2, 7.0, is_hedge=False)


def use_up(requests, slack, offset):
    """Return how many extra attempts a daemon sends that has this many requests in the window."""
    pool_budget = budget.Budget(10.0)
    for _ in range(requests):
        pool_budget.record_first_attempt(0.0)
    while pool_budget.can_send_extra(0.0, 0.2, slack, is_hedge=False, offset=offset):
        pool_budget.record_extra_attempt(0.0)
    return pool_budget.extra_attempts


@pytest.mark.parametrize("daemons", [6, 58, 73, 122, 195, 410])
@pytest.mark.parametrize("per_s", [0.4, 0.7, 1.0])
@pytest.mark.parametrize("slack", [0.0, 56.0])
@pytest.mark.parametrize("name", ["s0", "s17"])
def test_small_shares_add_up_to_most_of_the_limit_and_not_more(daemons, per_s, slack, name):
    """Guards against fleets that send no hedge or retry, as each share is below one request."""
    rng = random.Random(daemons)
    total = extras = 0
    state = worlds.World().state
    for rank in range(daemons):
        state.rank = rank
        requests = sum(rng.random() < per_s / 10 for _ in range(100))
        offset = membership.rounding_offset(state, name, state.started_at + 9.0)
        total += requests
        extras += use_up(requests, slack / daemons, offset)
    limit = 0.2 * total + slack
    assert extras <= limit
    if daemons >= 58:
        assert extras >= 0.6 * limit


def test_large_shares_are_not_rounded():
    assert use_up(100, 0.0, 0.99) == use_up(100, 0.0, 0.0) == 18
