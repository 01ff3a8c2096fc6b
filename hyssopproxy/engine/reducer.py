"""The reducer, which handles all events of a daemon."""

import typing

from hyssopproxy.engine import admission
from hyssopproxy.engine import caller
from hyssopproxy.engine import closing
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import membership
from hyssopproxy.engine import misdirection
from hyssopproxy.engine import permit
from hyssopproxy.engine import query
from hyssopproxy.engine import quota
from hyssopproxy.engine import reach
from hyssopproxy.engine import report
from hyssopproxy.engine import speed
from hyssopproxy.engine import state as states
from hyssopproxy.engine import sync

Handler = typing.Callable[[states.State, typing.Any, float, list], None]


def reduce(
    state: states.State, posted_event: typing.Any, now: float, out: list | None = None
) -> list:
    """Apply an event to the state at the time `now` (seconds) and return the resulting effects.

    They are appended to `out`, so that those before an unexpected error are not lost.
    """
    out = [] if out is None else out
    _HANDLERS[type(posted_event)](state, posted_event, now, out)
    return out


_HANDLERS: dict[type, Handler] = {
    event.RequestArrived: query.handle_arrived,
    event.CallerDisconnected: caller.handle_disconnected,
    event.AttemptEnded: query.handle_ended,
    event.TargetStated: closing.handle_stated,
    event.QueryDue: query.handle_due,
    event.CancelDue: caller.handle_cancel_due,
    event.RequestFailed: caller.handle_request_failed,
    event.PageRead: sync.handle_page,
    event.ChangesRead: sync.handle_changes,
    event.ReadFailed: sync.handle_read_failed,
    event.GossipReceived: membership.handle_gossip,
    event.ReportsReceived: report.handle_reports,
    event.AnswersReceived: speed.handle_answers,
    event.MisdirectedReceived: misdirection.handle_reported,
    event.LostDomainsReceived: reach.handle_lost_domains,
    event.PingReceived: membership.handle_ping,
    event.QuotaAskReceived: quota.handle_ask,
    event.QuotaAnswerReceived: permit.handle_answer,
    event.QuotaDue: permit.handle_due,
    event.LoadReceived: admission.handle_load,
    event.SettingsChanged: lifecycle.handle_settings,
    event.Tick: lifecycle.handle_tick,
    event.StopRequested: lifecycle.handle_stop,
}
