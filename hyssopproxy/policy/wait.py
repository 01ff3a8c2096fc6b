"""When a search stops waiting for shards."""

from hyssopproxy.policy import base

PATIENCE = 2.0  # times the usual time of a search before latency goes before coverage


class WaitAll(base.WaitPolicy):
    """Baseline: wait for every shard, also past the deadline."""

    name = "wait_all"
    enforces_deadline = False

    def is_enough(self, coverage: float, enough: float, elapsed_s: float, median_s: float) -> bool:
        return False


class CoverageFirst(base.WaitPolicy):
    """Wait for every shard until the deadline."""

    name = "coverage_first"

    def is_enough(self, coverage: float, enough: float, elapsed_s: float, median_s: float) -> bool:
        return False


class LatencyFirst(base.WaitPolicy):
    """Answer with enough coverage once the usual time has passed twice."""

    name = "latency_first"

    def is_enough(self, coverage: float, enough: float, elapsed_s: float, median_s: float) -> bool:
        return coverage >= enough and elapsed_s >= PATIENCE * median_s

    def recheck_after_s(self, median_s: float) -> float | None:
        return PATIENCE * median_s
