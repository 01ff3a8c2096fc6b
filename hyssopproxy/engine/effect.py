"""Everything the reducer may ask of the runtime, as values."""

import typing

import attrs

from hyssopproxy.engine import model


@attrs.frozen
class Send:
    """Send a request to a target, unless it is past `not_after`.

    `needs_fresh_connection` rules out kept connections that the target may be about to close.
    """

    attempt_no: int
    query_no: int
    target_id: str
    address: str
    time_left_s: float
    not_after: float
    needs_fresh_connection: bool
    max_connections: int  # this daemon's part of the target's cap


@attrs.frozen
class Cancel:
    """End an attempt; one that was not yet written is never sent.

    With `only_unsent`, one that was written goes on, and its connection is kept.
    """

    attempt_no: int
    only_unsent: bool = False


@attrs.frozen
class Deliver:
    """Give the caller a target's answer unchanged."""

    query_no: int
    reply: typing.Any


@attrs.frozen
class DeliverSearch:
    """Give the caller the merged answer of a search."""

    query_no: int
    replies: tuple[typing.Any, ...]
    missing: int
    top_k: int


@attrs.frozen
class Refuse:
    """Answer the request without a target's answer.

    `is_not_run` promises that no target ran it or ever will.
    """

    query_no: int
    reason: model.Refusal
    is_not_run: bool
    retry_after_s: float = 0.0


@attrs.frozen
class ScheduleEvent:
    """Post an event at a time."""

    at: float
    event: typing.Any


@attrs.frozen
class ReadPage:
    """Read one page of all published items from the store or a peer."""

    read_no: int
    source: str  # address
    is_store: bool  # and no other daemon
    after: str | None
    timeout_s: float


@attrs.frozen
class ReadChanges:
    """Wait for changes after a revision."""

    read_no: int
    source: str
    is_store: bool
    after: int
    wait_s: float
    timeout_s: float


@attrs.frozen
class SendPeer:
    """Send a datagram to another daemon; it may get lost."""

    ip: str
    message: typing.Any


@attrs.frozen
class CloseTarget:
    """Close idle connections to a target that is not used any more."""

    target_id: str


@attrs.frozen
class Log:
    """Write one line of what was decided, from what."""

    name: str
    fields: dict[str, typing.Any]
    is_urgent: bool = False  # written also when ordinary lines are over their rate


@attrs.frozen
class StopAccepting:
    """Close the listeners and the callers' idle connections."""


@attrs.frozen
class EndProcess:
    """Everything is answered; end."""
