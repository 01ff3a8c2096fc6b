"""Targets that state that they leave, or that they accept no requests for a time.

Handles targets whose published entries do not say so, daemons that are not connected to the store,
and statements on answers that are late, copied, or of an incarnation that was replaced. A leaving
target serves requests that no other target can serve, until the drain time is over. A closed one
gets no request until the end of its time, and then one at a time until it has answered one.
"""

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states

# Longest time for which a target may close itself: a target that restarts or warms up does so
# within a minute, and a longer time is probably an error that would take it out of service.
MAX_CLOSED_S = 60.0
# The last request to a leaving target is sent this long before its drain time ends: the delay
# between domains is below 5 ms, the rest is for a daemon that is short of processor time.
LEAVE_MARGIN_S = 0.2
# Requests on their way may reach a closed target for this long, so a shorter time binds nobody.
IN_FLIGHT_S = 0.5
# The return of the daemons to a target is spread over this fraction of its time, at most
# `MAX_RETURN_SPREAD_S`: with 69 daemons, at most one request in 7 ms.
RETURN_SPREAD = 0.25
MAX_RETURN_SPREAD_S = 0.5
# A first request that is not answered within this time, typical objectives being 0.25 to 0.6 s,
# does not keep others from the target any longer.
FIRST_REQUEST_S = 0.3
MAX_DEPARTURES = (
    1000  # remembered for entries that are published again; a fleet has 100s of targets
)


def handle_stated(state: states.State, stated: event.TargetStated, now: float, out: list) -> None:
    """Apply what a target stated of itself; `closed_s` counts from now."""
    target = state.targets_by_id.get(stated.target_id)
    started_at_ms = stated.started_at_ms
    if started_at_ms is None and target is not None:
        started_at_ms = target.entry.started_at_ms
    if target is not None and target.entry.started_at_ms != started_at_ms:
        target = None  # replaced meanwhile
    if stated.is_leaving and started_at_ms is not None:
        _record_leaving(state, (stated.target_id, started_at_ms), target, now, out)
    if target is None:
        return
    if stated.ignored:
        _log_odd_time(state, target, stated.ignored, out)
    if stated.closed_s > MAX_CLOSED_S:
        _log_odd_time(state, target, f"{stated.closed_s:g} s, bounded to {MAX_CLOSED_S:g} s", out)
    if stated.closed_s > 0.0:
        _close(state, target, min(stated.closed_s, MAX_CLOSED_S), now, out)


def _record_leaving(
    state: states.State,
    incarnation: tuple[str, int],
    target: states.Target | None,
    now: float,
    out: list,
) -> None:
    if incarnation in state.departures or (target and target.leaving_since is not None):
        return
    while len(state.departures) >= MAX_DEPARTURES:
        del state.departures[next(iter(state.departures))]
    state.departures[incarnation] = now
    if target is None:
        return
    restore(state, target)
    _withdraw_unsent(target, out)
    state.counters["targets_leaving"] += 1
    fields = {
        "target": target.id,
        "pool": target.entry.pool,
        "drain_s": state.settings.drain_s,
        "in_flight": len(target.attempts),
    }
    out.append(effect.Log("target_leaving", fields, is_urgent=True))


def restore(state: states.State, target: states.Target) -> None:
    """Apply an earlier statement of this incarnation, whose entry may have been away meanwhile."""
    target.leaving_since = state.departures.get((target.id, target.entry.started_at_ms))
    if target.leaving_since is not None:
        state.stating_targets[target] = None


def _close(
    state: states.State, target: states.Target, closed_s: float, now: float, out: list
) -> None:
    """Close a target for a time, unless it is closed or backed off for longer."""
    end = now + closed_s
    is_covered = end <= max(target.shed_until, target.backoff_until) and closed_s <= IN_FLIGHT_S
    if is_covered or end <= target.closed_until:
        return
    is_new = now >= target.closed_until
    spread_s = min(RETURN_SPREAD * closed_s, MAX_RETURN_SPREAD_S)
    target.closed_until = end + spread_s * state.rng.random()
    target.is_returning = True
    target.first_sent_at = states.NEVER
    state.stating_targets[target] = None
    _withdraw_unsent(target, out)
    if is_new:
        state.counters["targets_closed"] += 1
        fields = {
            "target": target.id,
            "pool": target.entry.pool,
            "stated_s": round(closed_s, 3),
            "closed_s": round(target.closed_until - now, 3),
            "in_flight": len(target.attempts),
        }
        out.append(effect.Log("target_closed", fields, is_urgent=True))


def _withdraw_unsent(target: states.Target, out: list) -> None:
    """Withdraw the requests that wait for a connection, so that other targets serve them."""
    for number in target.attempts:
        out.append(effect.Cancel(number, only_unsent=True, ends_unsent=True))


def _log_odd_time(state: states.State, target: states.Target, text: str, out: list) -> None:
    state.counters["retry_times_odd"] += 1
    if not target.has_odd_time:
        target.has_odd_time = True
        fields = {"target": target.id, "pool": target.entry.pool, "value": text}
        out.append(effect.Log("target_retry_time_odd", fields))


def leaves_at(state: states.State, target: states.Target) -> float:
    """Return the time from which a target gets no request at all; infinity if it stays."""
    if target.leaving_since is None:
        return float("inf")
    return target.leaving_since + max(0.0, state.settings.drain_s - LEAVE_MARGIN_S)


def is_closed(target: states.Target, now: float) -> bool:
    """Return whether a target gets no request now, also while its first one is unanswered."""
    if now < target.closed_until:
        return True
    return target.is_returning and now - target.first_sent_at < FIRST_REQUEST_S


def accepts_requests(state: states.State, target: states.Target, now: float) -> bool:
    """Return whether a target may get a request as far as its statements are concerned."""
    return now < leaves_at(state, target) and not is_closed(target, now)


def record_first_request(target: states.Target, now: float) -> None:
    """Record that a request goes to a returning target."""
    target.first_sent_at = now


def record_ended(
    state: states.State, attempt: states.Attempt, outcome: model.Outcome, now: float, out: list
) -> None:
    """Reopen a target fully once it has executed a request that was sent after its time."""
    target = attempt.target
    if not target.is_returning or attempt.sent_at < target.closed_until:
        return
    target.first_sent_at = states.NEVER
    if outcome in (model.Outcome.ANSWERED, model.Outcome.FAILED):
        target.is_returning = False
        fields = {"target": target.id, "pool": target.entry.pool}
        out.append(effect.Log("target_reopened", fields))


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Withdraw and close what is left for targets whose drain time has ended."""
    for target in list(state.stating_targets):
        if state.targets_by_id.get(target.id) is not target:
            del state.stating_targets[target]
        elif now >= leaves_at(state, target):
            if not target.has_left:
                target.has_left = True
                _withdraw_unsent(target, out)
                out.append(effect.CloseTarget(target.id, target.entry.started_at_ms))
                fields = {"target": target.id, "pool": target.entry.pool}
                out.append(effect.Log("target_left", fields, is_urgent=True))
        elif target.leaving_since is None and not target.is_returning:
            if now >= target.closed_until:
                del state.stating_targets[target]
