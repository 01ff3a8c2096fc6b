"""The effects that the reducer returns and the runtime executes."""

import typing

import attrs

from hyssopproxy.engine import model


@attrs.frozen
class Send:
    """Send a request to a target, unless `not_after` has passed.

    `needs_fresh_connection` excludes idle connections that the target may be about to close.
    """

    attempt_no: int
    query_no: int
    target_id: str
    address: str
    time_left_s: float
    not_after: float
    needs_fresh_connection: bool
    max_connections: int  # this daemon's share of the target's connection limit
    top_k: int | None = None  # records needed of a shard's answer; None for a plain request
    organisation: str = ""  # name of the organisation of the caller, told to the target
    started_at_ms: int = 0  # of the target's incarnation; each has its own connections


@attrs.frozen
class Cancel:
    """Cancel an attempt; one that has not been written yet is never sent.

    With `only_unsent`, an attempt that has been written continues and keeps its connection. With
    `ends_unsent`, one that has not been written ends at once, so that it can go elsewhere.
    """

    attempt_no: int
    only_unsent: bool = False
    ends_unsent: bool = False


@attrs.frozen
class Deliver:
    """Deliver a target's answer to the caller unchanged."""

    query_no: int
    reply: typing.Any


@attrs.frozen
class DeliverSearch:
    """Merge the replies to a search and deliver the result to the caller."""

    query_no: int
    replies: tuple[typing.Any, ...]
    missing: int  # number of shards without a reply
    top_k: int


@attrs.frozen
class Refuse:
    """Refuse a request.

    `is_not_run` guarantees that no target has executed the request or will execute it.
    """

    query_no: int
    reason: model.Refusal
    is_not_run: bool
    retry_after_s: float = 0.0


@attrs.frozen
class ScheduleEvent:
    """Post an event at a given time."""

    at: float
    event: typing.Any


@attrs.frozen
class ReadPage:
    """Read one page of all published items from the store or a peer."""

    read_no: int
    source: str  # address of the store or peer
    is_store: bool  # whether the source is the store and not a peer
    after: str | None  # key after which the page starts; None for the first page
    timeout_s: float
    era: int = 0  # least era of the source's data


@attrs.frozen
class ReadChanges:
    """Read the changes after a revision from the store or a peer; wait if there are none yet."""

    read_no: int
    source: str
    is_store: bool
    after: int  # revision
    wait_s: float  # how long the source may hold the request until there are changes
    timeout_s: float
    era: int = 0  # in which the revision is valid


@attrs.frozen
class AnswerFollowers:
    """Answer the daemons that wait for changes of this daemon's data.

    Either there are changes, or the data are known to be current, or they no longer are.
    """


@attrs.frozen
class SendPeer:
    """Send a datagram to another daemon, without a delivery guarantee."""

    ip: str
    message: typing.Any


@attrs.frozen
class CloseTarget:
    """Close the connections to a target that is no longer used, busy ones after their answer."""

    target_id: str
    started_at_ms: int = 0  # of its incarnation


@attrs.frozen
class Log:
    """Write a log line for a decision and the values that led to it."""

    name: str
    fields: dict[str, typing.Any]
    is_urgent: bool = False  # also written if ordinary lines exceed their rate limit


@attrs.frozen
class StopAccepting:
    """Close the listener; connections that the kernel has accepted are served, idle ones closed."""


@attrs.frozen
class EndProcess:
    """End the process once callers have received their responses; all have been answered."""
