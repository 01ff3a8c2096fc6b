"""Immutable values that describe the published routing data."""

import enum

import attrs

from hyssopproxy import limit


@attrs.frozen
class WeightedPool:
    """A pool of a weighted split."""

    pool: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and under which limits."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_s: float  # longest time to an answer that the operator allows
    objective_s: float  # latency objective of the operator
    priority: int = 0  # 0 is the most urgent
    max_attempts: int = 1  # per request and shard
    split: tuple[WeightedPool, ...] = ()  # a request goes to one of these pools, by weight
    shards: tuple[str, ...] = ()  # pools that each search is sent to; empty for plain requests
    least_coverage: float = 0.0  # least share of the shards that an answer must cover
    top_k: int = 0  # records in the answer to a search
    is_public: bool = False  # callers need no key

    @property
    def is_search(self) -> bool:
        """Whether requests are searches, which go to every shard."""
        return bool(self.shards)

    @property
    def pools(self) -> tuple[str, ...]:
        """All pools that a request may go to."""
        return self.shards or tuple(part.pool for part in self.split)


@attrs.frozen
class Pool:
    """A named group of interchangeable targets; for a search, the replicas of a shard."""

    name: str
    max_connections: int = 64  # per target, from all daemons together
    cold_per_s: float = 0.0  # requests per second to a cold target, from all daemons; 0: no limit


@attrs.frozen
class Organisation:
    """A customer, whose callers present one of its keys."""

    name: str
    priority: int | None = None  # goes before the priority of the route
    rate_per_s: float = 0.0  # requests per second, over all daemons; 0: no limit
    burst: float = 0.0  # requests beyond the rate that may come at once

    @property
    def has_quota(self) -> bool:
        """Whether the number of requests is limited."""
        return self.rate_per_s > 0.0


@attrs.frozen
class RoutingTable:
    """One published version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: limit.Limits = limit.Limits()
    # By digest of the key; empty if callers need no keys.
    key_owners: dict[bytes, Organisation] = attrs.field(factory=dict, repr=False)
    requires_keys: bool = False  # on all routes that are not public
    by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False, repr=False)
    has_priorities: bool = attrs.field(init=False)  # whether any differ from the default

    def __attrs_post_init__(self) -> None:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        }
        object.__setattr__(self, "by_host", ordered)
        has_priorities = any(route.priority for route in self.routes) or any(
            owner.priority is not None for owner in self.key_owners.values()
        )
        object.__setattr__(self, "has_priorities", has_priorities)


@attrs.frozen
class TargetEntry:
    """The entry that one incarnation of a target has published."""

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left_s: float  # time until its cold start ends
    started_at_ms: int  # wall-clock time; distinguishes incarnations with the same id


@attrs.frozen
class Evacuation:
    """A failure domain that operators have taken out of service."""

    failure_domain: str


@attrs.frozen
class Change:
    """A published item at a revision; `value` is None if it was removed or is invalid.

    `error` states why a value is invalid.
    """

    key: str
    revision: int
    value: RoutingTable | TargetEntry | Evacuation | None
    error: str = ""


class Outcome(enum.Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # the target executed the request and answered with an error
    SHED = "shed"  # the target states that it did not execute the request
    MISDIRECTED = "misdirected"  # another target has the address now, nothing was executed
    CONNECT = "connect"  # no connection could be opened, nothing was sent
    EXPIRED = "expired"  # this process did not send the request in time
    LOCAL = "local"  # this process lacks file descriptors or memory, nothing was sent
    RESET = "reset"  # the connection ended before the answer
    GARBLED = "garbled"  # the bytes received are not a valid answer to this request
    TIMEOUT = "timeout"  # no answer arrived in time

    @property
    def is_not_run(self) -> bool:
        """Whether the target is known not to have executed the request."""
        return self in _NOT_RUN

    @property
    def may_have_arrived(self) -> bool:
        """Whether the target may have received the request."""
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
    """Reason for which the daemon refuses a request."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    TARGET_FAILED = "target_failed"
    COVERAGE_TOO_LOW = "coverage_too_low"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL_ERROR = "internal_error"
