"""Estimate of the load on each resource of the fleet, and the rate of requests that it can bear.

A resource is what one request occupies: the shards of a search, or the pool of a plain request. A
daemon receives too few requests to learn the load by itself, so each sends its counts of the last
second to a few random daemons at each round. The counts that a daemon has received are a random
sample of the fleet, also if datagrams are lost. The own counts are one daemon's among many, so that
failures at one daemon change little.
"""

import math

import attrs

ROUND_S = 0.1  # time between two rounds
OWN_HALF_LIFE_S = 0.3  # of a daemon's counts; fractions of the time to react, 1 s
VIEW_HALF_LIFE_S = 0.25  # of the counts of other daemons
MAX_SAMPLE = 1.0  # requests of one daemon and priority that count as evidence of failures
OWN_SHARE = 8  # the own counts weigh this many times less than those of another daemon
DECREASE_S = 0.6  # time from a decrease to the next; most searches end within it
START_S = 1.2  # time from the start to a decrease
DRAIN_S = 0.5  # time from the start until the queues of targets are empty
INCREASE_S = 0.3  # time from a change to an increase; queues show within it
MIN_FAILURES = 3.0  # failed requests in the view; fewer may be chance
MIN_FAILURE_SHARE = 0.6  # the same per daemon, in failure domains of a few daemons
FAILED_RATIO = 0.2  # failed or late requests, as a fraction, from which a limit begins
AIM_RATIO = 0.08  # the same, at which a limit stays as it is
QUEUED_RATIO = 0.08  # attempts that met a queue, as a fraction, that fully explain the failures
FULL_QUEUED_RATIO = 0.2  # the same, at which the targets have no capacity left
MAX_DECREASE = 0.35  # of a limit, in one change
MAX_INCREASE = 0.25  # of a limit, in one change, while no attempt meets a queue
MIN_INCREASE = 0.02  # the same, while many do, or at the rate that was too high before
NEAR_CEILING = 0.25  # distance to that rate, as a fraction, from which a limit grows less
END_FACTOR = 1.15  # a limit above the demand by this factor ends
MEAN_RATE_S = 2.0  # time over which the rate of requests in time is averaged
USUAL_RATE_S = 30.0  # half-life of the highest such average
START_FACTOR = 1.5  # a limit begins at this multiple of what was usually served
MIN_START_SHARE = 0.3  # lowest share of the demand that a limit begins with
MIN_RATE = 0.01  # requests per second and daemon, lowest limit
MAX_DIGESTS_PER_ROUND = 24  # merged in a round; up to six arrive, unless this process was frozen
ANNOUNCED_S = 0.5  # how long the announcement of a limit by another daemon is considered
MAX_ANNOUNCED = 64  # bounds the memory that forged datagrams take
MIN_COUNT = 1e-3  # smaller counts are dropped


@attrs.define
class Counts:
    """Decayed counts of one resource and one priority."""

    offered: float = 0.0  # requests that arrived, admitted or not
    served: float = 0.0  # requests answered in time
    failed: float = 0.0  # admitted requests that failed or were late
    tried: float = 0.0  # attempts that targets answered or shed
    queued: float = 0.0  # of these, the ones that were shed or waited in a queue

    def values(self) -> tuple[float, ...]:
        return self.offered, self.served, self.failed, self.tried, self.queued

    def add(self, values: tuple[float, ...], factor: float = 1.0) -> None:
        """Add other counts, multiplied by a factor."""
        self.offered += factor * values[0]
        self.served += factor * values[1]
        self.failed += factor * values[2]
        self.tried += factor * values[3]
        self.queued += factor * values[4]

    def scale(self, factor: float) -> None:
        """Multiply all counts."""
        self.add(self.values(), factor - 1.0)


@attrs.define(eq=False)
class Limit:
    """Rate of admitted requests of one resource."""

    rate: float  # requests per second and daemon
    changed_at: float
    evidence_from: float  # what became of requests that arrived earlier is ignored
    decrease_from: float  # time of the next decrease at the earliest
    ceiling: float = float("inf")  # rate at the last decrease, which was too high
    shares: dict[int, float] = attrs.field(factory=dict)  # admitted share of each priority


