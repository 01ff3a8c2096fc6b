"""Wait policies: when a search stops waiting for shards."""

from hyssopproxy.policy import base

MEDIAN_RATIO = 2.0  # multiple of the median search time after which partial coverage suffices


class WaitAll(base.WaitPolicy):
    """Baseline: waits for every shard, even past the deadline."""

    name = "wait_all"
    enforces_deadline = False

    def is_enough(
        self, coverage: float, enough_coverage: float, elapsed_s: float, median_s: float
    ) -> bool:
        return False


class CoverageFirst(base.WaitPolicy):
    """Waits for every shard until the deadline."""

    name = "coverage_first"

    def is_enough(
        self, coverage: float, enough_coverage: float, elapsed_s: float, median_s: float
    ) -> bool:
        return False


class LatencyFirst(base.WaitPolicy):
    """Answers once coverage is sufficient and twice the median search time has passed."""

    name = "latency_first"

    def is_enough(
        self, coverage: float, enough_coverage: float, elapsed_s: float, median_s: float
    ) -> bool:
        return coverage >= enough_coverage and elapsed_s >= MEDIAN_RATIO * median_s

    def recheck_after_s(self, median_s: float) -> float | None:
        return MEDIAN_RATIO * median_s
