"""Everything that can happen to a daemon, as values for the reducer."""

import typing

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import model


@attrs.frozen
class RequestArrived:
    """A caller's complete request."""

    query_no: int
    request_id: str
    host: str
    path: str
    time_left_s: float | None  # as the caller states it


@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection before the answer."""

    query_no: int


@attrs.frozen
class AttemptEnded:
    """An attempt is over; `reply` is opaque here and set for complete answers."""

    attempt_no: int
    outcome: model.Outcome
    reply: typing.Any = None
    retry_after_s: float = 0.0  # as a target that shed the request states it
    cold_left_s: float | None = None  # as the target states it


@attrs.frozen
class QueryDue:
    """A request's next decision is due."""

    query_no: int


@attrs.frozen
class CancelDue:
    """Attempts of a caller who left are ended now, unless they answered meanwhile."""

    attempt_nos: tuple[int, ...]


@attrs.frozen
class PageRead:
    """One page of the published items."""

    read_no: int
    changes: tuple[model.Change, ...]
    as_of: int
    next_after: str | None  # key to read on from


@attrs.frozen
class ChangesRead:
    """What changed since a revision; may be empty."""

    read_no: int
    changes: tuple[model.Change, ...]
    as_of: int


@attrs.frozen
class ReadFailed:
    """A read of published items failed; `is_compacted` if the history asked for is gone."""

    read_no: int
    reason: str
    is_compacted: bool = False


@attrs.frozen
class GossipReceived:
    """Another daemon told which daemons there are."""

    message: datagram.Gossip


@attrs.frozen
class ReportsReceived:
    """Another daemon told what it saw of targets."""

    message: datagram.Reports


@attrs.frozen
class LostDomainsReceived:
    """Another daemon told which failure domains it has found out of reach."""

    message: datagram.LostDomains


@attrs.frozen
class PingReceived:
    """Another daemon asks for a sign of life."""

    message: datagram.Ping


@attrs.frozen
class SettingsChanged:
    """The settings file was read again."""

    settings: typing.Any


@attrs.frozen
class Tick:
    """The periodic event."""


@attrs.frozen
class StopRequested:
    """SIGTERM arrived."""
