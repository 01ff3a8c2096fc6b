import random

import pytest

from hyssopproxy.engine import stall

PERIOD_S = 2.4
LENGTH_S = 0.1


def learn(answers, period_s=PERIOD_S, noise=0.4, seed=3, targets=40, seconds=30.0):
    """Return the pattern, histories and phases of targets after late answers at random times.

    A share `noise` of the late answers has a cause other than a pause.
    """
    rng = random.Random(seed)
    pattern = stall.PausePattern()
    phases = [rng.random() * period_s for _ in range(targets)]
    histories = [stall.PauseHistory() for _ in range(targets)]
    times = sorted(rng.random() * seconds for _ in range(answers))
    for at in times:
        index = rng.randrange(targets)
        end = phases[index] + round(at / period_s) * period_s
        if rng.random() < noise:
            end = at
        histories[index].record(end + rng.random() * 0.008, pattern)
    return pattern, histories, phases


@pytest.mark.parametrize("period_s", [0.9, 2.4, 6.0])
@pytest.mark.parametrize("seed", range(5))
def test_period_is_found_despite_lost_packets_and_slow_answers(period_s, seed):
    seconds = 10 * period_s
    pattern, _, _ = learn(400, period_s=period_s, seed=seed, seconds=seconds)
    assert pattern.period_s == pytest.approx(period_s, abs=0.01)


@pytest.mark.parametrize("seed", range(20))
def test_no_period_is_found_in_noise(seed):
    pattern, _, _ = learn(400, noise=1.0, seed=seed)
    assert pattern.period_s == 0.0


def test_next_pause_is_predicted_from_earlier_ones():
    pattern, histories, phases = learn(600, noise=0.2)
    pattern.length_s = LENGTH_S
    confirmed = [index for index, history in enumerate(histories) if history.is_confirmed(pattern)]
    assert len(confirmed) > 30
    correct = 0
    for index in confirmed:
        end = phases[index] + 14 * PERIOD_S
        during = histories[index].delay_s(end - 0.05, 0.01, pattern)
        after = histories[index].delay_s(end + 0.5, 0.01, pattern)
        correct += after == 0.0 and during == pytest.approx(0.05, abs=0.03)
    assert correct >= 0.9 * len(confirmed)


def make_confirmed():
    pattern = stall.PausePattern(period_s=PERIOD_S, length_s=LENGTH_S)
    history = stall.PauseHistory()
    for cycle in range(3):
        history.record(100.0 + cycle * PERIOD_S, pattern)
    return history, pattern


def test_pause_delays_requests_sent_before_its_end_but_not_after():
    history, pattern = make_confirmed()
    end = 100.0 + 4 * PERIOD_S
    assert history.delay_s(end - 0.08, 0.01, pattern) == pytest.approx(0.08)
    assert history.delay_s(end - 0.105, 0.01, pattern) == pytest.approx(LENGTH_S)
    assert history.delay_s(end - 0.2, 0.01, pattern) == 0.0
    assert history.delay_s(end + 0.001, 0.01, pattern) == 0.0


def test_single_late_answer_outside_the_phase_does_not_change_it():
    history, pattern = make_confirmed()
    assert history.record(106.0, pattern), "worth reporting"
    assert not history.record(106.05, pattern), "a repetition"
    end = 100.0 + 4 * PERIOD_S
    assert history.delay_s(end - 0.05, 0.01, pattern) > 0.0
    assert not history.explains(105.9, 106.0, 0.01, pattern)
    assert history.explains(end - 0.09, end + 0.005, 0.01, pattern)


def test_two_agreeing_late_answers_set_a_new_phase():
    history, pattern = make_confirmed()
    history.record(106.0, pattern)
    history.record(106.0 + PERIOD_S, pattern)
    assert history.delay_s(106.0 + 3 * PERIOD_S - 0.05, 0.01, pattern) > 0.0
    assert history.delay_s(100.0 + 6 * PERIOD_S - 0.05, 0.01, pattern) == 0.0


def test_values_of_other_daemons_are_adopted_until_measured_locally():
    pattern = stall.PausePattern()
    pattern.adopt(0.0, 0.0)
    pattern.adopt(9000.0, 0.1)
    assert pattern.period_s == 0.0
    pattern.adopt(2.4, 0.1)
    pattern.adopt(3.0, 0.2)
    assert (pattern.period_s, pattern.length_s) == (2.4, pytest.approx(0.15))
    for _ in range(5):
        pattern.record_length(0.1)
    pattern.adopt(2.4, 0.3)
    assert pattern.length_s == pytest.approx(0.12)


def test_delays_with_other_causes_do_not_increase_the_pause_length():
    rng = random.Random(5)
    pattern = stall.PausePattern(period_s=PERIOD_S)
    for _ in range(64):
        pattern.record_length(0.03 + rng.random() * 0.07 if rng.random() < 0.88 else 0.6)
    assert 0.08 <= pattern.length_s <= 0.13


def test_period_that_no_longer_holds_is_discarded():
    pattern, _, _ = learn(400)
    assert pattern.period_s
    rng = random.Random(1)
    for _ in range(2 * stall.KEPT_GAPS):
        pattern.record_gap(0.5 + rng.random() * 20.0)
    assert pattern.period_s == 0.0


def test_period_searches_become_rare_while_none_succeeds(monkeypatch):
    searches = []
    update = stall.PausePattern._update_period
    monkeypatch.setattr(
        stall.PausePattern, "_update_period", lambda self: (searches.append(1), update(self))
    )
    rng = random.Random(4)
    pattern = stall.PausePattern()
    for _ in range(6000):
        pattern.record_gap(0.5 + rng.random() * 20.0)
    assert len(searches) <= 15
    assert pattern.period_s == 0.0
