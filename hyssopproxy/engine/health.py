"""What is known of a target's speed and soundness, from its answers and from other daemons.

Answers stragglers, targets that shed, fail or fall silent, and pauses: what a known pause explains
says nothing of a target's speed, and a single late answer, such as by a lost packet, says little.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import model
from hyssopproxy.engine import reach
from hyssopproxy.engine import stall
from hyssopproxy.engine import state as states

SLOWNESS_WEIGHT = 0.35  # of the newest answer
SLOWNESS_HALF_LIFE_S = 2.5  # an old observation fades, so that slow targets are tried again
FAILURE_WEIGHT = 0.25  # of the newest outcome in a target's failure rate
FAILURE_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 30.0
REPORTED_FAILURE_WEIGHT = 0.12  # of a failure that another daemon met
SLOW_RATIO = 2.5  # a target this slow needs no more reports
FAILING_RATE = 0.2  # nor does one that fails this part
STRAY_S = 1.5  # two late answers within this time are no pause that recurs
LONE_RATIO = 3.0  # one late answer, such as by a lost packet, counts as no slower than this
SILENT_S = 0.12  # a request this long past its usual time is worth telling others
SILENT_RATIO = 4.0  # the same, in usual times
FAILURE_TOLD_S = 0.5  # between two reports of failures of one target
BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
SHED_PAUSE_S = 0.08  # a shedding target is left alone this long, doubled for each shed in a row
MAX_SHED_PAUSE_S = 0.6


def slowness(target: states.Target, now: float) -> float:
    """Return the target's recent latency against what is usual, faded by its age."""
    if target.slowness <= 1.0:
        return target.slowness
    age = now - target.slowness_at
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)


def failure_rate(target: states.Target, now: float) -> float:
    """Return the share of recent requests that the target shed or failed, faded by its age."""
    if target.failure_rate == 0.0:
        return 0.0
    return target.failure_rate * 0.5 ** ((now - target.failure_rate_at) / FAILURE_HALF_LIFE_S)


def overdue_s(target: states.Target, now: float, pattern: stall.PausePattern) -> float:
    """Return how long the oldest request in flight is past its usual time for no known reason."""
    for attempt in target.attempts.values():
        if now <= attempt.hedge_at or _is_paused(attempt, now, pattern):
            return 0.0
        return now - attempt.hedge_at
    return 0.0


def _is_paused(attempt: states.Attempt, now: float, pattern: stall.PausePattern) -> bool:
    """Return whether a pause of the target is why the request has no answer."""
    return attempt.target.pauses.explains(attempt.sent_at, now, attempt.typical_latency_s, pattern)


