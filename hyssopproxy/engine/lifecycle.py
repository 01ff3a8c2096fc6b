"""Periodic work, readiness, changed settings and graceful shutdown.

Handles rolling restarts: a stopping daemon becomes unready, accepts requests until the balancer has
failed over, and exits once all requests are answered.
"""

import traceback
import typing

from hyssopproxy.engine import admission
from hyssopproxy.engine import answer
from hyssopproxy.engine import catalog
from hyssopproxy.engine import closing
from hyssopproxy.engine import effect
from hyssopproxy.engine import era
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import misdirection
from hyssopproxy.engine import permit
from hyssopproxy.engine import query
from hyssopproxy.engine import quota
from hyssopproxy.engine import reach
from hyssopproxy.engine import report
from hyssopproxy.engine import scarcity
from hyssopproxy.engine import speed
from hyssopproxy.engine import state as states
from hyssopproxy.engine import sync
from hyssopproxy.engine import tenure

TICK_S = 0.05
# Time after SIGTERM during which requests are accepted: until the balancer has failed over, and 1 s
# longer, because one of its readiness checks may be in flight.
ACCEPT_GRACE_S = reach.BALANCER_FAILOVER_S + 1.0


def handle_tick(state: states.State, tick: event.Tick, now: float, out: list) -> None:
    """Run the periodic work and schedule the next tick."""
    if now - state.last_tick_at > speed.STANDSTILL_S and state.last_tick_at != states.NEVER:
        state.resumed_at = now
        pause_s = round(now - state.last_tick_at, 2)
        out.append(effect.Log("paused", {"seconds": pause_s}, is_urgent=True))
        state.counters["pauses"] += 1
    state.last_tick_at = now
    out.append(effect.ScheduleEvent(now + TICK_S, tick))
    for handle in _TICK_HANDLERS:
        try:
            handle(state, now, out)
        except Exception as error:  # a fault in one handler must not stop the others
            state.counters["internal_errors"] += 1
            where = traceback.format_exception(error)[-3:]
            fields = {"message": "unexpected error in a tick", "error": repr(error), "where": where}
            out.append(effect.Log("internal_error", fields, is_urgent=True))


def _log_readiness_change(state: states.State, now: float, out: list) -> None:
    reason = unready_reason(state, now)
    if reason != state.unready_reason:
        out.append(effect.Log("readiness", {"unready": reason, "before": state.unready_reason}))
        state.unready_reason = reason


def unready_reason(state: states.State, now: float) -> str:
    """Return why the balancer should send no requests to this daemon, or "" if it is ready."""
    if state.stopping_since is not None:
        return "stopping"
    if state.table is None:
        return "no_configuration"
    if state.sync.as_of is None:
        return "no_targets"
    if reach.should_be_unready(state, now):
        return "isolated"
    return ""


def handle_settings(
    state: states.State, changed: event.SettingsChanged, now: float, out: list
) -> None:
    """Apply settings that were reloaded."""
    if changed.settings != state.settings:
        state.settings = changed.settings
        out.append(effect.Log("settings", {"seeds": list(changed.settings.seeds)}))
        _update_kill_time(state)


def handle_stop(state: states.State, stop: event.StopRequested, now: float, out: list) -> None:
    """Become unready and start the shutdown; requests are still accepted and answered."""
    if state.stopping_since is None:
        state.stopping_since = now
        _update_kill_time(state)
        out.append(effect.Log("stopping", {"requests": len(state.queries)}, is_urgent=True))
        _log_readiness_change(state, now, out)


def _update_kill_time(state: states.State) -> None:
    """Expect SIGKILL after the shortest grace that has held since SIGTERM."""
    if state.stopping_since is not None:
        kill_at = state.stopping_since + state.settings.stop_grace_s
        state.kill_at = min(state.kill_at, kill_at)


def _stop_when_due(state: states.State, now: float, out: list) -> None:
    if state.stopping_since is None:
        return
    elapsed_s = now - state.stopping_since
    is_kill_near = answer.is_kill_near(state, now)
    if (elapsed_s >= ACCEPT_GRACE_S or is_kill_near) and not state.has_stopped_accepting:
        state.has_stopped_accepting = True
        out.append(effect.StopAccepting())
    if is_kill_near:
        quota.refuse_all(state, now, out)
        answer.finish_all(state, now, out)
    elif not state.has_stopped_accepting or state.queries or quota.has_pending(state):
        return
    if not state.has_ended:
        state.has_ended = True
        out.append(effect.Log("stopped", {"after_s": round(elapsed_s, 2)}, is_urgent=True))
        out.append(effect.EndProcess())


_TICK_HANDLERS: tuple[typing.Callable[[states.State, float, list], None], ...] = (
    sync.handle_tick,
    era.handle_tick,
    membership.handle_tick,
    catalog.handle_tick,
    closing.handle_tick,
    health.record_overdue_attempts,
    report.handle_tick,
    speed.handle_tick,
    scarcity.handle_tick,
    misdirection.handle_tick,
    admission.handle_tick,
    reach.handle_tick,
    tenure.handle_tick,
    permit.handle_tick,
    query.retry_waiting_parts,
    _log_readiness_change,
    _stop_when_due,
)
