"""Speed and health of targets, derived from their answers and from reports of other daemons.

Handles the case where targets are slow, shed or fail requests, stop answering, or pause. A late
answer that a known pause explains does not count against the speed of a target, and a single late
answer, for example after a lost packet, counts little.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import model
from hyssopproxy.engine import reach
from hyssopproxy.engine import speed
from hyssopproxy.engine import stall
from hyssopproxy.engine import state as states

SLOWNESS_WEIGHT = 0.35  # weight of the newest answer in the moving average
SLOWNESS_HALF_LIFE_S = 2.5  # decay by age, so that slow targets are tried again
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in a target's failure rate
FAILURE_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 30.0
REPORTED_FAILURE_WEIGHT = 0.12  # weight of a failure that another daemon reports
SLOW_RATIO = 2.5  # reports of a target already known to be this slow are not passed on
FAILING_RATE = 0.2  # reports of a target already known to fail at this rate are not passed on
LATE_WINDOW_S = 1.5  # two late answers within this time indicate slowness, not recurring pauses
LATE_MERGE_S = 0.3  # late and missing answers this close together may have one cause, as a pause
SILENT_GROWTH = 2.0  # a missing answer is recorded again when it is this many times as late
MAX_SINGLE_LATE_RATIO = 3.0  # cap on the ratio of a single late answer, as after a lost packet
SILENT_S = 0.12  # minimum delay over the typical latency at which a missing answer is reported
SILENT_RATIO = 4.0  # the same, as a multiple of the typical latency
FAILURE_REPORT_INTERVAL_S = 0.5  # minimum time between two failure reports of a target
BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
SHED_BACKOFF_S = 0.08  # after a shed request; doubles with each further consecutive one
MAX_SHED_BACKOFF_S = 0.6


def slowness(target: states.Target, now: float) -> float:
    """Return the target's recent latency divided by the median of the route, decayed by age."""
    if target.slowness <= 1.0:
        return target.slowness
    age = now - target.slowness_at
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)


def failure_rate(target: states.Target, now: float) -> float:
    """Return the share of recent requests that the target shed or failed, decayed by age."""
    if target.failure_rate == 0.0:
        return 0.0
    return target.failure_rate * 0.5 ** ((now - target.failure_rate_at) / FAILURE_HALF_LIFE_S)


def overdue_s(target: states.Target, now: float, pattern: stall.PausePattern) -> float:
    """Return how long the oldest request in flight has been overdue, 0 if a pause explains it."""
    for attempt in target.attempts.values():
        if now <= attempt.hedge_at or _is_paused(attempt, now, pattern):
            return 0.0
        return now - attempt.hedge_at
    return 0.0


def _is_paused(attempt: states.Attempt, now: float, pattern: stall.PausePattern) -> bool:
    """Return whether a pause of the target explains why the request has no answer."""
    return attempt.target.pauses.explains(attempt.sent_at, now, attempt.typical_latency_s, pattern)


