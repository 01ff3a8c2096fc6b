"""Base classes of the policies."""

import abc
import typing

import attrs


class Leaf(typing.Protocol):
    """What a replica policy sees of a leaf."""

    in_flight: int
    latency_s: float
    fault_rate: float


class ReplicaPolicy(abc.ABC):
    """Picks one of the usable leaves of a shard."""

    #: Short name in service files.
    name = ""

    @abc.abstractmethod
    def choose(self, leaves: list[Leaf], turn: int) -> Leaf:
        """Return the leaf to send to; `leaves` is not empty, `turn` counts the choices."""


class HedgePolicy(abc.ABC):
    """Says when a second request for a shard is due."""

    #: Short name in service files.
    name = ""

    @abc.abstractmethod
    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        """Return the delay before a hedge, or None for none; the shard's latencies in seconds."""

    @abc.abstractmethod
    def initial_delay_s(self, timeout_s: float) -> float | None:
        """Return the delay while the shard has no latencies yet, or None for no hedge."""


class WaitPolicy(abc.ABC):
    """Says when a search stops waiting for shards."""

    #: Short name in service files.
    name = ""
    #: False lets a search go on past its deadline.
    enforces_deadline = True

    @abc.abstractmethod
    def is_enough(self, coverage: float, enough: float, elapsed_s: float, median_s: float) -> bool:
        """Return whether to answer now though shards are outstanding.

        `median_s` is the usual time of the slowest shard of a search.
        """

    def recheck_after_s(self, median_s: float) -> float | None:
        """Return when, after the arrival, `is_enough` may turn true by itself; None for never."""
        return None


@attrs.define
class LimitPolicy(abc.ABC):
    """Concurrency limit of one leaf within this daemon's share of its slots."""

    #: Short name in service files.
    name: typing.ClassVar[str] = ""
    #: Concurrent sub-searches allowed at present.
    value: float = 1.0

    @abc.abstractmethod
    def record_answer(self, latency_s: float, in_flight: int) -> None:
        """Take in one good answer; `in_flight` counts it."""

    @abc.abstractmethod
    def record_shed(self) -> None:
        """Take in one refusal by the target."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Return to the safest value after a pause or a restart."""
