"""One process of a daemon, from its start to its end, and whether that end was ordered."""

import asyncio
import collections
import contextlib
import os
import signal

import attrs
import msgspec

TAIL_LINES = 12
STARTED = "started"


@attrs.define
class Life:
    """Record of a process."""

    host: str
    pid: int
    started_at: float
    signals: list[tuple[float, int]] = attrs.field(factory=list)  # seconds since the start, number
    events: set[str] = attrs.field(factory=set)  # of its log
    tail: collections.deque = attrs.field(factory=lambda: collections.deque(maxlen=TAIL_LINES))
    peak_kib: int = 0
    peak_descriptors: int = 0
    cpu_s: float = 0.0
    overran: bool = False  # it had to be killed after its grace
    pidfd: int | None = None
    status: int | None = None
    lasted_s: float = 0.0

    def open(self) -> None:
        """Take a handle on the process, which must run: its id may be used again after its end."""
        self.pidfd = os.pidfd_open(self.pid)

    def send(self, number: signal.Signals, now: float) -> bool:
        """Send a signal, whatever the process does; return False if it has ended.

        `Process.send_signal` of asyncio would take the exit status from the one who waits for it.
        """
        if self.pidfd is None:
            return False
        try:
            signal.pidfd_send_signal(self.pidfd, number)
        except ProcessLookupError:
            return False
        self.signals.append((now - self.started_at, number))
        return True

    async def read_log(self, stream: asyncio.StreamReader) -> None:
        """Keep the end of the log."""
        async for line in stream:
            self.add_line(line)

    def add_line(self, line: bytes) -> None:
        """Note a line of the log, or of a traceback."""
        try:
            self.events.add(msgspec.json.decode(line)["event"])
        except (msgspec.MsgspecError, LookupError, TypeError):
            self.events.add("unstructured")
        self.tail.append(line.decode(errors="replace").rstrip())

    def sample(self) -> None:
        """Note what the process uses now."""
        with contextlib.suppress(OSError):
            with open(f"/proc/{self.pid}/status") as file:
                fields = dict(line.split(":", 1) for line in file)
            self.peak_kib = max(self.peak_kib, int(fields.get("VmHWM", "0").split()[0]))
            with open(f"/proc/{self.pid}/schedstat") as file:
                self.cpu_s = int(file.read().split()[0]) / 1e9
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def end(self, status: int, now: float) -> None:
        """Note the end of the process."""
        self.status = status
        self.lasted_s = now - self.started_at
        if self.pidfd is not None:
            os.close(self.pidfd)
            self.pidfd = None

    def phase(self) -> str:
        """Return what the process was doing when it ended."""
        is_started = STARTED in self.events
        if any(number == signal.SIGTERM for _, number in self.signals):
            return "stopping" if is_started else "stopping while it started"
        return "serving" if is_started else "starting"

    def judge(self) -> str:
        """Return what is wrong with the end of the process, or "" if it was ordered and clean."""
        numbers = {number for _, number in self.signals}
        if self.status is None:
            return "has not ended"
        is_killed = self.status == -signal.SIGKILL and signal.SIGKILL in numbers
        if is_killed and self.overran and signal.SIGSTOP not in numbers:  # it was not frozen
            return "did not stop within its grace"
        if self.status == 0:
            return "" if signal.SIGTERM in numbers else "ended by itself"
        return "" if is_killed else f"ended with status {self.status}"

    def describe(self) -> str:
        """Return the fault with its circumstances, as indented lines."""
        signals = [f"{signal.Signals(number).name} {at:.3f}" for at, number in self.signals]
        lines = [
            f"  {self.host} pid {self.pid}: {self.judge()} while {self.phase()}, after"
            f" {self.lasted_s:.3f} s; signals: {', '.join(signals) or 'none'};"
            f" peak {self.peak_kib / 1024:.0f} MiB, {self.peak_descriptors} descriptors; log:"
        ]
        return "\n    ".join([*lines, *self.tail])
