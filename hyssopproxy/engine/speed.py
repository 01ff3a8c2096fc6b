"""The newest evidence of how long a target takes, shared between daemons.

Handles shards whose targets are all slow or silent. `health.slowness` weighs and decays its
samples, which suits the choice between targets, but understates a lasting slowness by half. Late
and missing answers are reported as before. Answers in good time of a target that counted as slow or
silent are reported too, so that its recovery is known to daemons that no longer ask it.
"""

import math

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

# Evidence of lasting slowness counts for this long without new evidence. Reports of a slowness that
# is known are passed on again after 2.5 s, its half-life, and not all of them arrive.
RECENT_S = 8.0
SLOW_RATIO = 2.5  # a target with a lower ratio does not count as slow
RECOVERY_FACTOR = 0.5  # a ratio below this fraction of the one before is a recovery
LASTING_S = 0.4  # late answers of one pause, at most 250 ms long, are closer together than this
# A target whose missing answers span less than this may only pause or have a long queue.
MIN_SILENCE_S = 0.6
PAUSE_GAP_S = 1.0  # pauses are further apart, at least 2.4 s from start to start
LATE_NOW_S = 0.25  # longest pause
STANDSTILL_S = 0.5  # without a tick for this long, the daemon itself stood still
MAX_RATIO = 30.0
LOCAL_FANOUT = 3  # datagrams per round to daemons of the same failure domain
REMOTE_FANOUT = 1  # datagrams per round to daemons of other failure domains
ROUND_INTERVAL_S = 0.1  # least time between two rounds; bounds the datagrams to 40 per second
MAX_ANSWERS_PER_DATAGRAM = 25  # keeps a datagram under 1,400 bytes
MAX_AGE_S = 2.0  # older answers are not passed on


def is_lasting(target: states.Target, now: float) -> bool:
    """Return whether the target is known to be slow or silent for longer than a pause lasts."""
    if silence_s(target, now) > 0.0:
        return True
    is_recent = now - target.recent_ratio_at <= RECENT_S
    return is_recent and target.recent_ratio_at - target.slow_since >= LASTING_S


def is_late_now(target: states.Target, now: float) -> bool:
    """Return whether the newest evidence is so recent that the target may still be paused."""
    return target.slow_since < math.inf and now - target.recent_ratio_at <= LATE_NOW_S


def ratio(target: states.Target, slowness: float, now: float) -> float:
    """Return the latency to expect divided by the typical one, at least 1.

    `slowness` is the decayed average, which counts if there is no recent evidence.
    """
    if now - target.recent_ratio_at <= RECENT_S:
        return max(1.0, target.recent_ratio)
    return max(1.0, slowness)


def silence_s(target: states.Target, now: float) -> float:
    """Return for how long the target has answered nothing; 0 if a pause may explain it."""
    if now - target.silent_at > RECENT_S or target.silent_at - target.silent_since < MIN_SILENCE_S:
        return 0.0
    return now - target.silent_since


def _record_ratio(target: states.Target, new_ratio: float, at: float) -> None:
    was_lasting = target.recent_ratio_at - target.slow_since >= LASTING_S
    longest_gap_s = RECENT_S if was_lasting else PAUSE_GAP_S
    if new_ratio < SLOW_RATIO:
        target.slow_since = math.inf
    elif target.slow_since == math.inf or at - target.recent_ratio_at > longest_gap_s:
        target.slow_since = at
    target.recent_ratio = min(MAX_RATIO, new_ratio)
    target.recent_ratio_at = at


def has_waited(state: states.State, sent_at: float, now: float) -> bool:
    """Return whether this daemon has run since it sent a request.

    After it has stood still, requests look late whose answers it has not read yet.
    """
    return sent_at >= state.resumed_at and now - state.last_tick_at <= STANDSTILL_S


def record_late(target: states.Target, sent_at: float, new_ratio: float, at: float) -> None:
    """Record that a request had no answer at a time, as a multiple of the typical latency."""
    if sent_at < target.recovered_at or new_ratio < SLOW_RATIO or at < target.recent_ratio_at:
        return
    if at - target.recent_ratio_at <= RECENT_S:
        new_ratio = max(new_ratio, target.recent_ratio)
    _record_ratio(target, new_ratio, at)


