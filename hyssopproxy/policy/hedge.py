"""When to send a second request for a shard."""

from hyssopproxy.policy import base

MIN_DELAY_S = 0.002  # a hedge sooner than this cannot beat the first request
MARGIN = 1.25  # keeps ordinary jitter around the quantile from hedging


class NoHedge(base.HedgePolicy):
    """Baseline: never."""

    name = "none"

    def delay_s(self, shard_quantile_s: float | None) -> float | None:
        return None


class Quantile(base.HedgePolicy):
    """After a live quantile of the shard's latency ("The Tail at Scale", Dean, Barroso, 2013)."""

    name = "quantile"

    def delay_s(self, shard_quantile_s: float | None) -> float | None:
        if shard_quantile_s is None:
            return None
        return max(MIN_DELAY_S, shard_quantile_s * MARGIN)
