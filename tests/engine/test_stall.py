import random

import pytest

from hyssopproxy.engine import stall

PERIOD_S = 2.4
LENGTH_S = 0.1


def learn(sightings, period_s=PERIOD_S, noise=0.4, seed=3, targets=40, seconds=30.0):
    """Return the pattern and the pauses of targets that pause, seen now and then."""
    rng = random.Random(seed)
    pattern = stall.PausePattern()
    phases = [rng.random() * period_s for _ in range(targets)]
    known = [stall.PauseHistory() for _ in range(targets)]
    times = sorted(rng.random() * seconds for _ in range(sightings))
    for at in times:
        index = rng.randrange(targets)
        end = phases[index] + round(at / period_s) * period_s
        if rng.random() < noise:
            end = at
        known[index].record(end + rng.random() * 0.008, pattern)
    return pattern, known, phases


@pytest.mark.parametrize("period_s", [0.9, 2.4, 6.0])
@pytest.mark.parametrize("seed", range(5))
def test_the_period_is_found_among_lost_packets_and_slow_answers(period_s, seed):
    seconds = 10 * period_s
    pattern, _, _ = learn(400, period_s=period_s, seed=seed, seconds=seconds)
    assert pattern.period_s == pytest.approx(period_s, abs=0.01)


@pytest.mark.parametrize("seed", range(20))
def test_no_period_is_found_in_noise(seed):
    pattern, _, _ = learn(400, noise=1.0, seed=seed)
    assert pattern.period_s == 0.0


def test_the_next_pause_is_told_from_earlier_ones():
    pattern, known, phases = learn(600, noise=0.2)
    pattern.length_s = LENGTH_S
    confirmed = [index for index, one in enumerate(known) if one.is_confirmed(pattern)]
    assert len(confirmed) > 30
    right = 0
    for index in confirmed:
        end = phases[index] + 14 * PERIOD_S
        during = known[index].delay_s(end - 0.05, 0.01, pattern)
        after = known[index].delay_s(end + 0.5, 0.01, pattern)
        right += after == 0.0 and during == pytest.approx(0.05, abs=0.03)
    assert right >= 0.9 * len(confirmed)


def make_confirmed():
    pattern = stall.PausePattern(period_s=PERIOD_S, length_s=LENGTH_S)
    pauses = stall.PauseHistory()
    for cycle in range(3):
        pauses.record(100.0 + cycle * PERIOD_S, pattern)
    return pauses, pattern


def test_a_pause_delays_what_is_sent_before_its_end_and_not_after():
    pauses, pattern = make_confirmed()
    end = 100.0 + 4 * PERIOD_S
    assert pauses.delay_s(end - 0.08, 0.01, pattern) == pytest.approx(0.08)
    assert pauses.delay_s(end - 0.105, 0.01, pattern) == pytest.approx(LENGTH_S)
    assert pauses.delay_s(end - 0.2, 0.01, pattern) == 0.0
    assert pauses.delay_s(end + 0.001, 0.01, pattern) == 0.0


def test_a_late_answer_at_another_time_leaves_the_phase_as_it_is():
    pauses, pattern = make_confirmed()
    assert pauses.record(106.0, pattern), "worth telling"
    assert not pauses.record(106.05, pattern), "the same once more"
    end = 100.0 + 4 * PERIOD_S
    assert pauses.delay_s(end - 0.05, 0.01, pattern) > 0.0
    assert not pauses.explains(105.9, 106.0, 0.01, pattern)
    assert pauses.explains(end - 0.09, end + 0.005, 0.01, pattern)


def test_two_late_answers_that_agree_are_a_new_phase():
    pauses, pattern = make_confirmed()
    pauses.record(106.0, pattern)
    pauses.record(106.0 + PERIOD_S, pattern)
    assert pauses.delay_s(106.0 + 3 * PERIOD_S - 0.05, 0.01, pattern) > 0.0
    assert pauses.delay_s(100.0 + 6 * PERIOD_S - 0.05, 0.01, pattern) == 0.0


def test_what_others_learnt_is_taken_over_while_less_is_known_here():
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


def test_a_few_delays_of_other_causes_do_not_stretch_the_pauses():
    rng = random.Random(5)
    pattern = stall.PausePattern(period_s=PERIOD_S)
    for _ in range(64):
        pattern.record_length(0.03 + rng.random() * 0.07 if rng.random() < 0.88 else 0.6)
    assert 0.08 <= pattern.length_s <= 0.13


def test_a_period_that_no_longer_holds_is_given_up():
    pattern, _, _ = learn(400)
    assert pattern.period_s
    rng = random.Random(1)
    for _ in range(2 * stall.KEPT_GAPS):
        pattern.record_gap(0.5 + rng.random() * 20.0)
    assert pattern.period_s == 0.0


def test_looks_for_a_period_become_rare_where_nothing_recurs(monkeypatch):
    looks = []
    refresh = stall.PausePattern._refresh
    monkeypatch.setattr(
        stall.PausePattern, "_refresh", lambda self: (looks.append(1), refresh(self))
    )
    rng = random.Random(4)
    pattern = stall.PausePattern()
    for _ in range(6000):
        pattern.record_gap(0.5 + rng.random() * 20.0)
    assert len(looks) <= 15
    assert pattern.period_s == 0.0
