"""When to send a second request for a shard."""

from hyssopproxy.policy import base

MIN_DELAY_S = 0.002  # a hedge sooner than this cannot beat the first request
STRAGGLER_RATIO = 3.0  # of the median; finds stragglers that are more than the quantile leaves out
INITIAL_DELAY_FRACTION = 0.25  # of the timeout, before there are latencies to go by


class NoHedge(base.HedgePolicy):
    """Baseline: never."""

    name = "none"

    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        return None

    def initial_delay_s(self, timeout_s: float) -> float | None:
        return None


class Quantile(base.HedgePolicy):
    """After a live quantile of the shard's latency ("The Tail at Scale", Dean, Barroso, 2013)."""

    name = "quantile"

    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        return max(MIN_DELAY_S, min(quantile_s, median_s * STRAGGLER_RATIO))

    def initial_delay_s(self, timeout_s: float) -> float | None:
        return INITIAL_DELAY_FRACTION * timeout_s
