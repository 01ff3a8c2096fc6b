"""Interchangeable policies: an abstract base class for each decision, with simple baselines."""

import abc
import typing

import attrs

from hyssopproxy import problem

CROSS_DOMAIN_COST_S = 0.03  # round trip to another failure domain, plus the cost of the traffic
OVERDUE_COST_S = 0.15  # expected remaining pause once a target's oldest request is overdue
LOAD_WEIGHT = 1.0  # a target whose slots are all in use by this daemon takes twice as long
FAILURE_COST_S = 0.25  # expected time lost when a target sheds or fails a request
LATE_PRIORITY = 16  # added to the priority of a retry that can hardly be answered on time
MIN_HEDGE_DELAY_S = 0.008  # a hedge sooner than this cannot beat the first request


@attrs.frozen
class Candidate:
    """Properties of a target that a placement policy considers."""

    is_same_domain: bool  # whether it is in the failure domain of this daemon
    in_flight: int  # requests from this daemon
    slots: int
    slowness: float  # moving average of latency divided by the route's median
    overdue_s: float  # how long its oldest request in flight has been overdue
    failure_rate: float  # share of recent requests that it shed or failed
    pause_s: float = 0.0  # delay expected from a predicted or current pause


class PlacementPolicy(abc.ABC):
    """Ranks the targets that are eligible for a request."""

    #: Short name in settings.
    name = ""

    @abc.abstractmethod
    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        """Return the cost of a request to a target in seconds; the lowest cost is chosen."""


class Random(PlacementPolicy):
    """Baseline: all targets rank equally."""

    name = "random"

    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        return 0.0


class Nearest(PlacementPolicy):
    """Baseline: this daemon's failure domain first, then the fewest requests in flight."""

    name = "nearest"

    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        return candidate.in_flight + (0.0 if candidate.is_same_domain else 1000.0)


class ExpectedLatency(PlacementPolicy):
    """The lowest expected latency, from this daemon's current observations.

    Handles targets that pause, slow down or fill up while the state they publish is still normal:
    an overdue request raises the cost immediately, before its answer arrives, and a predicted pause
    raises it before the pause begins.
    """

    name = "evidence"

    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        load = 1.0 + LOAD_WEIGHT * candidate.in_flight / candidate.slots
        cost = (
            typical_latency_s * candidate.slowness * load + candidate.failure_rate * FAILURE_COST_S
        )
        cost += candidate.pause_s
        if candidate.overdue_s > 0.0:
            cost += OVERDUE_COST_S + candidate.overdue_s
        return cost if candidate.is_same_domain else cost + CROSS_DOMAIN_COST_S


class HedgePolicy(abc.ABC):
    """Decides when a hedge, a second request for a shard, is due."""

    #: Short name in settings.
    name = ""
    #: Rank of the latency quantile that is passed to `delay_s`.
    rank = 0.95

    @abc.abstractmethod
    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        """Return the delay in seconds; `quantile_s` is None while there are no samples."""


class NoHedge(HedgePolicy):
    """Baseline: never hedge."""

    name = "none"

    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        return float("inf")


class Quantile(HedgePolicy):
    """Hedge after a high quantile of the route's latency.

    See "The Tail at Scale" (Dean, Barroso, 2013).
    """

    name = "quantile"
    rank = 0.92
    #: Factor by which the delay exceeds the quantile.
    quantile_factor = 1.15
    #: Longest delay as a multiple of the median; detects stragglers even if many targets are slow.
    median_factor = 2.2
    #: Longest delay as a fraction of the objective; a later hedge could not meet it.
    max_objective_fraction = 0.45

    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        latest_s = self.max_objective_fraction * objective_s
        if quantile_s is None:
            return latest_s / 2
        straggler_s = min(self.quantile_factor * quantile_s, self.median_factor * median_s)
        return max(MIN_HEDGE_DELAY_S, min(straggler_s, latest_s))


class WaitPolicy(abc.ABC):
    """Decides whether a search answers although shards are outstanding."""

    #: Short name in settings.
    name = ""

    @abc.abstractmethod
    def is_enough(self, coverage: float, least_coverage: float, is_past_objective: bool) -> bool:
        """Return whether to answer now."""


class WaitAll(WaitPolicy):
    """Baseline: wait for every shard until the deadline."""

    name = "all"

    def is_enough(self, coverage: float, least_coverage: float, is_past_objective: bool) -> bool:
        return False


class AnswerAtObjective(WaitPolicy):
    """Answer at the latency objective, or as soon after it as the least coverage is reached.

    The value of an answer is the square of its coverage, and a tenth of that after the objective,
    so waiting past the objective for a missing shard is not worthwhile.
    """

    name = "objective"

    def is_enough(self, coverage: float, least_coverage: float, is_past_objective: bool) -> bool:
        return is_past_objective and coverage >= least_coverage


