"""The effects that the reducer returns and the runtime executes."""

import typing

import attrs

from hyssopproxy import problem
from hyssopproxy import wire


@attrs.frozen
class AnswerSearch:
    """Answer a search."""

    query_no: int
    answer: wire.Answer


@attrs.frozen
class Refuse:
    """Refuse a search or an action."""

    number: int
    problem: problem.Problem


@attrs.frozen
class SendSearch:
    """Send sub-searches to a target, unless `not_after` has passed."""

    request_no: int
    address: str
    searches: tuple[wire.SubSearch, ...]
    flush_interval_ms: int
    not_after: float
    timeout_s: float


@attrs.frozen
class SendCancel:
    """Cancel sub-searches whose results are no longer needed at a target."""

    address: str
    items: tuple[tuple[str, str], ...]  # request id and shard


@attrs.frozen
class SendAction:
    """Send an action to a target, unless `not_after` has passed."""

    action_no: int
    address: str
    key: str
    body: typing.Any
    not_after: float
    timeout_s: float


@attrs.frozen
class AnswerAction:
    """Answer an action with its outcome."""

    action_no: int
    status: int
    body: bytes


@attrs.frozen
class ProbeStatus:
    """Request the status of a target; a probe uses no slot."""

    address: str


@attrs.frozen
class SendPeer:
    """Send a message to another daemon without a delivery guarantee."""

    address: str
    message: typing.Any


@attrs.frozen
class KeepPeers:
    """Close the connections to all daemons except these."""

    addresses: frozenset[str]


@attrs.frozen
class ReadConfig:
    """Read the platform's configuration if it is newer than a version."""

    after: int  # version
    wait_ms: int  # how long the platform may hold the request until there is a newer version


@attrs.frozen
class ReadVMs:
    """Read the platform's list of VMs."""


@attrs.frozen
class ScheduleEvent:
    """Post an event at a given time."""

    at: float
    event: typing.Any


@attrs.frozen
class Log:
    """Write a log line for a change of state."""

    name: str
    fields: dict[str, typing.Any]


@attrs.frozen
class StopServing:
    """Close the listeners and end the process once all requests are answered."""
