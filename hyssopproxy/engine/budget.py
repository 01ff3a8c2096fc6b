"""Extra requests that this daemon may send to a pool.

Answers the load pattern in which hedges and retries of many daemons at once add up to more
arrivals than the targets bear: the fleet's bound on extras is a share of all requests plus a fixed
slack, so each daemon spends that share of its own requests and its part of the slack.
"""

import collections

import attrs

BUCKETS_PER_WINDOW = 10  # of a window
RETRY_RESERVE = 0.1  # part of the allowance that hedges leave to retries of failed requests
SAFETY_FACTOR = 0.9  # part of the allowance in use; daemons and targets count windows differently


@attrs.define
class Budget:
    """A sliding window over first requests and extras of one pool.

    >>> budget = Budget(window_s=10.0)
    >>> for _ in range(100): budget.record_first_attempt(0.0)
    >>> budget.allowance(0.0, ratio=0.2, slack=0.0)
    18.0
    """

    window_s: float
    _buckets: collections.deque = attrs.field(factory=collections.deque)  # [start, firsts, extras]
    first_attempts: int = 0
    extra_attempts: int = 0

    def record_first_attempt(self, now: float) -> None:
        """Take in a request's first attempt."""
        self._current(now)[1] += 1
        self.first_attempts += 1

    def record_extra_attempt(self, now: float) -> None:
        """Take in an attempt beyond the first."""
        self._current(now)[2] += 1
        self.extra_attempts += 1

    def allowance(self, now: float, ratio: float, slack: float) -> float:
        """Return how many extras the window may hold."""
        self._expire(now)
        return SAFETY_FACTOR * (ratio * self.first_attempts + slack)

    def can_send_extra(self, now: float, ratio: float, slack: float, is_hedge: bool) -> bool:
        """Return whether one more extra fits."""
        allowed = self.allowance(now, ratio, slack)
        if is_hedge:
            allowed *= 1.0 - RETRY_RESERVE
        return self.extra_attempts + 1 <= allowed

    def _current(self, now: float) -> list:
        self._expire(now)
        width = self.window_s / BUCKETS_PER_WINDOW
        if not self._buckets or now - self._buckets[-1][0] >= width:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]

    def _expire(self, now: float) -> None:
        horizon = now - self.window_s * (1 + 1 / BUCKETS_PER_WINDOW)
        while self._buckets and self._buckets[0][0] <= horizon:
            _, first_attempts, extra_attempts = self._buckets.popleft()
            self.first_attempts -= first_attempts
            self.extra_attempts -= extra_attempts
