"""Sends requests that waited for a credit of their organisation's owner, once one is granted."""

from hyssopproxy.engine import event
from hyssopproxy.engine import query
from hyssopproxy.engine import quota
from hyssopproxy.engine import state as states


def handle_answer(
    state: states.State, received: event.QuotaAnswerReceived, now: float, out: list
) -> None:
    """Send or refuse the requests that waited for an owner's answer."""
    quota.handle_answer(state, received, now, out)
    _send_admitted(state, now, out)


def handle_due(state: states.State, due: event.QuotaDue, now: float, out: list) -> None:
    """Ask again, or decide without the owner, which has not answered."""
    quota.handle_due(state, due, now, out)
    _send_admitted(state, now, out)


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Report the use of quotas."""
    quota.handle_tick(state, now, out)
    _send_admitted(state, now, out)


def _send_admitted(state: states.State, now: float, out: list) -> None:
    while state.quota.ready:
        query.admit(state, state.quota.ready.pop(0), now, out)