def record_silent(target: states.Target, sent_at: float, new_ratio: float, at: float) -> None:
    """Record a request that has had no answer for long."""
    record_late(target, sent_at, new_ratio, at)
    if sent_at <= target.answered_at or at <= target.silent_at:
        return
    was_lasting = target.silent_at - target.silent_since >= MIN_SILENCE_S
    longest_gap_s = RECENT_S if was_lasting else PAUSE_GAP_S
    if target.silent_since == math.inf or sent_at - target.silent_at > longest_gap_s:
        target.silent_since = sent_at
    target.silent_at = at


def record_reported(
    state: states.State, target: states.Target, observation: states.Observation
) -> None:
    """Record a late or missing answer that another daemon reports."""
    medians = [item.latency.median for item in state.route_statistics.values()]
    late_s = observation.ratio * min(filter(None, medians), default=0.0)
    # One report alone, as from a daemon that stood still itself, does not show a lasting silence.
    sent_at = observation.at - min(late_s, LASTING_S)
    if observation.symptom is datagram.Symptom.SILENT:
        record_silent(target, sent_at, observation.ratio, observation.at)
    else:
        record_late(target, sent_at, observation.ratio, observation.at)


def record_answer(
    state: states.State, attempt: states.Attempt, new_ratio: float | None, now: float
) -> None:
    """Record a complete answer; it is reported if the target counted as slow or silent.

    The ratio is None if a pause of the target delayed the answer.
    """
    target = attempt.target
    if attempt.sent_at < target.recovered_at:
        return
    if _apply_answer(target, new_ratio, attempt.sent_at, now, now):
        state.pending_answers[target.id] = (now, new_ratio or 0.0)


def _apply_answer(
    target: states.Target, new_ratio: float | None, sent_at: float, at: float, now: float
) -> bool:
    """Update the target by an answer received at `at`; return whether it is a recovery.

    Requests sent before a recovery say nothing of the speed after it.
    """
    is_recovery = target.silent_since < at
    if is_recovery:
        target.silent_since = math.inf
    target.answered_at = max(target.answered_at, at)
    if new_ratio is not None and at >= target.recent_ratio_at:
        was_slow = ratio(target, 1.0, now) >= SLOW_RATIO
        if was_slow and new_ratio <= RECOVERY_FACTOR * target.recent_ratio:
            is_recovery = True
        _record_ratio(target, new_ratio, at)
    if is_recovery:
        target.recovered_at = max(target.recovered_at, sent_at)
    return is_recovery


def handle_answers(
    state: states.State, received: event.AnswersReceived, now: float, out: list
) -> None:
    """Apply answers that other daemons received; those that are a recovery are passed on."""
    for answer in received.message.answers:
        target = state.targets_by_id.get(answer.target_id)
        at = now - answer.age_ms / 1000
        if target is None or now - at > MAX_AGE_S:
            continue
        if _apply_answer(target, answer.ratio or None, at, at, now):
            state.pending_answers[target.id] = (at, answer.ratio)


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Report recoveries of targets to a few daemons."""
    if not state.pending_answers or now - state.answers_sent_at < ROUND_INTERVAL_S:
        return
    state.answers_sent_at = now
    fresh = sorted(
        (
            (at, target_id, new_ratio)
            for target_id, (at, new_ratio) in state.pending_answers.items()
        ),
        reverse=True,
    )
    state.pending_answers.clear()
    message = datagram.Answers(
        tuple(
            datagram.Answer(target_id, max(0, round((now - at) * 1000)), round(new_ratio, 1))
            for at, target_id, new_ratio in fresh[:MAX_ANSWERS_PER_DATAGRAM]
            if now - at <= MAX_AGE_S
        )
    )
    if not message.answers:
        return
    remote_fanout = REMOTE_FANOUT if membership.is_remote_sender(state, now) else 0
    local, remote = membership.choose_peers(state, LOCAL_FANOUT, remote_fanout, now)
    out.extend(effect.SendPeer(ip, message) for ip in (*local, *remote))
    state.counters["answers_reported"] += len(message.answers)
