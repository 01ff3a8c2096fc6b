"""Decisions that compete, each an abstract base class with a plain baseline beside it."""

import abc
import typing

import attrs

from hyssopproxy import problem

CROSS_DOMAIN_COST_S = 0.03  # a round trip between failure domains, and the price of its bytes
OVERDUE_COST_S = 0.15  # expected rest of a stall, once a target's oldest request is overdue
LOAD_WEIGHT = 1.0  # a target with all its slots in use by this daemon alone takes twice as long
FAILURE_COST_S = 0.25  # expected time lost to a request that is shed or fails
MIN_HEDGE_DELAY_S = 0.008  # a hedge sooner than this cannot beat the first request


@attrs.frozen
class Candidate:
    """What a placement sees of a target."""

    is_same_domain: bool  # in this daemon's failure domain
    in_flight: int  # this daemon's own requests there
    slots: int
    slowness: float  # recent latency against what is usual
    overdue_s: float  # how long its oldest request is past its usual time
    failure_rate: float  # share of recent requests that it shed or failed
    pause_s: float = 0.0  # delay by a pause that is known to come, or to last


class PlacementPolicy(abc.ABC):
    """Ranks the targets that may serve a request."""

    #: Short name in settings.
    name = ""

    @abc.abstractmethod
    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        """Return the expected time of a request there, in seconds; the least is chosen."""


class Random(PlacementPolicy):
    """Baseline: any target."""

    name = "random"

    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        return 0.0


class Nearest(PlacementPolicy):
    """Baseline: own failure domain first, then the fewest in flight."""

    name = "nearest"

    def cost_s(self, candidate: Candidate, typical_latency_s: float) -> float:
        return candidate.in_flight + (0.0 if candidate.is_same_domain else 1000.0)


class ExpectedLatency(PlacementPolicy):
    """Expected time by this instant's evidence.

    Answers targets that pause, turn slow or fill up while their reports still look well: a request
    that is overdue counts at once, before any answer comes, and a pause before it begins.
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
    """Says when a second request for a shard is due."""

    #: Short name in settings.
    name = ""
    #: Rank of the latency quantile that `delay_s` is given.
    rank = 0.95

    @abc.abstractmethod
    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        """Return the delay in seconds; `quantile_s` is None without history."""


class NoHedge(HedgePolicy):
    """Baseline: never."""

    name = "none"

    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        return float("inf")


class Quantile(HedgePolicy):
    """After a high quantile of the route's latency ("The Tail at Scale", Dean, Barroso, 2013)."""

    name = "quantile"
    rank = 0.92
    #: Margin over the quantile.
    quantile_factor = 1.15
    #: Medians after which a target is a straggler, also while many are slow.
    median_factor = 2.2
    #: Part of the objective after which a hedge could no longer meet it.
    max_objective_fraction = 0.45

    def delay_s(self, quantile_s: float | None, median_s: float, objective_s: float) -> float:
        latest_s = self.max_objective_fraction * objective_s
        if quantile_s is None:
            return latest_s / 2
        straggler_s = min(self.quantile_factor * quantile_s, self.median_factor * median_s)
        return max(MIN_HEDGE_DELAY_S, min(straggler_s, latest_s))


class WaitPolicy(abc.ABC):
    """Says whether a search answers now though shards are outstanding."""

    #: Short name in settings.
    name = ""

    @abc.abstractmethod
    def is_enough(self, coverage: float, min_coverage: float, is_past_objective: bool) -> bool:
        """Return whether to answer now."""


class WaitAll(WaitPolicy):
    """Baseline: wait for every shard until the deadline."""

    name = "all"

    def is_enough(self, coverage: float, min_coverage: float, is_past_objective: bool) -> bool:
        return False


class AnswerAtObjective(WaitPolicy):
    """At the latency objective, answer with what is there once the least coverage is reached.

    An answer's worth falls with the square of its missing share, and to a tenth past the
    objective, so that no missing shard is worth missing the objective.
    """

    name = "objective"

    def is_enough(self, coverage: float, min_coverage: float, is_past_objective: bool) -> bool:
        return is_past_objective and coverage >= min_coverage


PLACEMENTS = {one.name: one for one in (Random, Nearest, ExpectedLatency)}
HEDGES = {one.name: one for one in (NoHedge, Quantile)}
WAITS = {one.name: one for one in (WaitAll, AnswerAtObjective)}


@attrs.frozen
class Policies:
    """The policies in use."""

    placement: PlacementPolicy
    hedge: HedgePolicy
    wait: WaitPolicy


def from_names(names: typing.Mapping[str, str]) -> Policies:
    """Return the policies by their short names; raise `problem.UserError` for an unknown one."""
    chosen = {}
    errors = []
    families = {"placement": PLACEMENTS, "hedge": HEDGES, "wait": WAITS}
    defaults = {
        "placement": ExpectedLatency.name,
        "hedge": Quantile.name,
        "wait": AnswerAtObjective.name,
    }
    for family, known in families.items():
        name = names.get(family, defaults[family])
        if name not in known:
            errors.append(f"{family}: unknown policy {name!r}: give one of {', '.join(known)}")
        else:
            chosen[family] = known[name]()
    if errors:
        raise problem.UserError(errors)
    return Policies(**chosen)
