"""Monotonic clock that all time-dependent decisions use."""

import time


def read() -> float:
    """Return monotonic seconds, including the time that the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
