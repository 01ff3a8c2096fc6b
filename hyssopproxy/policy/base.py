"""Base classes of the replica, hedge, wait and limit policies."""

import abc
import typing

import attrs


class Leaf(typing.Protocol):
    """The attributes of a leaf that a replica policy uses."""

    in_flight: int
    latency_s: float
    fault_rate: float


class ReplicaPolicy(abc.ABC):
    """Chooses one of the available leaves of a shard."""

    #: Short name in service files.
    name = ""

    @abc.abstractmethod
    def choose(self, leaves: list[Leaf], turn: int) -> Leaf:
        """Return the leaf to send to; `leaves` is not empty, `turn` increases with every choice."""


class HedgePolicy(abc.ABC):
    """Decides when a second request for a shard is due."""

    #: Short name in service files.
    name = ""

    @abc.abstractmethod
    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        """Return the delay before a hedge, or None for no hedge.

        The arguments are a quantile and the median of the shard's latency.
        """

    @abc.abstractmethod
    def initial_delay_s(self, timeout_s: float) -> float | None:
        """Return the delay while there are too few latencies of the shard, or None for no hedge."""


class WaitPolicy(abc.ABC):
    """Decides when a search stops waiting for shards."""

    #: Short name in service files.
    name = ""
    #: False lets a search continue past its deadline.
    enforces_deadline = True

    @abc.abstractmethod
    def is_enough(
        self, coverage: float, enough_coverage: float, elapsed_s: float, median_s: float
    ) -> bool:
        """Return whether to answer now although shards are outstanding.

        `median_s` is the median time of the service's recent searches.
        """

    def recheck_after_s(self, median_s: float) -> float | None:
        """Return the age of a search at which `is_enough` may become true without a further answer.

        None means never.
        """
        return None


@attrs.define
class LimitPolicy(abc.ABC):
    """Adapts the concurrency limit of one leaf within this daemon's share of its slots."""

    #: Short name in service files.
    name: typing.ClassVar[str] = ""
    #: Current limit of concurrent sub-searches.
    value: float = 1.0

    @abc.abstractmethod
    def record_answer(self, latency_s: float, in_flight: int) -> None:
        """Record a good answer; `in_flight` includes it."""

    @abc.abstractmethod
    def record_shed(self) -> None:
        """Record that the target shed a request."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Reset the limit to the most cautious value, for example after a pause or a restart."""
