"""Published routing data as immutable values."""

import enum

import attrs

from hyssopproxy import limit


@attrs.frozen
class WeightedPool:
    """One part of a weighted split."""

    pool: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and under which limits."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float  # longest time the operator lets a caller wait
    objective_s: float  # latency objective
    priority: int = 0  # 0 is the most urgent
    max_attempts: int = 1  # targets that one request may be sent to, for each shard
    split: tuple[WeightedPool, ...] = ()  # one pool is drawn by weight
    shards: tuple[str, ...] = ()  # pools that all answer a search; empty for plain requests
    min_coverage: float = 0.0
    top_k: int = 0  # records of a search's answer

    @property
    def is_search(self) -> bool:
        """Whether the request goes to every shard."""
        return bool(self.shards)

    @property
    def pools(self) -> tuple[str, ...]:
        """All pools that a request may go to."""
        return self.shards or tuple(part.pool for part in self.split)


@attrs.frozen
class Pool:
    """A named group of interchangeable targets; a search calls it a shard."""

    name: str
    max_connections: int = 64  # of one target, from all daemons together
    cold_per_s: float = 0.0  # requests a second that a cold target bears; 0 for no bound


@attrs.frozen
class RoutingTable:
    """One published version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: limit.Limits = limit.Limits()
    by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        }
        object.__setattr__(self, "by_host", ordered)


@attrs.frozen
class TargetEntry:
    """What one start of a target published of itself."""

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float  # time until it bears full load
    started_at_ms: int  # wall-clock time of its start; tells two starts under one id apart


@attrs.frozen
class Evacuation:
    """The operators took a failure domain out of service."""

    failure_domain: str


@attrs.frozen
class Change:
    """One published item as it stands at a revision; `value` is None where it is gone or unusable.

    `error` says why a value could not be used.
    """

    key: str
    revision: int
    value: RoutingTable | TargetEntry | Evacuation | None
    error: str = ""


class Outcome(enum.Enum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # the target answered with a failure after it ran the request
    SHED = "shed"  # the target says that it did not run the request
    MISDIRECTED = "misdirected"  # another target has the address, nothing ran
    CONNECT = "connect"  # no connection, nothing was sent
    EXPIRED = "expired"  # this process was too late to send
    LOCAL = "local"  # this process lacks file descriptors or memory, nothing was sent
    RESET = "reset"  # the connection ended before the answer
    GARBLED = "garbled"  # the bytes are no answer to this request
    TIMEOUT = "timeout"  # nothing came in time

    @property
    def is_not_run(self) -> bool:
        """Whether the target provably did not run the request."""
        return self in _NOT_RUN

    @property
    def may_have_arrived(self) -> bool:
        """Whether the target may have seen the request."""
        return self not in (Outcome.CONNECT, Outcome.EXPIRED, Outcome.LOCAL)

    @property
    def is_target_fault(self) -> bool:
        """Whether the outcome counts against the target's health."""
        return self in _TARGET_FAULTS


_NOT_RUN = (
    Outcome.SHED,
    Outcome.MISDIRECTED,
    Outcome.CONNECT,
    Outcome.EXPIRED,
    Outcome.LOCAL,
)
_TARGET_FAULTS = (
    Outcome.FAILED,
    Outcome.CONNECT,
    Outcome.RESET,
    Outcome.GARBLED,
    Outcome.TIMEOUT,
)


class Refusal(enum.Enum):
    """Why the daemon answers a request itself."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    TARGET_FAILED = "target_failed"
    COVERAGE_TOO_LOW = "coverage_too_low"
    DEADLINE_EXCEEDED = "deadline_exceeded"
