"""Gossip about targets: daemons report late answers, missing answers and failures to each other.

Handles the case where each daemon receives too few requests to learn enough from them: without
reports, each daemon would have to detect each slow target by its own requests. Reports spread by
rumour mongering: a daemon passes on what is new to it, mostly within its failure domain, and
discards what it already knew (Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987). The number of datagrams that a daemon sends per second is bounded, whatever the
size of the fleet, and only some of the daemons that learn of a rumour send it to other domains.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

LOCAL_FANOUT = 2  # datagrams per round to daemons of the same failure domain
REMOTE_FANOUT = 1  # datagrams per round to daemons of other failure domains
DATAGRAMS_PER_S = 8.0
MAX_BURST = 9.0  # datagrams that may be sent at once
MAX_REPORTS_PER_DATAGRAM = 30  # keeps a datagram under 1,400 bytes
MAX_AGE_S = 2.0  # older observations are not passed on
MAX_SUMMARY_TARGETS = 240  # targets whose pauses are reported to a daemon that has just started


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Report new observations to a few daemons, and known pauses to new daemons."""
    _send_pause_summary(state, now, out)
    if not state.pending_observations or not _take_tokens(state, now):
        return
    fresh = [
        observation
        for observation in state.pending_observations.values()
        if now - observation.at <= MAX_AGE_S
    ]
    state.pending_observations.clear()
    fresh.sort(key=lambda observation: -observation.at)
    if not fresh:
        return
    message = _make_reports(state, fresh[:MAX_REPORTS_PER_DATAGRAM], now)
    remote_fanout = REMOTE_FANOUT if membership.is_remote_sender(state, now) else 0
    local, remote = membership.choose_peers(state, LOCAL_FANOUT, remote_fanout, now)
    out.extend(effect.SendPeer(ip, message) for ip in (*local, *remote))
    state.counters["reports_sent"] += len(message.reports)


def _take_tokens(state: states.State, now: float) -> bool:
    """Take the tokens for one round of datagrams; return whether there were enough."""
    elapsed_s = min(now - state.report_tokens_at, MAX_BURST / DATAGRAMS_PER_S)
    state.report_tokens = min(MAX_BURST, state.report_tokens + elapsed_s * DATAGRAMS_PER_S)
    state.report_tokens_at = now
    needed = LOCAL_FANOUT + REMOTE_FANOUT
    if state.report_tokens < needed:
        return False
    state.report_tokens -= needed
    return True


def _make_reports(
    state: states.State, observations: list[states.Observation], now: float
) -> datagram.Reports:
    reports = tuple(
        datagram.Report(
            target_id=observation.target_id,
            symptom=observation.symptom,
            age_ms=max(0, round((now - observation.at) * 1000)),
            ratio=round(observation.ratio, 1),
        )
        for observation in observations
    )
    pattern = state.pause_pattern
    return datagram.Reports(
        failure_domain=state.settings.failure_domain,
        period_ms=round(pattern.period_s * 1000, 1),
        length_ms=round(pattern.length_s * 1000, 1) if pattern.is_length_measured else 0.0,
        reports=reports,
    )


def _send_pause_summary(state: states.State, now: float, out: list) -> None:
    """Report the known pauses of targets to daemons that have just started."""
    if not state.new_member_ips:
        return
    new_member_ips, state.new_member_ips = state.new_member_ips, []
    observations = [
        states.Observation(
            target.id, datagram.Symptom.LATE, target.pauses.reference_end(state.pause_pattern)
        )
        for target in state.targets.values()
        if target.pauses.is_predictable(state.pause_pattern)
    ]
    chosen = state.rng.sample(observations, min(MAX_SUMMARY_TARGETS, len(observations)))
    for start in range(0, len(chosen), MAX_REPORTS_PER_DATAGRAM):
        message = _make_reports(state, chosen[start : start + MAX_REPORTS_PER_DATAGRAM], now)
        out.extend(effect.SendPeer(ip, message) for ip in new_member_ips)


def handle_reports(
    state: states.State, received: event.ReportsReceived, now: float, out: list
) -> None:
    """Apply the reports of another daemon; new ones are passed on at the next tick."""
    message = received.message
    state.pause_pattern.adopt(message.period_ms / 1000, message.length_ms / 1000)
    is_same_domain = message.failure_domain == state.settings.failure_domain
    for report in message.reports:
        target = state.targets_by_id.get(report.target_id)
        if target is None:
            continue
        # A target may fail requests from one failure domain only.
        if report.symptom is datagram.Symptom.FAILED and not is_same_domain:
            continue
        observation = states.Observation(
            report.target_id, report.symptom, now - report.age_ms / 1000, report.ratio
        )
        state.counters["reports_taken"] += 1
        if health.record_reported(state, target, observation, now):
            state.pending_observations[report.target_id, report.symptom] = observation