def record_answer(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Take in a complete answer: the target lives, and this is how fast it is."""
    target = attempt.target
    if attempt.sent_at > target.backed_off_at:
        target.consecutive_faults = 0
        target.backoff_until = states.NEVER
    target.consecutive_sheds = 0
    target.shed_until = states.NEVER
    _count_outcome(target, False, now)
    reach.record_answer(state, target.entry.failure_domain, now)
    if median_s > 0.0:
        _record_latency(state, attempt, now, median_s)


def _record_latency(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Learn how fast the target is, and when it pauses; a known pause is no slowness."""
    target = attempt.target
    latency_s = now - attempt.sent_at
    ratio = min(MAX_SLOWNESS, latency_s / median_s)
    if stall.may_be_pause(latency_s, median_s):
        is_paused = _is_paused(attempt, now, state.pause_pattern)
        if target.pauses.record(now, state.pause_pattern):
            queue_observation(state, target, datagram.Symptom.LATE, now, ratio)
        if is_paused:
            state.pause_pattern.record_length(latency_s - median_s)
            state.counters["answers_paused"] += 1
            return
        ratio = _weigh_late(target, ratio, now)
    _observe(target, ratio, now)


def record_overdue(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Take in that a request is past its usual time."""
    if _is_paused(attempt, now, state.pause_pattern):
        return
    attempt.is_overdue = True
    if attempt.typical_latency_s > 0.0:
        ratio = (now - attempt.sent_at) / attempt.typical_latency_s
        if ratio > slowness(attempt.target, now):
            _observe(attempt.target, min(MAX_SLOWNESS, ratio), now)


def record_silent(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Take in a request that is so late that its target may be out of reach.

    The first requests after a start open connections and are late without that.
    """
    late_s = now - attempt.sent_at - attempt.typical_latency_s
    if late_s < max(SILENT_S, SILENT_RATIO * attempt.typical_latency_s):
        return
    if attempt.typical_latency_s <= 0.0 or _is_paused(attempt, now, state.pause_pattern):
        return
    attempt.is_silent = True
    reach.record_no_answer(state, attempt.target.entry.failure_domain, now)
    ratio = min(MAX_SLOWNESS, (now - attempt.sent_at) / attempt.typical_latency_s)
    queue_observation(state, attempt.target, datagram.Symptom.SILENT, now, ratio)


def _weigh_late(target: states.Target, ratio: float, now: float) -> float:
    """Return the slowness that a late answer proves, given others that came lately."""
    if target.pauses.count_since(now - STRAY_S) >= 2:
        return ratio
    return min(ratio, LONE_RATIO)


def _observe(target: states.Target, ratio: float, now: float) -> None:
    old = slowness(target, now)
    target.slowness = old + (ratio - old) * SLOWNESS_WEIGHT
    target.slowness_at = now


def record_shed(
    state: states.State, target: states.Target, retry_after_s: float, now: float
) -> None:
    """Take in that the target had no room; it is left alone for a moment."""
    _count_failure(state, target, now)
    pause = min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2**target.consecutive_sheds)
    target.consecutive_sheds = min(target.consecutive_sheds + 1, 8)
    target.shed_until = now + max(pause, min(retry_after_s, MAX_SHED_PAUSE_S))


def record_fault(
    state: states.State, attempt: states.Attempt, outcome: model.Outcome, now: float
) -> None:
    """Take in a fault of the target; what was sent before a backoff began tells nothing new."""
    target = attempt.target
    if outcome in (model.Outcome.CONNECT, model.Outcome.TIMEOUT):
        reach.record_no_answer(state, target.entry.failure_domain, now)
    _count_failure(state, target, now)
    if attempt.sent_at <= target.backed_off_at:
        return
    target.consecutive_faults += 1
    if target.consecutive_faults >= 2 or outcome is model.Outcome.CONNECT:
        longest = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(target.consecutive_faults, 6))
        target.backed_off_at = now
        target.backoff_until = now + longest * (0.7 + 0.3 * state.rng.random())


def _count_failure(state: states.State, target: states.Target, now: float) -> None:
    _count_outcome(target, True, now)
    if now - target.failure_reported_at >= FAILURE_TOLD_S:
        target.failure_reported_at = now
        queue_observation(state, target, datagram.Symptom.FAILED, now)


def _count_outcome(
    target: states.Target, is_failure: bool, now: float, weight: float = FAILURE_WEIGHT
) -> None:
    old = failure_rate(target, now)
    target.failure_rate = old + (float(is_failure) - old) * weight
    target.failure_rate_at = now


def queue_observation(
    state: states.State,
    target: states.Target,
    symptom: datagram.Symptom,
    at: float,
    ratio: float = 0.0,
) -> None:
    """Remember what other daemons are to be told."""
    finding = states.Observation(target.id, symptom, at, ratio)
    state.pending_observations[target.id, symptom] = finding


def record_reported(
    state: states.State, target: states.Target, finding: states.Observation, now: float
) -> bool:
    """Take in what another daemon saw; return whether it is worth passing on."""
    if finding.symptom is datagram.Symptom.LATE:
        return _record_reported_late(state, target, finding, now)
    if finding.symptom is datagram.Symptom.SILENT:
        return _observe_reported(target, _weigh_late(target, finding.ratio, now), now)
    was_failing = failure_rate(target, now) >= FAILING_RATE
    _count_outcome(target, True, now, REPORTED_FAILURE_WEIGHT)
    return not was_failing


def _record_reported_late(
    state: states.State, target: states.Target, finding: states.Observation, now: float
) -> bool:
    pauses = target.pauses
    if not pauses.record(finding.at, state.pause_pattern):
        return False
    if now - finding.at > STRAY_S:
        return True
    is_lone = pauses.count_since(now - STRAY_S) < 2
    if is_lone and finding.at not in pauses.off_phase_ends:
        return True  # a pause
    return _observe_reported(target, _weigh_late(target, finding.ratio, now), now)


def _observe_reported(target: states.Target, ratio: float, now: float) -> bool:
    """Take in that another daemon found the target slow; return whether that is news."""
    known = slowness(target, now)
    if ratio > known:
        _observe(target, min(MAX_SLOWNESS, ratio), now)
    return known < SLOW_RATIO
