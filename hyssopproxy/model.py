"""Immutable data classes for the accepted configuration."""

import attrs

MAX_CONFIG_BYTES = 1 << 20  # largest configuration value that the platform stores


@attrs.frozen
class ColdStart:
    """Fraction of a target's slots that may be used after a cold start, as steps over time."""

    after_ms: tuple[int, ...] = (0, 500, 1500, 3000)
    percent: tuple[int, ...] = (10, 25, 50, 100)

    def fraction(self, age_s: float) -> float:
        """Return the usable fraction of the slots at this age of the cold start.

        >>> ColdStart().fraction(0.6)
        0.25
        """
        result = self.percent[0]
        for after, percent in zip(self.after_ms, self.percent, strict=True):
            if age_s * 1000 >= after:
                result = percent
        return result / 100

    @property
    def length_s(self) -> float:
        """Time from the beginning of the cold start to its last step, in seconds."""
        return self.after_ms[-1] / 1000


@attrs.frozen
class Target:
    """A back end behind one address, with its leaves and limits."""

    name: str
    address: str
    failure_domain: str
    leaves: int = 1
    slots: int = 2  # concurrent sub-searches per leaf
    connections: int = 50  # maximum number of connections per leaf
    connect_ms: int = 1  # CPU time that a new connection costs the target
    leaving: bool = False


@attrs.frozen
class Replica:
    """A leaf of a target that serves a shard."""

    target: str
    leaf: int


@attrs.frozen
class Snapshot:
    """One version of the index with its shard map."""

    name: str
    number: int
    shards: dict[str, tuple[Replica, ...]]


@attrs.frozen
class Service:
    """The contents of one service file."""

    name: str
    targets: dict[str, Target]
    snapshots: tuple[Snapshot, ...]  # newest first
    default_ms: int = 300
    max_ms: int = 5000
    wait: str = "coverage_first"
    enough_coverage: float = 1.0
    least_coverage: float = 0.0
    hedge: str = "quantile"
    hedge_percent: float = 5.0
    retry_percent: float = 10.0
    replica: str = "observed"
    limit: str = "adaptive"
    body_bytes: int = 65536
    results: int = 100
    flush_interval_ms: int = 2
    queries_in_flight: int = 1000
    non_idempotent: tuple[str, ...] = ()
    cold_start: ColdStart = ColdStart()


@attrs.frozen
class VM:
    """An entry VM, which runs a daemon."""

    id: str
    address: str
    peer_address: str
    failure_domain: str
    leaving: bool = False


@attrs.frozen
class Config:
    """One published configuration value."""

    version: int
    services: dict[str, Service]
    vms: dict[str, VM]
    domains_out: frozenset[str] = frozenset()
    tables: dict[str, dict] = attrs.field(factory=dict, repr=False)  # service files as published