def record_answer(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Record a complete answer: clear the target's faults and update its speed."""
    target = attempt.target
    if attempt.sent_at > target.backed_off_at:
        target.consecutive_faults = 0
        target.backoff_until = states.NEVER
    target.consecutive_sheds = 0
    target.shed_until = states.NEVER
    _update_failure_rate(target, False, now)
    reach.record_answer(state, target.entry.failure_domain, now)
    if median_s > 0.0:
        _record_latency(state, attempt, now, median_s)
    else:
        speed.record_answer(state, attempt, None, now)


def _record_latency(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Update the target's slowness and pauses; a delay by a known pause is not slowness."""
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
            speed.record_answer(state, attempt, None, now)
            return
        speed.record_answer(state, attempt, ratio, now)
        ratio = _cap_single_late(target, ratio, now)
    else:
        speed.record_answer(state, attempt, ratio, now)
    _update_slowness(target, ratio, now)


def record_overdue(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Record that a request is overdue, unless a pause explains it."""
    if _is_paused(attempt, now, state.pause_pattern):
        return
    attempt.is_overdue = True
    if attempt.typical_latency_s > 0.0:
        ratio = (now - attempt.sent_at) / attempt.typical_latency_s
        if speed.has_waited(state, attempt.sent_at, now):
            speed.record_late(attempt.target, attempt.sent_at, ratio, now)
        _raise_slowness(attempt.target, ratio, now)


def record_overdue_attempts(state: states.State, now: float, out: list) -> None:
    """Record overdue and silent attempts against their targets."""
    for attempt in state.attempts.values():
        if attempt.hedge_at <= now:
            if not attempt.is_overdue:
                record_overdue(state, attempt, now)
            record_silent(state, attempt, now)


def record_silent(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Record a request as silent if it is so late that its target may be unreachable or overloaded.

    It is recorded again as it gets later, as its delay shows how long the queue of the target is.
    The first requests after a start are late even at reachable targets, as they open connections.
    """
    late_s = now - attempt.sent_at - attempt.typical_latency_s
    if late_s < max(SILENT_S, SILENT_RATIO * attempt.typical_latency_s):
        return
    if attempt.typical_latency_s <= 0.0 or _is_paused(attempt, now, state.pause_pattern):
        return
    ratio = (now - attempt.sent_at) / attempt.typical_latency_s
    if ratio < SILENT_GROWTH * attempt.silent_ratio:
        return
    target = attempt.target
    if attempt.silent_ratio == 0.0:
        reach.record_no_answer(state, target.entry.failure_domain, now)
    attempt.silent_ratio = ratio
    ratio = min(MAX_SLOWNESS, ratio)
    queue_observation(state, target, datagram.Symptom.SILENT, now, ratio)
    if speed.has_waited(state, attempt.sent_at, now):
        speed.record_silent(target, attempt.sent_at, ratio, now)
    _record_late(target, now)
    _raise_slowness(target, _cap_single_late(target, ratio, now), now)


def _record_late(target: states.Target, now: float) -> None:
    """Record the time of a late or missing answer, together with those that it belongs to."""
    if now - target.late_at > LATE_MERGE_S:
        target.earlier_late_at = target.late_at
        target.late_at = now


def _raise_slowness(target: states.Target, ratio: float, now: float) -> bool:
    """Update the slowness by a ratio that is a lower limit; return whether it was higher."""
    is_higher = ratio > slowness(target, now)
    if is_higher:
        _update_slowness(target, min(MAX_SLOWNESS, ratio), now)
    return is_higher


def _cap_single_late(target: states.Target, ratio: float, now: float) -> float:
    """Return the ratio, capped unless other answers were late recently."""
    since = now - LATE_WINDOW_S
    if target.earlier_late_at >= since or target.pauses.count_since(since) >= 2:
        return ratio
    return min(ratio, MAX_SINGLE_LATE_RATIO)


def _update_slowness(target: states.Target, ratio: float, now: float) -> None:
    old = slowness(target, now)
    target.slowness = old + (ratio - old) * SLOWNESS_WEIGHT
    target.slowness_at = now


def record_shed(
    state: states.State, target: states.Target, retry_after_s: float, now: float
) -> None:
    """Record that the target shed a request, and back off from it."""
    _record_failure(state, target, now)
    backoff = min(MAX_SHED_BACKOFF_S, SHED_BACKOFF_S * 2**target.consecutive_sheds)
    target.consecutive_sheds = min(target.consecutive_sheds + 1, 8)
    target.shed_until = now + max(backoff, min(retry_after_s, MAX_SHED_BACKOFF_S))


def record_fault(
    state: states.State, attempt: states.Attempt, outcome: model.Outcome, now: float
) -> None:
    """Record a fault of the target; requests sent before its last backoff do not extend it."""
    target = attempt.target
    if outcome in (model.Outcome.CONNECT, model.Outcome.TIMEOUT):
        reach.record_no_answer(state, target.entry.failure_domain, now)
    _record_failure(state, target, now)
    if attempt.sent_at <= target.backed_off_at:
        return
    target.consecutive_faults += 1
    if target.consecutive_faults >= 2 or outcome is model.Outcome.CONNECT:
        longest = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(target.consecutive_faults, 6))
        target.backed_off_at = now
        target.backoff_until = now + longest * (0.7 + 0.3 * state.rng.random())


def _record_failure(state: states.State, target: states.Target, now: float) -> None:
    _update_failure_rate(target, True, now)
    if now - target.failure_reported_at >= FAILURE_REPORT_INTERVAL_S:
        target.failure_reported_at = now
        queue_observation(state, target, datagram.Symptom.FAILED, now)


def _update_failure_rate(
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
    """Queue an observation for the next report to other daemons."""
    observation = states.Observation(target.id, symptom, at, ratio)
    state.pending_observations[target.id, symptom] = observation


def record_reported(
    state: states.State, target: states.Target, observation: states.Observation, now: float
) -> bool:
    """Record an observation of another daemon; return whether to pass it on."""
    if observation.symptom is datagram.Symptom.LATE:
        return _record_reported_late(state, target, observation, now)
    if observation.symptom is datagram.Symptom.SILENT:
        speed.record_reported(state, target, observation)
        _record_late(target, observation.at)
        return _update_reported_slowness(
            target, _cap_single_late(target, observation.ratio, now), now
        )
    was_failing = failure_rate(target, now) >= FAILING_RATE
    _update_failure_rate(target, True, now, REPORTED_FAILURE_WEIGHT)
    return not was_failing


def _record_reported_late(
    state: states.State, target: states.Target, observation: states.Observation, now: float
) -> bool:
    pauses = target.pauses
    if not pauses.record(observation.at, state.pause_pattern):
        return False
    if now - observation.at > LATE_WINDOW_S:
        return True
    is_single = pauses.count_since(now - LATE_WINDOW_S) < 2
    if is_single and observation.at not in pauses.off_phase_ends:
        return True  # probably a pause, which does not show that the target is slow
    speed.record_reported(state, target, observation)
    return _update_reported_slowness(target, _cap_single_late(target, observation.ratio, now), now)


def _update_reported_slowness(target: states.Target, ratio: float, now: float) -> bool:
    """Record a slowness that another daemon reports; return whether it is new information."""
    current = slowness(target, now)
    _raise_slowness(target, ratio, now)
    return current < max(SLOW_RATIO, ratio / SILENT_GROWTH)