class ScarcityPolicy(abc.ABC):
    """Decides which shards and hedges are worth a request while targets are slow or silent."""

    #: Short name in settings.
    name = ""

    @abc.abstractmethod
    def can_answer(self, needed_s: float, left_s: float) -> bool:
        """Return whether a shard that needs `needed_s` is likely to answer within `left_s`."""

    @abc.abstractmethod
    def is_hedge_useful(self, other_s: float, remaining_s: float) -> bool:
        """Return whether to hedge a request that is expected to take `remaining_s` longer.

        `other_s` is the time that the fastest other target needs.
        """


class AskAll(ScarcityPolicy):
    """Baseline: every shard is asked, and every late one hedged."""

    name = "all"

    def can_answer(self, needed_s: float, left_s: float) -> bool:
        return True

    def is_hedge_useful(self, other_s: float, remaining_s: float) -> bool:
        return True


class ExpectedTime(ScarcityPolicy):
    """Compares the expected time with the time that is left.

    Handles shards whose targets are all slow: searches that they cannot answer in time, and hedges
    to them, take the capacity that other searches need.
    """

    name = "expected"

    def can_answer(self, needed_s: float, left_s: float) -> bool:
        return needed_s <= left_s

    def is_hedge_useful(self, other_s: float, remaining_s: float) -> bool:
        return other_s < remaining_s


class AdmissionPolicy(abc.ABC):
    """Divides the capacity for new requests among their priorities."""

    #: Short name in settings.
    name = ""
    #: Whether requests are refused when demand exceeds capacity.
    has_limits = True

    @abc.abstractmethod
    def shares(self, share: float, offered: typing.Mapping[int, float]) -> dict[int, float]:
        """Return the share of the requests of each priority to admit.

        `share` is the share of all requests that there is capacity for; `offered` has the requests
        of each priority, in any unit.
        """

    @abc.abstractmethod
    def rank(self, priority: int) -> int:
        """Return the rank of a waiting request; the lowest one is served first."""


class ArrivalOrder(AdmissionPolicy):
    """Baseline: everything is admitted, in order of arrival."""

    name = "arrival"
    has_limits = False

    def shares(self, share: float, offered: typing.Mapping[int, float]) -> dict[int, float]:
        return dict.fromkeys(offered, 1.0)

    def rank(self, priority: int) -> int:
        return 0


class StrictPriority(AdmissionPolicy):
    """The most urgent priority first, with a reserve for each less urgent one.

    The reserve is a fraction of the mean share, so that no kind of request is starved.
    """

    name = "priority"
    #: Each kind is to be served a quarter of the mean; the rest covers requests that fail.
    reserve_fraction = 0.5
    #: The same for late retries; callers with an unusually short timeout look like them.
    late_reserve = 0.05

    def shares(self, share: float, offered: typing.Mapping[int, float]) -> dict[int, float]:
        reserves = {
            priority: share
            * (self.late_reserve if priority >= LATE_PRIORITY else self.reserve_fraction)
            for priority in offered
        }
        left = sum((share - reserves[priority]) * demand for priority, demand in offered.items())
        shares = {}
        for priority in sorted(offered):
            demand = offered[priority]
            extra = 1.0 - reserves[priority]
            if left < demand * extra:
                extra, left = left / demand, 0.0
            else:
                left -= demand * extra
            shares[priority] = reserves[priority] + extra
        return shares

    def rank(self, priority: int) -> int:
        return priority


PLACEMENTS = {policy.name: policy for policy in (Random, Nearest, ExpectedLatency)}
HEDGES = {policy.name: policy for policy in (NoHedge, Quantile)}
WAITS = {policy.name: policy for policy in (WaitAll, AnswerAtObjective)}
SCARCITIES = {policy.name: policy for policy in (AskAll, ExpectedTime)}
ADMISSIONS = {policy.name: policy for policy in (ArrivalOrder, StrictPriority)}


@attrs.frozen
class Policies:
    """The policies in use."""

    placement: PlacementPolicy
    hedge: HedgePolicy
    wait: WaitPolicy
    scarcity: ScarcityPolicy
    admission: AdmissionPolicy


def from_names(names: typing.Mapping[str, str]) -> Policies:
    """Return the policies with the given names; raise `problem.UserError` for unknown names."""
    chosen = {}
    errors = []
    kinds = {
        "placement": PLACEMENTS,
        "hedge": HEDGES,
        "wait": WAITS,
        "scarcity": SCARCITIES,
        "admission": ADMISSIONS,
    }
    defaults = {
        "placement": ExpectedLatency.name,
        "hedge": Quantile.name,
        "wait": AnswerAtObjective.name,
        "scarcity": ExpectedTime.name,
        "admission": ArrivalOrder.name,
    }
    for kind, classes in kinds.items():
        name = names.get(kind, defaults[kind])
        if name not in classes:
            errors.append(f"{kind}: unknown policy {name!r}: give one of {', '.join(classes)}")
        else:
            chosen[kind] = classes[name]()
    if errors:
        raise problem.UserError(errors)
    return Policies(**chosen)
