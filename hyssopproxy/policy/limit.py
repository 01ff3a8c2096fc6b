"""Concurrency limit of a leaf."""

import attrs

from hyssopproxy.policy import base

SHED_FACTOR = 0.7  # multiplicative decrease at a shed
SLOW_RATIO = 3.0  # latency over its floor at which the leaf queues
SLOW_FACTOR = 0.95
FLOOR_DRIFT = 0.002  # lets the floor follow a leaf that became slower for good
MAX_VALUE = 10_000.0


@attrs.define
class Fixed(base.LimitPolicy):
    """Baseline: the whole share, always."""

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
    """Additive increase while answers stay near the latency floor, else decrease.

    The share caps the value from outside; growth stops where the value is not used.
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
