"""Budget for extra attempts (hedges and retries) that this daemon may send to a pool.

Handles the case where the hedges and retries of many daemons together overload the targets. The
fleet's limit on extra attempts is a ratio of all requests plus a fixed slack. Each daemon uses at
most that ratio of its own requests plus its share of the slack.
"""

import collections

import attrs

BUCKETS_PER_WINDOW = 10
RETRY_RESERVE = 0.1  # fraction of the allowance that only retries may use, not hedges
# Allowances below this are rounded up at some daemons and down at others. In fleets in which each
# daemon receives less than a request per second, the fraction is most of the allowance.
MAX_ROUNDED = 4.0
ROUNDING_FACTOR = 0.9  # without it, a fleet of 195 daemons used 0.97 of the limit in a replay
SAFETY_FACTOR = 0.9  # fraction of the limit used, as daemons and targets count different windows


@attrs.define
class Budget:
    """A sliding window over the first and extra attempts of one pool.

    >>> budget = Budget(window_s=10.0)
    >>> for _ in range(100): budget.record_first_attempt(0.0)
    >>> budget.allowance(0.0, ratio=0.2, slack=0.0)
    18.0
    """

    window_s: float
    # Oldest first; each is a list of its start, first attempts and extra attempts.
    _buckets: collections.deque = attrs.field(factory=collections.deque)
    first_attempts: int = 0
    extra_attempts: int = 0

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._current_bucket(now)[1] += 1
        self.first_attempts += 1

    def record_extra_attempt(self, now: float) -> None:
        """Count a hedge or retry."""
        self._current_bucket(now)[2] += 1
        self.extra_attempts += 1

    def allowance(self, now: float, ratio: float, slack: float) -> float:
        """Return how many extra attempts are allowed in the window."""
        self._expire(now)
        return SAFETY_FACTOR * (ratio * self.first_attempts + slack)

    def can_send_extra(
        self, now: float, ratio: float, slack: float, is_hedge: bool, offset: float = 0.0
    ) -> bool:
        """Return whether one more extra attempt is allowed.

        `offset`, below 1, is added to a small allowance before its fraction is cut off. The offsets
        of the daemons are spread evenly, so that together they use their allowances and no more.
        """
        allowed = self.allowance(now, ratio, slack)
        if is_hedge:
            allowed *= 1.0 - RETRY_RESERVE
        if offset > 0.0 and allowed < MAX_ROUNDED:
            allowed = max(allowed, ROUNDING_FACTOR * allowed + offset)
        return self.extra_attempts + 1 <= allowed

    def _current_bucket(self, now: float) -> list:
        self._expire(now)
        bucket_s = self.window_s / BUCKETS_PER_WINDOW
        if not self._buckets or now - self._buckets[-1][0] >= bucket_s:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]

    def _expire(self, now: float) -> None:
        horizon = now - self.window_s * (1 + 1 / BUCKETS_PER_WINDOW)
        while self._buckets and self._buckets[0][0] <= horizon:
            _, first_attempts, extra_attempts = self._buckets.popleft()
            self.first_attempts -= first_attempts
            self.extra_attempts -= extra_attempts
