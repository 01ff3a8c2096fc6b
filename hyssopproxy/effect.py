"""Everything the reducer may ask of the runtime, as values."""

import typing

import attrs

from hyssopproxy import problem
from hyssopproxy import wire


@attrs.frozen
class AnswerSearch:
    """Give a search its answer."""

    query_no: int
    answer: wire.Answer


@attrs.frozen
class Refuse:
    """Give a search or an action its refusal."""

    number: int
    problem: problem.Problem


@attrs.frozen
class SendSearch:
    """Send sub-searches to a target, unless it is past `not_after`."""

    request_no: int
    address: str
    searches: tuple[wire.SubSearch, ...]
    flush_interval_ms: int
    not_after: float
    timeout_s: float


@attrs.frozen
class SendCancel:
    """Tell a target that nobody waits for these sub-searches."""

    address: str
    items: tuple[tuple[str, str], ...]  # request id and shard


@attrs.frozen
class SendAction:
    """Send an action to a target, unless it is past `not_after`."""

    action_no: int
    address: str
    key: str
    body: typing.Any
    not_after: float
    timeout_s: float


@attrs.frozen
class AnswerAction:
    """Give an action its outcome."""

    action_no: int
    status: int
    body: bytes


@attrs.frozen
class ProbeStatus:
    """Ask a target for its status; this is no work."""

    address: str


@attrs.frozen
class SendPeer:
    """Send a message to another daemon; it may get lost."""

    address: str
    message: typing.Any


@attrs.frozen
class KeepPeers:
    """Close the connections to all other daemons than these."""

    addresses: frozenset[str]


@attrs.frozen
class ReadConfig:
    """Watch the platform's configuration after a version."""

    after: int
    wait_ms: int


@attrs.frozen
class ReadVMs:
    """Read the platform's list of VMs."""


@attrs.frozen
class ScheduleEvent:
    """Post an event at a time."""

    at: float
    event: typing.Any


@attrs.frozen
class Log:
    """Write a line for a change of state."""

    name: str
    fields: dict[str, typing.Any]


@attrs.frozen
class StopServing:
    """Close the listeners and end the process once all is answered."""
