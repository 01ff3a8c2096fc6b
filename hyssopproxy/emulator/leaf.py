"""Leaf of the emulated target, with slots, a queue and a cold start."""

import asyncio
import collections
import random
import time
import typing

import attrs

COLD_SLOWDOWN = 5.0  # factor on service times while a cold target is overloaded


@attrs.define
class Behaviour:
    """Behaviour of an emulated target; may be changed while it runs."""

    slots: int = 2
    service_ms: float = 4.0  # mean service time of a sub-search, without stragglers
    spread: float = 0.3  # maximum relative deviation of the service time (uniformly distributed)
    straggler_rate: float = 0.0
    straggler_factor: float = 20.0
    queue: int = 64  # queue length at which a leaf sheds
    state: str = "warm"  # value of the Target-State header when not cold
    silent: bool = False  # reports `state` even while cold
    report: str = ""  # false state that the status call reports instead
    cold_after_ms: tuple[int, ...] = (0, 500, 1500, 3000)  # start of each step of a cold start
    cold_percent: tuple[int, ...] = (
        10,
        25,
        50,
        100,
    )  # limit of work in flight in each step, of all slots
    snapshots: tuple[str, ...] | None = None  # snapshots served; None for all
    shards: tuple[str, ...] | None = None
    garble: str = ""  # kind of fault in result lines: id, shard, snapshot, cut, json, partial
    garble_rate: float = 1.0
    shed_rate: float = 0.0
    action_ms: float = 5.0


@attrs.define(eq=False)
class Work:
    """A sub-search that a leaf queues or runs."""

    deadline: float
    on_done: typing.Callable[[str], None]  # called with an error, or "" for success
    is_started: bool = False
    timer: asyncio.TimerHandle | None = None


class ColdStart:
    """Cold start of a target; overload restarts it."""

    def __init__(self, behaviour: Behaviour, leaf_count: int) -> None:
        self._behaviour = behaviour
        self._leaf_count = leaf_count
        self.started_at: float | None = None
        self.excess = 0  # highest excess of sub-searches in flight over the limit

    def start(self) -> None:
        """Begin a cold start now."""
        self.started_at = time.monotonic()

    def max_in_flight(self) -> int | None:
        """Return how many sub-searches may be in flight now, or None when warm."""
        if self.started_at is None:
            return None
        age_ms = (time.monotonic() - self.started_at) * 1000
        behaviour = self._behaviour
        if age_ms >= behaviour.cold_after_ms[-1]:
            self.started_at = None
            return None
        steps = zip(behaviour.cold_after_ms, behaviour.cold_percent, strict=True)
        percent = max(percent for after, percent in steps if age_ms >= after)
        return max(1, percent * behaviour.slots * self._leaf_count // 100)

    def record_in_flight(self, in_flight: int) -> bool:
        """Return whether `in_flight` overloads the target; if so, restart the cold start."""
        max_in_flight = self.max_in_flight()
        if max_in_flight is None or in_flight <= max_in_flight:
            return False
        self.excess = max(self.excess, in_flight - max_in_flight)
        self.start()
        return True


class Leaf:
    """Runs work in a fixed number of slots, in order of arrival."""

    def __init__(
        self, behaviour: Behaviour, cold_start: ColdStart, rng: random.Random, in_flight
    ) -> None:
        self._behaviour = behaviour
        self._cold_start = cold_start
        self._rng = rng
        self._in_flight = in_flight  # shared by all leaves of the target
        self._running = 0
        self._queue: collections.deque[Work] = collections.deque()

    def submit(self, work: Work) -> None:
        """Run the work, queue it or shed it."""
        if len(self._queue) >= self._behaviour.queue:
            work.on_done("shed")
            return
        self._in_flight["now"] += 1
        self._in_flight["most"] = max(self._in_flight["most"], self._in_flight["now"])
        if self._running < self._behaviour.slots:
            self._start(work)
        else:
            self._queue.append(work)

    def cancel(self, work: Work) -> None:
        """Drop queued or running work whose result is no longer needed."""
        if work in self._queue:
            self._queue.remove(work)
            self._in_flight["now"] -= 1
            work.on_done("expired")
        elif work.timer is not None:
            work.timer.cancel()
            self._finish(work, "expired")

    def _start(self, work: Work) -> None:
        self._running += 1
        work.is_started = True
        service_s = self._behaviour.service_ms / 1000
        service_s *= 1.0 + self._behaviour.spread * (2.0 * self._rng.random() - 1.0)
        if self._rng.random() < self._behaviour.straggler_rate:
            service_s *= self._behaviour.straggler_factor
        if self._cold_start.record_in_flight(self._in_flight["now"]):
            service_s *= COLD_SLOWDOWN
        loop = asyncio.get_running_loop()
        work.timer = loop.call_later(service_s, self._finish, work, "")

    def _finish(self, work: Work, error: str) -> None:
        work.timer = None
        self._running -= 1
        self._in_flight["now"] -= 1
        work.on_done(error)
        while self._queue and self._running < self._behaviour.slots:
            queued = self._queue.popleft()
            if time.monotonic() >= queued.deadline:
                self._in_flight["now"] -= 1
                queued.on_done("expired")
            else:
                self._start(queued)
