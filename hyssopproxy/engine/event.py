"""The events that the reducer handles."""

import typing

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import model


@attrs.frozen
class RequestArrived:
    """A caller's request arrived in full."""

    query_no: int
    request_id: str
    host: str
    path: str
    time_left_s: float | None  # timeout stated by the caller
    key_digest: bytes | None = attrs.field(default=None, repr=False)  # None if it has no key


@attrs.frozen
class CallerDisconnected:
    """A caller closed its connection before it was answered."""

    query_no: int


@attrs.frozen
class AttemptEnded:
    """An attempt ended."""

    attempt_no: int
    outcome: model.Outcome
    reply: typing.Any = None  # set if the answer was complete; the engine does not interpret it
    retry_after_s: float = 0.0  # stated by a target that shed the request
    cold_left_s: float | None = None  # remaining cold start, as stated by the target
    detail: str = ""  # why there is no valid answer


@attrs.frozen
class TargetStated:
    """A target stated that it leaves or is closed, on any answer, also one that is discarded."""

    target_id: str
    started_at_ms: int | None  # of its incarnation; None for the one that is published now
    is_leaving: bool = False
    closed_s: float = 0.0  # time for which it accepts no requests
    ignored: str = ""  # a stated time that cannot be used


@attrs.frozen
class QueryDue:
    """A request's next decision is due: a hedge, or its answer."""

    query_no: int


@attrs.frozen
class CancelDue:
    """The grace period of a disconnected caller's attempts has ended."""

    attempt_nos: tuple[int, ...]


@attrs.frozen
class RequestFailed:
    """An unexpected error interrupted the processing of a request."""

    query_no: int


@attrs.frozen
class PageRead:
    """A page of the published items was read."""

    read_no: int
    changes: tuple[model.Change, ...]
    as_of: int  # revision of the source
    next_after: str | None  # key after which the next page starts; None after the last page
    age_s: float = 0.0  # how long ago the source's data were known to be current
    era: int | None = None  # of the source's data; None for the era of this daemon's copy


@attrs.frozen
class ChangesRead:
    """The changes after a revision were read; there may be none."""

    read_no: int
    changes: tuple[model.Change, ...]
    as_of: int  # revision of the source
    age_s: float = 0.0  # how long ago the source's data were known to be current
    era: int | None = None  # of the source's data; None for the era of this daemon's copy


@attrs.frozen
class ReadFailed:
    """A read of published items failed."""

    read_no: int
    reason: str
    is_compacted: bool = False  # the history after the requested revision was dropped
    is_refused: bool = False  # the source answered that it cannot serve the read now
    era: int = 0  # least era to list, if the source is in a newer one


@attrs.frozen
class GossipReceived:
    """Gossip about the members of the fleet arrived from another daemon."""

    message: datagram.Gossip


@attrs.frozen
class ReportsReceived:
    """Observations of targets arrived from another daemon."""

    message: datagram.Reports


@attrs.frozen
class AnswersReceived:
    """Answers of targets that have recovered arrived from another daemon."""

    message: datagram.Answers


@attrs.frozen
class MisdirectedReceived:
    """Another daemon reported targets at whose addresses other targets answer."""

    message: datagram.Misdirected


@attrs.frozen
class LostDomainsReceived:
    """Another daemon reported failure domains that it cannot reach."""

    message: datagram.LostDomains


@attrs.frozen
class PingReceived:
    """Another daemon requests a reply, to check whether this one is reachable."""

    message: datagram.Ping


@attrs.frozen
class QuotaAskReceived:
    """Another daemon asks for credits of organisations."""

    message: datagram.QuotaAsk


@attrs.frozen
class QuotaAnswerReceived:
    """The owner of organisations answered."""

    message: datagram.QuotaAnswer


@attrs.frozen
class QuotaDue:
    """A question for credits should have been answered by now."""

    organisation: int
    ask_no: int


@attrs.frozen
class LoadReceived:
    """Counts of requests arrived from another daemon."""

    message: datagram.Load


@attrs.frozen
class SettingsChanged:
    """The settings file was reloaded."""

    settings: typing.Any


@attrs.frozen
class Tick:
    """The periodic event."""


@attrs.frozen
class StopRequested:
    """The process received SIGTERM."""
