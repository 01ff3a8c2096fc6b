"""A leaf of the target stand-in: slots, a queue and a cold start."""

import asyncio
import collections
import random
import time
import typing

import attrs

COLD_SLOWDOWN = 5.0  # of work over what a cold target bears


@attrs.define
class Behaviour:
    """How a target stand-in behaves; changed while it runs."""

    slots: int = 2
    service_ms: float = 4.0
    spread: float = 0.3  # of the service time, plus and minus
    straggler_rate: float = 0.0
    straggler_factor: float = 20.0
    queue: int = 64  # waiting at a leaf before it sheds
    state: str = "warm"  # what the header says
    silent: bool = False  # says warm also when cold
    report: str = ""  # what the status call says instead; a report that lies
    cold_after_ms: tuple[int, ...] = (0, 500, 1500, 3000)
    cold_percent: tuple[int, ...] = (10, 25, 50, 100)
    snapshots: tuple[str, ...] | None = None  # served; None for all
    shards: tuple[str, ...] | None = None
    garble: str = ""  # id, shard, snapshot, cut, json, partial
    garble_rate: float = 1.0
    shed_rate: float = 0.0
    action_ms: float = 5.0


@attrs.define(eq=False)
class Work:
    """One sub-search at a leaf."""

    deadline: float
    done: typing.Callable[[str], None]  # gets "" or an error
    began: bool = False
    timer: asyncio.TimerHandle | None = None


class Cold:
    """The cold start of a target; too much work starts it anew."""

    def __init__(self, behaviour: Behaviour, leaves: int) -> None:
        self._behaviour = behaviour
        self._leaves = leaves
        self.since: float | None = None
        self.excess = 0  # most work in flight over what it bore

    def start(self) -> None:
        """Turn cold now."""
        self.since = time.monotonic()

    def allowed(self) -> int | None:
        """Return the work it bears now, or None when warm."""
        if self.since is None:
            return None
        age_ms = (time.monotonic() - self.since) * 1000
        behaviour = self._behaviour
        if age_ms >= behaviour.cold_after_ms[-1]:
            self.since = None
            return None
        steps = zip(behaviour.cold_after_ms, behaviour.cold_percent, strict=True)
        percent = max(percent for after, percent in steps if age_ms >= after)
        return max(1, percent * behaviour.slots * self._leaves // 100)

    def note(self, in_flight: int) -> bool:
        """Take in work; return whether it is too much."""
        allowed = self.allowed()
        if allowed is None or in_flight <= allowed:
            return False
        self.excess = max(self.excess, in_flight - allowed)
        self.start()
        return True


class Leaf:
    """Runs work in its slots, first come, first served."""

    def __init__(self, behaviour: Behaviour, cold: Cold, rng: random.Random, flight) -> None:
        self._behaviour = behaviour
        self._cold = cold
        self._rng = rng
        self._flight = flight  # in flight at the whole target
        self._running = 0
        self._queue: collections.deque[Work] = collections.deque()

    def submit(self, work: Work) -> None:
        """Run the work, queue it or shed it."""
        if len(self._queue) >= self._behaviour.queue:
            work.done("shed")
            return
        self._flight["now"] += 1
        self._flight["most"] = max(self._flight["most"], self._flight["now"])
        if self._running < self._behaviour.slots:
            self._start(work)
        else:
            self._queue.append(work)

    def cancel(self, work: Work) -> None:
        """Drop work that nobody waits for."""
        if work in self._queue:
            self._queue.remove(work)
            self._flight["now"] -= 1
            work.done("expired")
        elif work.timer is not None:
            work.timer.cancel()
            self._end(work, "expired")

    def _start(self, work: Work) -> None:
        self._running += 1
        work.began = True
        seconds = self._behaviour.service_ms / 1000
        seconds *= 1.0 + self._behaviour.spread * (2.0 * self._rng.random() - 1.0)
        if self._rng.random() < self._behaviour.straggler_rate:
            seconds *= self._behaviour.straggler_factor
        if self._cold.note(self._flight["now"]):
            seconds *= COLD_SLOWDOWN
        loop = asyncio.get_running_loop()
        work.timer = loop.call_later(seconds, self._end, work, "")

    def _end(self, work: Work, error: str) -> None:
        work.timer = None
        self._running -= 1
        self._flight["now"] -= 1
        work.done(error)
        while self._queue and self._running < self._behaviour.slots:
            waiting = self._queue.popleft()
            if time.monotonic() >= waiting.deadline:
                self._flight["now"] -= 1
                waiting.done("expired")
            else:
                self._start(waiting)
