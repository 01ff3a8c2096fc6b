"""Everything that can happen to a daemon, as values for the reducer."""

import enum
import typing

import attrs

from hyssopproxy import wire


class TargetState(enum.Enum):
    """What a target says of itself in the Target-State header."""

    WARM = "warm"
    COLD = "cold"
    DRAINING = "draining"


class Failure(enum.Enum):
    """How a call to a target ended without its reply; a cancelled call is recorded as nothing."""

    CONNECT = "connect"  # target's: no connection, so no byte was sent
    RESET = "reset"  # target's: the connection ended in the middle
    TIMEOUT = "timeout"  # target's: nothing came in time
    GARBLED = "garbled"  # target's: the reply breaks the contract
    LOCAL = "local"  # this process lacks memory or file descriptors, so no byte was sent
    EXPIRED = "expired"  # this process was too late to send

    @property
    def is_target_fault(self) -> bool:
        """Whether the failure counts against the target."""
        return self in _TARGET_FAULTS

    @property
    def is_not_run(self) -> bool:
        """Whether no target can have seen the request."""
        return self in (Failure.CONNECT, Failure.EXPIRED, Failure.LOCAL)


_TARGET_FAULTS = (Failure.CONNECT, Failure.RESET, Failure.TIMEOUT, Failure.GARBLED)


@attrs.frozen
class SearchArrived:
    """A caller's search."""

    query_no: int
    service: str
    request_id: str
    timeout_ms: str | None  # as the header has it
    query: typing.Any
    limit: typing.Any


@attrs.frozen
class CallerDisconnected:
    """The caller of a search closed its connection."""

    query_no: int


@attrs.frozen
class LinesArrived:
    """Lines of a target's reply; None stands for a garbled one."""

    request_no: int
    lines: tuple[wire.Line | None, ...]
    target_state: TargetState


@attrs.frozen
class RequestEnded:
    """A search request to a target is over."""

    request_no: int
    failure: Failure | None


@attrs.frozen
class StatusArrived:
    """Reply to a status probe; None when there was no reply."""

    address: str
    target_state: TargetState | None


@attrs.frozen
class ActionArrived:
    """A non-idempotent request of a caller, or one that a peer passes on."""

    action_no: int
    service: str
    key: str
    timeout_ms: str | None
    body: typing.Any
    origin: str = ""  # VM that passed it on; empty for a caller's own


@attrs.frozen
class ActionEnded:
    """An action's call to a target is over."""

    action_no: int
    failure: Failure | None
    status: int = 0
    body: bytes = b""
    not_run: bool = False  # the target says so
    target_state: TargetState = TargetState.WARM


@attrs.frozen
class PeerMessageArrived:
    """An authenticated message of another daemon."""

    message: typing.Any


@attrs.frozen
class ConfigArrived:
    """A value read from the platform; `requested_at` is when the read began."""

    blob: bytes
    requested_at: float


@attrs.frozen
class ConfigUnchanged:
    """The platform has nothing newer."""

    requested_at: float


@attrs.frozen
class ConfigReadFailed:
    """A read of the platform failed."""

    reason: str


@attrs.frozen
class VMListArrived:
    """The platform's lagging list of VMs that are leaving."""

    leaving: frozenset[str]


@attrs.frozen
class Tick:
    """The periodic event; its lateness tells how far behind the loop is."""

    due_at: float


@attrs.frozen
class SearchDue:
    """A search's next decision is due: hedge, enough, or the deadline."""

    query_no: int


@attrs.frozen
class ActionDue:
    """An action's deadline is due."""

    action_no: int


@attrs.frozen
class StopRequested:
    """SIGTERM arrived."""
