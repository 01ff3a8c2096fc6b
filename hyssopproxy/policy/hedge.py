"""Hedge policies: when to send a second request for a shard."""

from hyssopproxy.policy import base

MIN_DELAY_S = 0.002  # a hedge sent earlier cannot overtake the first request
# A request slower than this multiple of the median is hedged. This also covers the case where there
# are so many stragglers that they raise the quantile.
STRAGGLER_RATIO = 3.0
INITIAL_DELAY_FRACTION = 0.25  # delay as a fraction of the timeout while latencies are unknown


class NoHedge(base.HedgePolicy):
    """Baseline: never hedges."""

    name = "none"

    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        return None

    def initial_delay_s(self, timeout_s: float) -> float | None:
        return None


class Quantile(base.HedgePolicy):
    """Hedges after a quantile of the shard's recent latency.

    See "The Tail at Scale", Dean, Barroso, 2013.
    """

    name = "quantile"

    def delay_s(self, quantile_s: float, median_s: float) -> float | None:
        return max(MIN_DELAY_S, min(quantile_s, median_s * STRAGGLER_RATIO))

    def initial_delay_s(self, timeout_s: float) -> float | None:
        return INITIAL_DELAY_FRACTION * timeout_s
