"""The events that the reducer handles."""

import enum
import typing

import attrs

from hyssopproxy import wire


class TargetState(enum.Enum):
    """State that a target reports in its Target-State header."""

    WARM = "warm"
    COLD = "cold"
    DRAINING = "draining"


class Failure(enum.Enum):
    """Reason why a call to a target ended without a valid reply; a cancelled call is no failure.

    The first four are faults of the target, the last two are faults of this process.
    """

    CONNECT = "connect"  # no connection was established, so no byte was sent
    RESET = "reset"  # the connection closed before the reply was complete
    TIMEOUT = "timeout"  # no reply arrived in time
    GARBLED = "garbled"  # the reply violates the protocol
    LOCAL = "local"  # this process lacks memory, file descriptors or ports, so no byte was sent
    EXPIRED = "expired"  # this process did not send the request in time

    @property
    def is_target_fault(self) -> bool:
        """Whether the failure counts as a fault of the target."""
        return self in _TARGET_FAULTS

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that the target did not receive the request."""
        return self in (Failure.CONNECT, Failure.EXPIRED, Failure.LOCAL)


_TARGET_FAULTS = (Failure.CONNECT, Failure.RESET, Failure.TIMEOUT, Failure.GARBLED)


@attrs.frozen
class SearchArrived:
    """A caller sent a search."""

    query_no: int
    service: str
    request_id: str
    timeout_ms: str | None  # raw value of the Request-Timeout-Ms header
    query: typing.Any
    limit: typing.Any


@attrs.frozen
class CallerDisconnected:
    """The caller of a search closed its connection."""

    query_no: int


@attrs.frozen
class LinesArrived:
    """Lines of a target's reply arrived; None stands for a malformed line."""

    request_no: int
    lines: tuple[wire.Line | None, ...]
    target_state: TargetState


@attrs.frozen
class RequestEnded:
    """A search request to a target ended."""

    request_no: int
    failure: Failure | None  # None if the reply was complete


@attrs.frozen
class StatusArrived:
    """A status probe of a target ended."""

    address: str
    target_state: TargetState | None  # None if there was no reply


@attrs.frozen
class ActionArrived:
    """A non-idempotent request arrived from a caller, or from a peer that forwards it."""

    action_no: int
    service: str
    key: str
    timeout_ms: str | None
    body: typing.Any
    origin: str = ""  # peer address of the daemon that forwarded it; empty for a caller's request


@attrs.frozen
class ActionEnded:
    """The call of an action to a target ended."""

    action_no: int
    failure: Failure | None
    status: int = 0
    body: bytes = b""
    not_run: bool = False  # the target states that it did not run the action
    target_state: TargetState = TargetState.WARM


@attrs.frozen
class PeerMessageReceived:
    """An authenticated message arrived from another daemon."""

    message: typing.Any


@attrs.frozen
class ConfigArrived:
    """A configuration value was read from the platform; the read began at `requested_at`."""

    blob: bytes
    requested_at: float


@attrs.frozen
class ConfigUnchanged:
    """The platform has no newer version; the read began at `requested_at`."""

    requested_at: float


@attrs.frozen
class ConfigReadFailed:
    """A read of the platform's configuration failed."""

    reason: str


@attrs.frozen
class VMListArrived:
    """The platform's list of VMs that are leaving was read; it may be out of date."""

    leaving: frozenset[str]


@attrs.frozen
class Tick:
    """The periodic event; its lateness is the lag of the event loop."""

    due_at: float


@attrs.frozen
class SearchDue:
    """A search's next decision is due: a hedge, an early answer, or the answer at its deadline."""

    query_no: int


@attrs.frozen
class ActionDue:
    """An action reached its deadline."""

    action_no: int


@attrs.frozen
class StopRequested:
    """The process received SIGTERM."""
