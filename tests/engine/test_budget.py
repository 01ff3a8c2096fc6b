import hypothesis
import hypothesis.strategies

from hyssopproxy.engine import budget

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
