"""Ticks, pauses, readiness and the planned stop."""

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
PAUSE_S = 0.6  # with no event for this long, ticks included, the process was paused
LAG_DECAY = 0.97  # of the remembered lateness, each tick
PROBE_S = 1.0  # between two status probes of a target


def detect_pause(state: states.State, now: float, out: list) -> None:
    """Tell a pause by the time since the last event; what is decided next starts from caution."""
    gap_s = now - state.last_event_at
    state.last_event_at = now
    if gap_s < PAUSE_S or gap_s == float("inf"):
        return
    state.counters["pauses"] += 1
    out.append(effect.Log("paused", {"seconds": round(gap_s, 3)}))
    state.next_ping_at = states.NEVER
    for target in state.targets.values():
        for leaf in target.leaves:
            leaf.limit.reset()


def handle_tick(state: states.State, tick: event.Tick, now: float, out: list) -> None:
    """Do the periodic work."""
    late_s = max(0.0, now - tick.due_at)
    state.tick_late_s = late_s
    state.loop_lag_s = max(min(late_s, TICK_S), state.loop_lag_s * LAG_DECAY)
    if state.memberships:
        share.count_sharing_vms(state, now)
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
    """Ask draining targets, and cold ones that were not seen alive, for their status."""
    state.next_probe_at = now + PROBE_S * (0.5 + state.rng.random())
    for target in state.targets.values():
        is_unseen = target.is_cold and target.cold_since is None
        if (target.is_draining or is_unseen) and not target.spec.leaving:
            out.append(effect.ProbeStatus(target.spec.address))


def handle_stop(state: states.State, stop: event.StopRequested, now: float, out: list) -> None:
    """Turn unready and tell the peers; work goes on."""
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
    """Return why the balancer should send nothing here; empty when it should."""
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
