"""Targets at whose address another target answers: daemons tell each other of them.

Handles the case where addresses are reused, for example after a restart, while the published
entries are out of date. A request to such a target is refused without having run, but its retry is
an extra arrival at the pool. If each daemon has to find out by its own request, these retries use
up the budget of extra requests, and parts are missing.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

LOCAL_FANOUT = 3  # datagrams per round to daemons of the same failure domain
REMOTE_FANOUT = 1  # datagrams per round to daemons of other failure domains
ROUND_INTERVAL_S = 0.1  # least time between two rounds; bounds the datagrams to 40 per second
MAX_TARGETS_PER_DATAGRAM = 15  # keeps a datagram under 1,400 bytes


def record(state: states.State, target: states.Target, out: list) -> None:
    """Record that another target answered at the address of this one, and report it."""
    if not target.is_misdirected and not target.is_reported_misdirected:
        state.pending_misdirected.append(target)
    target.is_misdirected = True
    fields = {"target": target.id, "address": target.entry.address}
    out.append(effect.Log("target_address_reused", fields))


def handle_reported(
    state: states.State, received: event.MisdirectedReceived, now: float, out: list
) -> None:
    """Apply the reports of another daemon; they are passed on if they are new.

    A target that only others have found misdirected is asked if no other is eligible, so that a
    wrong report does not take a pool out of service.
    """
    for item in received.message.targets:
        target = state.targets_by_id.get(item.target_id)
        if target is None or target.is_misdirected or target.is_reported_misdirected:
            continue
        entry = target.entry
        if (entry.address, entry.started_at_ms) != (item.address, item.started_at_ms):
            continue
        target.is_reported_misdirected = True
        state.pending_misdirected.append(target)
        state.counters["misdirected_reports_taken"] += 1
        fields = {"target": target.id, "address": entry.address, "reported": True}
        out.append(effect.Log("target_address_reused", fields))


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Report newly found targets to a few daemons."""
    if not state.pending_misdirected or now - state.misdirected_sent_at < ROUND_INTERVAL_S:
        return
    state.misdirected_sent_at = now
    reported = state.pending_misdirected[:MAX_TARGETS_PER_DATAGRAM]
    del state.pending_misdirected[:MAX_TARGETS_PER_DATAGRAM]
    message = datagram.Misdirected(
        tuple(
            datagram.MisdirectedTarget(
                target.id, target.entry.address, max(0, target.entry.started_at_ms)
            )
            for target in reported
        )
    )
    remote_fanout = REMOTE_FANOUT if membership.is_remote_sender(state, now) else 0
    local, remote = membership.choose_peers(state, LOCAL_FANOUT, remote_fanout, now)
    out.extend(effect.SendPeer(ip, message) for ip in (*local, *remote))
