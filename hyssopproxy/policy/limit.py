"""Limit policies: how many sub-searches may be in flight at a leaf."""

import attrs

from hyssopproxy.policy import base

SHED_FACTOR = 0.7  # multiplicative decrease when the target sheds a request
SLOW_RATIO = 3.0  # ratio of latency to floor above which the leaf is assumed to queue requests
SLOW_FACTOR = 0.95  # multiplicative decrease when the leaf queues requests
FLOOR_DRIFT = 0.002  # weight of the newest latency; lets the floor follow a permanent slowdown
MAX_VALUE = 10_000.0


@attrs.define
class Fixed(base.LimitPolicy):
    """Baseline: always allows the whole share."""

    name = "fixed"
    value: float = MAX_VALUE

    def record_answer(self, latency_s: float, in_flight: int) -> None:
        return

    def record_shed(self) -> None:
        return

    def reset(self) -> None:
        return


@attrs.define
class Adaptive(base.LimitPolicy):
    """Increases the limit additively while latency stays near its floor, else decreases it.

    The limit does not grow while it is not reached. `target.permits` also caps it at this
    daemon's share.
    """

    name = "adaptive"
    value: float = 4.0
    floor_s: float = 0.0

    def record_answer(self, latency_s: float, in_flight: int) -> None:
        if self.floor_s == 0.0 or latency_s < self.floor_s:
            self.floor_s = latency_s
        else:
            self.floor_s += (latency_s - self.floor_s) * FLOOR_DRIFT
        if latency_s > SLOW_RATIO * self.floor_s and in_flight >= self.value:
            self.value = max(1.0, self.value * SLOW_FACTOR)
        elif in_flight >= int(self.value):
            self.value = min(MAX_VALUE, self.value + 1.0 / self.value)

    def record_shed(self) -> None:
        self.value = max(1.0, self.value * SHED_FACTOR)

    def reset(self) -> None:
        self.value = 1.0
