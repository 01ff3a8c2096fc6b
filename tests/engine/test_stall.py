import random

import pytest

from hyssopproxy.engine import stall

PERIOD_S = 2.4
LENGTH_S = 0.1


def learn(sightings, period_s=PERIOD_S, noise=0.4, seed=3, targets=40, seconds=30.0):
    """Return the recurrence and the stalls of targets that pause, seen now and then."""
    rng = random.Random(seed)
    recurrence = stall.Recurrence()
    phases = [rng.random() * period_s for _ in range(targets)]
    known = [stall.Stalls() for _ in range(targets)]
    times = sorted(rng.random() * seconds for _ in range(sightings))
    for at in times:
        index = rng.randrange(targets)
        end = phases[index] + round(at / period_s) * period_s
        if rng.random() < noise:
            end = at
        known[index].record(end + rng.random() * 0.008, recurrence)
    return recurrence, known, phases


@pytest.mark.parametrize("period_s", [0.9, 2.4, 6.0])
@pytest.mark.parametrize("seed", range(5))
def test_the_period_is_found_among_lost_packets_and_slow_answers(period_s, seed):
    seconds = 10 * period_s
    recurrence, _, _ = learn(400, period_s=period_s, seed=seed, seconds=seconds)
    assert recurrence.period_s == pytest.approx(period_s, abs=0.01)


@pytest.mark.parametrize("seed", range(20))
def test_no_period_is_found_in_noise(seed):
    recurrence, _, _ = learn(400, noise=1.0, seed=seed)
    assert recurrence.period_s == 0.0


def test_the_next_pause_is_told_from_earlier_ones():
    recurrence, known, phases = learn(600, noise=0.2)
    recurrence.length_s = LENGTH_S
    confirmed = [index for index, one in enumerate(known) if one.is_confirmed(recurrence)]
    assert len(confirmed) > 30
    right = 0
    for index in confirmed:
        end = phases[index] + 14 * PERIOD_S
        during = known[index].delay_s(end - 0.05, 0.01, recurrence)
        after = known[index].delay_s(end + 0.5, 0.01, recurrence)
        right += after == 0.0 and during == pytest.approx(0.05, abs=0.03)
    assert right >= 0.9 * len(confirmed)


def make_confirmed():
    recurrence = stall.Recurrence(period_s=PERIOD_S, length_s=LENGTH_S)
    stalls = stall.Stalls()
    for cycle in range(3):
        stalls.record(100.0 + cycle * PERIOD_S, recurrence)
    return stalls, recurrence


def test_a_pause_delays_what_is_sent_before_its_end_and_not_after():
    stalls, recurrence = make_confirmed()
    end = 100.0 + 4 * PERIOD_S
    assert stalls.delay_s(end - 0.08, 0.01, recurrence) == pytest.approx(0.08)
    assert stalls.delay_s(end - 0.105, 0.01, recurrence) == pytest.approx(LENGTH_S)
    assert stalls.delay_s(end - 0.2, 0.01, recurrence) == 0.0
    assert stalls.delay_s(end + 0.001, 0.01, recurrence) == 0.0


def test_a_late_answer_at_another_time_leaves_the_phase_as_it_is():
    stalls, recurrence = make_confirmed()
    assert stalls.record(106.0, recurrence), "worth telling"
    assert not stalls.record(106.05, recurrence), "the same once more"
    end = 100.0 + 4 * PERIOD_S
    assert stalls.delay_s(end - 0.05, 0.01, recurrence) > 0.0
    assert not stalls.explains(105.9, 106.0, 0.01, recurrence)
    assert stalls.explains(end - 0.09, end + 0.005, 0.01, recurrence)


def test_two_late_answers_that_agree_are_a_new_phase():
    stalls, recurrence = make_confirmed()
    stalls.record(106.0, recurrence)
    stalls.record(106.0 + PERIOD_S, recurrence)
    assert stalls.delay_s(106.0 + 3 * PERIOD_S - 0.05, 0.01, recurrence) > 0.0
    assert stalls.delay_s(100.0 + 6 * PERIOD_S - 0.05, 0.01, recurrence) == 0.0


def test_what_others_learnt_is_taken_over_while_less_is_known_here():
    recurrence = stall.Recurrence()
    recurrence.adopt(0.0, 0.0)
    recurrence.adopt(9000.0, 0.1)
    assert recurrence.period_s == 0.0
    recurrence.adopt(2.4, 0.1)
    recurrence.adopt(3.0, 0.2)
    assert (recurrence.period_s, recurrence.length_s) == (2.4, pytest.approx(0.15))
    for _ in range(5):
        recurrence.record_length(0.1)
    recurrence.adopt(2.4, 0.3)
    assert recurrence.length_s == pytest.approx(0.12)


def test_a_few_delays_of_other_causes_do_not_stretch_the_pauses():
    rng = random.Random(5)
    recurrence = stall.Recurrence(period_s=PERIOD_S)
    for _ in range(64):
        recurrence.record_length(0.03 + rng.random() * 0.07 if rng.random() < 0.88 else 0.6)
    assert 0.08 <= recurrence.length_s <= 0.13


def test_a_period_that_no_longer_holds_is_given_up():
    recurrence, _, _ = learn(400)
    assert recurrence.period_s
    rng = random.Random(1)
    for _ in range(2 * stall.KEPT_GAPS):
        recurrence.record_gap(0.5 + rng.random() * 20.0)
    assert recurrence.period_s == 0.0


def test_looks_for_a_period_become_rare_where_nothing_recurs(monkeypatch):
    looks = []
    refresh = stall.Recurrence._refresh
    monkeypatch.setattr(stall.Recurrence, "_refresh", lambda self: (looks.append(1), refresh(self)))
    rng = random.Random(4)
    recurrence = stall.Recurrence()
    for _ in range(6000):
        recurrence.record_gap(0.5 + rng.random() * 20.0)
    assert len(looks) <= 15
    assert recurrence.period_s == 0.0
