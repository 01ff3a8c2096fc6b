"""A live quantile in constant memory."""

import attrs

STEP = 0.04  # relative move for one value
MIN_SAMPLES = 20


@attrs.define
class Tracker:
    """Follows one quantile of a stream by relative steps.

    Method: frugal streaming (Ma, Muthukrishnan, Sandler, 2013), with relative steps.

    >>> tracker = Tracker(0.5)
    >>> for value in [1.0, 2.0, 3.0] * 200: tracker.record(value)
    >>> 1.5 < tracker.value < 2.5
    True
    """

    rank: float
    value: float = 0.0
    samples: int = 0

    def record(self, sample: float) -> None:
        """Take in one value above zero."""
        self.samples += 1
        if self.samples <= MIN_SAMPLES:
            self.value = max(self.value, sample)
        elif sample > self.value:
            self.value *= 1.0 + STEP * self.rank
        else:
            self.value *= 1.0 - STEP * (1.0 - self.rank)

    def read(self) -> float | None:
        """Return the quantile, or None before there are enough values."""
        return self.value if self.samples >= MIN_SAMPLES else None


@attrs.define
class Budget:
    """Tokens earned as a part of the ordinary work and spent on extra work."""

    fraction: float
    tokens: float = 0.0
    cap: float = 20.0

    def earn(self, count: int) -> None:
        """Take in ordinary requests."""
        self.tokens = min(self.cap, self.tokens + count * self.fraction)

    def spend(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