@attrs.frozen
class Load:
    """Load on one resource, as estimated for the fleet."""

    offered: dict[int, float]  # requests per second and daemon, by priority
    served_rate: float  # requests in time per second and daemon
    failed_ratio: float
    queued_ratio: float
    failures: float  # failed or late requests per daemon, decayed

    @property
    def total_offered(self) -> float:
        return sum(self.offered.values())

    @property
    def overload(self) -> float:
        """Share of the requests that failed because of load.

        Failures without queues are not caused by load: fewer requests would fail as well.
        """
        return self.failed_ratio * min(1.0, self.queued_ratio / QUEUED_RATIO)


Key = tuple[int, int]  # resource and priority


@attrs.define(eq=False)
class Pressure:
    """The counts of a daemon, those of a sample of the fleet, and the limits."""

    own: dict[Key, Counts] = attrs.field(factory=dict)  # of this daemon, sent to others
    own_weight: float = 0.0  # decayed seconds that the own counts stand for
    view: dict[Key, Counts] = attrs.field(factory=dict)  # sums of the counts of daemons
    view_served: dict[int, float] = attrs.field(factory=dict)  # requests in time, by resource
    view_weight: float = 0.0
    view_digests: float = 0.0  # decayed number of daemons' counts in the view
    limits: dict[int, Limit] = attrs.field(factory=dict)  # by resource
    announced: dict[int, Limit] = attrs.field(factory=dict)  # limits of others, no own yet
    mean_rates: dict[int, float] = attrs.field(factory=dict)  # in time, without a limit
    usual_rates: dict[int, float] = attrs.field(factory=dict)  # the highest of these
    credits: dict[Key, float] = attrs.field(factory=dict)
    baselines: dict[str, float] = attrs.field(factory=dict)  # uncongested latency by route
    round_at: float = 0.0
    digests_left: int = MAX_DIGESTS_PER_ROUND

    def record(self, resource: int, priority: int) -> Counts:
        """Return the own counts of a resource and priority, to be raised."""
        key = resource, priority
        counts = self.own.get(key)
        if counts is None:
            counts = self.own[key] = Counts()
        return counts

    def advance(self, elapsed_s: float, daemons: int) -> None:
        """Let the counts decay, and add the own ones to the view."""
        own_factor = 0.5 ** (elapsed_s / OWN_HALF_LIFE_S)
        self.own_weight = self.own_weight * own_factor + elapsed_s
        view_factor = 0.5 ** (elapsed_s / VIEW_HALF_LIFE_S)
        self.view_weight *= view_factor
        self.view_served = {
            resource: served * view_factor
            for resource, served in self.view_served.items()
            if served > MIN_COUNT
        }
        self.view_digests *= view_factor
        for group, factor in ((self.own, own_factor), (self.view, view_factor)):
            for counts in group.values():
                counts.scale(factor)
            for key in [key for key, counts in group.items() if max(counts.values()) < MIN_COUNT]:
                del group[key]
        entries = {key: counts.values() for key, counts in self.own.items()}
        self.merge(self.own_weight, entries, 1.0 / min(OWN_SHARE, daemons))
        self._update_usual_rates(elapsed_s)

    def merge(
        self, weight: float, entries: dict[Key, tuple[float, ...]], factor: float = 1.0
    ) -> None:
        """Add the counts of a daemon to the view."""
        self.view_weight += factor * weight
        self.view_digests += factor
        for key, values in entries.items():
            offered, served, failed, tried, queued = values
            resource = key[0]
            self.view_served[resource] = self.view_served.get(resource, 0.0) + factor * served
            # A single daemon at which everything fails must not stand for the fleet.
            cap = min(1.0, MAX_SAMPLE / max(served + failed, MIN_COUNT))
            capped = offered / cap, served, failed, tried, queued
            self.view.setdefault(key, Counts()).add(capped, factor * cap)

    def adopt(self, resource: int, rate: float, now: float) -> None:
        """Approach the limit of another daemon, so that all limits approach their mean."""
        rate = max(MIN_RATE, rate)
        limit = self.limits.get(resource)
        if limit is not None:
            limit.rate = (limit.rate + rate) / 2.0
        elif len(self.announced) < MAX_ANNOUNCED:
            self.announced[resource] = Limit(rate, now, now, now)

    def loads(self) -> dict[int, Load]:
        """Return the load on each resource."""
        grouped: dict[int, dict[int, Counts]] = {}
        for (resource, priority), counts in self.view.items():
            grouped.setdefault(resource, {})[priority] = counts
        return {resource: self._load(resource, group) for resource, group in grouped.items()}

    def _load(self, resource: int, group: dict[int, Counts]) -> Load:
        served = sum(counts.served for counts in group.values())
        failed = sum(counts.failed for counts in group.values())
        tried = sum(counts.tried for counts in group.values())
        queued = sum(counts.queued for counts in group.values())
        weight = max(self.view_weight, ROUND_S)
        return Load(
            offered={priority: counts.offered / weight for priority, counts in group.items()},
            served_rate=self.view_served.get(resource, 0.0) / weight,
            failed_ratio=failed / (served + failed) if failed > MIN_COUNT else 0.0,
            queued_ratio=queued / tried if tried > MIN_COUNT else 0.0,
            failures=failed / max(1.0, self.view_digests),
        )

    def control(self, resource: int, load: Load, daemons: int, now: float) -> str:
        """Update the limit of a resource; return "started", "ended" or ""."""
        limit = self.limits.get(resource)
        distinct = min(self.view_digests, float(daemons))
        has_samples = load.failures * distinct >= min(MIN_FAILURES, MIN_FAILURE_SHARE * distinct)
        if limit is None:
            announced = self.announced.pop(resource, None)
            if announced is not None and now - announced.changed_at <= ANNOUNCED_S:
                if load.overload > AIM_RATIO:
                    self.limits[resource] = self._start(announced.rate, now)
                    self._forget_ended(resource)
                    return "started"
            if load.overload < FAILED_RATIO or not has_samples:
                return ""
            # What was usually served before is the safest guess of what can be served.
            usual_rate = START_FACTOR * self.usual_rates.get(resource, 0.0)
            rate = max(usual_rate, MIN_START_SHARE * load.total_offered)
            self.limits[resource] = self._start(rate, now)
            self._forget_ended(resource)
            return "started"
        if now - limit.changed_at < INCREASE_S:
            return ""
        if load.overload <= AIM_RATIO:
            if now < limit.evidence_from:
                return ""
            limit.changed_at = now
            limit.rate *= (
                1.0
                + MIN_INCREASE
                + (MAX_INCREASE - MIN_INCREASE)
                * min(
                    max(0.0, 1.0 - load.queued_ratio / FULL_QUEUED_RATIO),
                    max(0.0, 1.0 - limit.rate / limit.ceiling) / NEAR_CEILING,
                )
            )
            if limit.rate > END_FACTOR * load.total_offered:
                del self.limits[resource]
                return "ended"
        elif has_samples and now >= limit.decrease_from:
            limit.changed_at = limit.evidence_from = now
            limit.decrease_from = now + DECREASE_S
            excess = min(1.0, (load.overload - AIM_RATIO) / FAILED_RATIO)
            limit.ceiling = limit.rate
            limit.rate = max(MIN_RATE, limit.rate * (1.0 - MAX_DECREASE * excess))
            self._forget_ended(resource)
        return ""

    @staticmethod
    def _start(rate: float, now: float) -> Limit:
        return Limit(rate, now, evidence_from=now + DRAIN_S, decrease_from=now + START_S)

    def _forget_ended(self, resource: int) -> None:
        """Forget what became of requests that were admitted under a higher limit."""
        for group in (self.own, self.view):
            for key, counts in group.items():
                if key[0] == resource:
                    counts.served = counts.failed = counts.tried = counts.queued = 0.0

    def _update_usual_rates(self, elapsed_s: float) -> None:
        weight = min(1.0, elapsed_s / MEAN_RATE_S)
        peak_factor = 0.5 ** (elapsed_s / USUAL_RATE_S)
        for resource, load in self.loads().items():
            if resource not in self.limits and load.overload < AIM_RATIO:
                old = self.mean_rates.get(resource, load.served_rate)
                mean = self.mean_rates[resource] = old + weight * (load.served_rate - old)
                usual_rate = self.usual_rates.get(resource, 0.0)
                self.usual_rates[resource] = max(mean, usual_rate * peak_factor)


def recovery_s(share: float) -> float:
    """Return the time until a limit has grown to the demand, for an admitted share."""
    return (
        INCREASE_S * math.log(1.0 / share) / math.log(1.0 + MAX_INCREASE) if share > 0.0 else 60.0
    )
