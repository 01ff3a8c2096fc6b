"""Periodic work, detection of pauses, readiness and graceful shutdown."""

from hyssopproxy import action
from hyssopproxy import dispatch
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy import watch

TICK_S = 0.1
# The process was paused if there was no event, not even a tick, for this long.
PAUSE_THRESHOLD_S = 0.6
LAG_DECAY = 0.97  # factor applied to the recorded lag of the event loop at each tick
PROBE_INTERVAL_S = 1.0  # mean interval between status probes of a target


def detect_pause(state: states.State, now: float, out: list) -> None:
    """Detect a pause of the process and reset the concurrency limits after it.

    A pause shows as a long time without events. Observations from before a pause may be outdated,
    so the limits restart from their most cautious values, and the next tick pings peers.
    """
    gap_s = now - state.last_event_at
    state.last_event_at = now
    if gap_s < PAUSE_THRESHOLD_S or gap_s == float("inf"):
        return
    state.counters["pauses"] += 1
    out.append(effect.Log("paused", {"seconds": round(gap_s, 3)}))
    state.next_ping_at = states.NEVER
    for target in state.targets.values():
        for leaf in target.leaves:
            leaf.limit.reset()


def handle_tick(state: states.State, tick: event.Tick, now: float, out: list) -> None:
    """Run the periodic work and schedule the next tick."""
    late_s = max(0.0, now - tick.due_at)
    state.tick_late_s = late_s
    state.loop_lag_s = max(min(late_s, TICK_S), state.loop_lag_s * LAG_DECAY)
    if state.memberships:
        share.update_sharing_vms(state, now)
    out.append(effect.ScheduleEvent(now + TICK_S, event.Tick(now + TICK_S)))
    fleet.handle_tick(state, now, out)
    watch.handle_tick(state, now, out)
    action.expire_outcomes(state, now)
    _end_cold_starts(state, now, out)
    _serve_waiting(state, now)
    if now >= state.next_probe_at:
        _probe(state, now, out)
    _stop_when_due(state, now, out)


def _serve_waiting(state: states.State, now: float) -> None:
    for target in state.targets.values():
        for leaf in target.leaves:
            if leaf.waiting:
                dispatch.serve_waiting(state, leaf, now)


def _end_cold_starts(state: states.State, now: float, out: list) -> None:
    for target in state.targets.values():
        if target.is_cold:
            targets.end_cold_start(target, now, out)


def _probe(state: states.State, now: float, out: list) -> None:
    """Probe the status of targets that are draining, backed off, or cold and yet to reply."""
    state.next_probe_at = now + PROBE_INTERVAL_S * (0.5 + state.rng.random())
    for target in state.targets.values():
        has_not_replied = target.is_cold and target.cold_since is None
        is_backed_off = now < target.backoff_until
        if (target.is_draining or has_not_replied or is_backed_off) and not target.spec.leaving:
            out.append(effect.ProbeStatus(target.spec.address))


def handle_stop(state: states.State, stop: event.StopRequested, now: float, out: list) -> None:
    """Become unready and notify the peers; requests are still served."""
    if state.stopping_at is not None:
        return
    state.stopping_at = now
    out.append(effect.Log("stopping", {"searches": len(state.queries)}))
    fleet.announce(state, now, out)


def _stop_when_due(state: states.State, now: float, out: list) -> None:
    if state.stopping_at is None or now - state.stopping_at < state.stop_grace_s:
        return
    out.append(effect.StopServing())


def unready_reason(state: states.State) -> str:
    """Return why the balancer should send no requests to this daemon, or "" if it is ready."""
    if state.stopping_at is not None:
        return "stopping"
    if state.config is None:
        return "no_configuration"
    if state.domain_out_since is not None:
        return "failure_domain_out"
    if state.is_listed_leaving:
        return "leaving"
    vm = state.config.vms.get(state.identity.vm)
    if vm is not None and vm.leaving:
        return "leaving"
    return ""
