"""Ends requests whose caller has disconnected, or whose processing was interrupted by an error."""

from hyssopproxy.engine import answer
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import quota
from hyssopproxy.engine import state as states

DISCONNECT_GRACE_S = 0.3  # how long attempts may continue after their caller disconnected


def handle_disconnected(
    state: states.State, disconnected: event.CallerDisconnected, now: float, out: list
) -> None:
    """Abandon the request of a caller that disconnected.

    Its attempts are cancelled only after a grace period, since cancelling one closes its
    connection to the target.
    """
    quota.forget(state, disconnected.query_no)
    query = state.queries.get(disconnected.query_no)
    if query is None:
        return
    state.counters["callers_gone"] += 1
    running = tuple(attempt.number for part in query.parts for attempt in part.attempts)
    answer.remove_query(state, query)
    for part in query.parts:
        answer.abandon_attempts(part, out)
    answer.log_outcome(state, query, "caller_gone", now, out)
    if running:
        out.append(effect.ScheduleEvent(now + DISCONNECT_GRACE_S, event.CancelDue(running)))


def handle_request_failed(
    state: states.State, failed: event.RequestFailed, now: float, out: list
) -> None:
    """Refuse a request whose processing was interrupted by an unexpected error.

    Whether a target has executed it is unknown.
    """
    quota.forget(state, failed.query_no)
    query = state.queries.get(failed.query_no)
    if query is not None:
        answer.remove_query(state, query)
        for part in query.parts:
            answer.abandon_attempts(part, out)
    state.counters["refused_internal_error"] += 1
    out.append(effect.Refuse(failed.query_no, model.Refusal.INTERNAL_ERROR, is_not_run=False))


def handle_cancel_due(state: states.State, due: event.CancelDue, now: float, out: list) -> None:
    """Cancel the attempts that are still running after their caller disconnected."""
    for number in due.attempt_nos:
        attempt = state.attempts.pop(number, None)
        if attempt is not None:
            attempt.target.attempts.pop(number, None)
            out.append(effect.Cancel(number))
