"""Streaming quantiles in constant memory, and token buckets for extra requests."""

import collections

import attrs

WINDOW = 128  # number of newest samples kept
MIN_SAMPLES = 20
REFRESH_INTERVAL = 16  # number of samples between two sorts of the window


@attrs.define
class Tracker:
    """Tracks one quantile and the median over the newest samples of a stream.

    >>> tracker = Tracker(0.9)
    >>> for value in range(100): tracker.record(value)
    >>> tracker.read(), tracker.median
    (86, 48)
    """

    rank: float
    median: float = 0.0
    _value: float = 0.0
    _samples: int = 0
    _window: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )

    def record(self, sample: float) -> None:
        """Record a sample greater than zero."""
        self._window.append(sample)
        self._samples += 1
        if self._samples == MIN_SAMPLES or self._samples % REFRESH_INTERVAL == 0:
            ordered = sorted(self._window)
            self.median = ordered[len(ordered) // 2]
            self._value = ordered[int(len(ordered) * self.rank)]

    def read(self) -> float | None:
        """Return the quantile, or None until there are enough samples."""
        return self._value if self._samples >= MIN_SAMPLES else None


@attrs.define
class Budget:
    """Token bucket that limits extra requests to a fraction of the ordinary ones."""

    fraction: float
    tokens: float = 0.0
    cap: float = 20.0

    def earn(self, count: int) -> None:
        """Add the tokens for `count` ordinary requests."""
        self.tokens = min(self.cap, self.tokens + count * self.fraction)

    def spend(self) -> bool:
        """Take one token for an extra request; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
