"""Dispatches each event to its handler, which changes the state and returns effects."""

import typing

from hyssopproxy import action
from hyssopproxy import dispatch
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import lifecycle
from hyssopproxy import message
from hyssopproxy import search
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy import watch

Handler = typing.Callable[[states.State, typing.Any, float, list], None]


def reduce(
    state: states.State, posted_event: typing.Any, now: float, out: list | None = None
) -> list:
    """Apply one event to the state at time `now` (seconds) and return the effects.

    They are appended to `out`, so that those before an unexpected error are not lost.
    """
    out = [] if out is None else out
    lifecycle.detect_pause(state, now, out)
    _HANDLERS[type(posted_event)](state, posted_event, now, out)
    if state.outbox or state.cancels:
        dispatch.flush(state, now, out)
    return out


def _handle_peer(
    state: states.State, received: event.PeerMessageReceived, now: float, out: list
) -> None:
    _PEER_HANDLERS[type(received.message)](state, received.message, now, out)


def _handle_status(
    state: states.State, arrived: event.StatusArrived, now: float, out: list
) -> None:
    target = state.targets.get(arrived.address)
    if target is not None:
        targets.record_status(state, target, arrived.target_state, now, out)


_PEER_HANDLERS: dict[type, Handler] = {
    message.Ping: fleet.handle_ping,
    message.Pong: fleet.handle_pong,
    message.ConfigRequest: fleet.handle_config_request,
    message.ConfigReply: fleet.handle_config_reply,
    message.ActionRequest: action.handle_forwarded,
    message.ActionReply: action.handle_reply,
}

_HANDLERS: dict[type, Handler] = {
    event.SearchArrived: search.handle_arrived,
    event.CallerDisconnected: search.handle_disconnected,
    event.LinesArrived: search.handle_lines,
    event.RequestEnded: search.handle_ended,
    event.SearchDue: search.handle_due,
    event.StatusArrived: _handle_status,
    event.ActionArrived: action.handle_arrived,
    event.ActionEnded: action.handle_ended,
    event.ActionDue: action.handle_due,
    event.PeerMessageReceived: _handle_peer,
    event.ConfigArrived: watch.handle_arrived,
    event.ConfigUnchanged: watch.handle_unchanged,
    event.ConfigReadFailed: watch.handle_failed,
    event.VMListArrived: watch.handle_list,
    event.Tick: lifecycle.handle_tick,
    event.StopRequested: lifecycle.handle_stop,
}
