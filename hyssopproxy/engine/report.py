"""What daemons tell each other of targets: late answers, silence and failures.

Answers a fleet in which each daemon sees so few requests that its own history is thin: without word
of the others, each of them has to meet each slow target itself. Reports spread as a rumour does: a
daemon passes on what was new to it, first within its failure domain, and drops what it knew (Demers
et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). A daemon sends a bounded
number of datagrams a second, whatever the size of the fleet.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

NEAR_FANOUT = 2  # daemons of the own failure domain that are told
FAR_FANOUT = 1  # daemons of other failure domains that are told
DATAGRAMS_PER_S = 8.0
BURST = 9.0  # datagrams that may go at once
MAX_REPORTS = 30  # in one datagram, which stays under 1,400 bytes
MAX_AGE_S = 2.0  # an older observation is not passed on
MAX_SUMMARY = 240  # targets that a daemon that has just started is told of


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Tell a few daemons what is new, and those that have just started what is known."""
    _brief_newcomers(state, now, out)
    if not state.pending_observations or not _take_tokens(state, now):
        return
    fresh = [one for one in state.pending_observations.values() if now - one.at <= MAX_AGE_S]
    state.pending_observations.clear()
    fresh.sort(key=lambda one: -one.at)
    if not fresh:
        return
    message = _compose(state, fresh[:MAX_REPORTS], now)
    near, far = membership.choose_peers(state, NEAR_FANOUT, FAR_FANOUT, now)
    out.extend(effect.SendPeer(ip, message) for ip in (*near, *far))
    state.counters["reports_sent"] += len(message.reports)


def _take_tokens(state: states.State, now: float) -> bool:
    """Return whether one round of datagrams may be sent now."""
    age = min(now - state.report_tokens_at, BURST / DATAGRAMS_PER_S)
    state.report_tokens = min(BURST, state.report_tokens + age * DATAGRAMS_PER_S)
    state.report_tokens_at = now
    wanted = NEAR_FANOUT + FAR_FANOUT
    if state.report_tokens < wanted:
        return False
    state.report_tokens -= wanted
    return True


def _compose(
    state: states.State, observations: list[states.Observation], now: float
) -> datagram.Reports:
    reports = tuple(
        datagram.Report(
            target_id=one.target_id,
            symptom=one.symptom,
            age_ms=max(0, round((now - one.at) * 1000)),
            ratio=round(one.ratio, 1),
        )
        for one in observations
    )
    pattern = state.pause_pattern
    return datagram.Reports(
        failure_domain=state.settings.failure_domain,
        period_ms=round(pattern.period_s * 1000, 1),
        length_ms=round(pattern.length_s * 1000, 1) if pattern.is_length_measured else 0.0,
        reports=reports,
    )


def _brief_newcomers(state: states.State, now: float, out: list) -> None:
    """Tell daemons that have just started when targets pause."""
    if not state.new_member_ips:
        return
    newcomers, state.new_member_ips = state.new_member_ips, []
    known = [
        states.Observation(
            target.id, datagram.Symptom.LATE, target.pauses.reference_end(state.pause_pattern)
        )
        for target in state.targets.values()
        if target.pauses.is_predictable(state.pause_pattern)
    ]
    chosen = state.rng.sample(known, min(MAX_SUMMARY, len(known)))
    for start in range(0, len(chosen), MAX_REPORTS):
        message = _compose(state, chosen[start : start + MAX_REPORTS], now)
        out.extend(effect.SendPeer(ip, message) for ip in newcomers)


def handle_reports(
    state: states.State, reported: event.ReportsReceived, now: float, out: list
) -> None:
    """Take in what another daemon tells; what is new is passed on at the next tick."""
    message = reported.message
    state.pause_pattern.adopt(message.period_ms / 1000, message.length_ms / 1000)
    is_near = message.failure_domain == state.settings.failure_domain
    for one in message.reports:
        target = state.targets_by_id.get(one.target_id)
        if target is None:
            continue
        # A target may fail the callers of one failure domain only.
        if one.symptom is datagram.Symptom.FAILED and not is_near:
            continue
        observation = states.Observation(
            one.target_id, one.symptom, now - one.age_ms / 1000, one.ratio
        )
        state.counters["reports_taken"] += 1
        if health.record_reported(state, target, observation, now):
            state.pending_observations[one.target_id, one.symptom] = observation
