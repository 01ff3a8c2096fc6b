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
def test_no_window_holds_more_extras_than_its_requests_allow(steps):
    """Whatever the times of requests and failures."""
    one = budget.Budget(10.0)
    now = 0.0
    firsts, extras = [], []
    for gap, tries in steps:
        now += gap
        one.record_first_attempt(now)
        firsts.append(now)
        for _ in range(tries):
            if one.can_send_extra(now, 0.2, 7.0, is_hedge=False):
                one.record_extra_attempt(now)
                extras.append(now)
    for end in extras:
        counted = sum(end - 10.0 <= at <= end for at in extras)
        asked = sum(end - 11.0 <= at <= end for at in firsts)
        assert counted <= 0.2 * asked + 7.0


def test_hedges_leave_a_reserve_for_retries():
    one = budget.Budget(10.0)
    while one.can_send_extra(0.0, 0.2, 20.0, is_hedge=True):
        one.record_extra_attempt(0.0)
    assert one.can_send_extra(0.0, 0.2, 20.0, is_hedge=False)


def test_a_budget_comes_back_as_the_window_moves_on():
    one = budget.Budget(10.0)
    while one.can_send_extra(0.0, 0.2, 7.0, is_hedge=False):
        one.record_extra_attempt(0.0)
    assert not one.can_send_extra(9.0, 0.2, 7.0, is_hedge=False)
    assert one.can_send_extra(11.5, 0.2, 7.0, is_hedge=False)
