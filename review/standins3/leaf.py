"""Stand-in of a leaf: registers itself, runs requests in slots and tells of its cold start."""

import asyncio
import time
import typing

from review.standins3 import http
from review.standins3 import store as stores

HEARTBEAT_S = 1.2
HEALTH_PATH = "/health"


class Arrival(typing.NamedTuple):
    """A request that reached the leaf."""

    at: float  # monotonic clock
    request_id: str
    is_run: bool
    was_cold: bool


class Leaf:
    """A leaf of one service; keeps its entry in the store as long as it runs."""

    def __init__(
        self,
        store: stores.Store,
        leaf_id: str,
        backend: str,
        zone: str,
        work_s: float = 0.01,
        slots: int = 8,
        record: typing.Callable[[str], None] = lambda text: None,
    ) -> None:
        self.id = leaf_id
        self.backend = backend
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.max_requests = 5 * slots  # running and queued
        self.cold_until = 0.0  # monotonic clock
        self.arrivals: list[Arrival] = []
        self.on_arrival: typing.Callable[[Arrival], None] | None = None
        self.address = ""
        self.has_crashed = False
        self.lost: list[str] = []  # requests that were accepted and lost in a crash
        self.is_draining = False
        self.reaches_store = True
        self._record = record
        self._store = store
        self._in_progress: dict[str, None] = {}
        self._free_slots = asyncio.Semaphore(self.slots)
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._written: dict | None = None  # the entry that was written last
        self._server = http.Server(self._handle)
        self._task: asyncio.Task | None = None

    async def start(self, host: str) -> None:
        """Listen, register and keep the entry current."""
        port = await self._server.start(host, 0)
        self.address = f"{host}:{port}"
        self.write_entry()
        self._task = asyncio.create_task(self._keep_entry())

    def stop(self) -> None:
        """Stop listening and writing."""
        if self._task is not None:
            self._task.cancel()
        self._server.stop()

    def crash(self) -> None:
        """End without a word; what was accepted is lost."""
        self.has_crashed = True
        self.lost += self._in_progress
        self.stop()

    def turn_cold(self, seconds: float) -> None:
        """Become cold for a time; the entry tells of it at once if the store is reached."""
        self.cold_until = time.monotonic() + seconds
        self.write_entry()

    def drain(self) -> None:
        """Report that this leaf is draining; it serves what it still gets."""
        self.is_draining = True
        self.write_entry()

    def leave(self) -> None:
        """End for good; the entry is removed if the store is reached."""
        self.crash()
        if self.reaches_store:
            revision = self._store.remove(f"servers/{self.id}")
            self._record(f"leaf {self.id} has left, entry removed at revision {revision}")

    def is_cold(self) -> bool:
        """Return whether the leaf is cold now."""
        return time.monotonic() < self.cold_until

    def write_entry(self) -> None:
        """Write the entry if it has changed, or if the store has lost it or has an older one."""
        if self._store.is_away or not self.reaches_store:
            return
        state = "draining" if self.is_draining else "ready"
        content = (state, self.is_cold())
        is_changed = self._written is None or content != (
            self._written["state"],
            bool(self._written["warmupLeftMs"]),
        )
        if not is_changed and self._store.read(f"servers/{self.id}") == self._written:
            return
        self._sequence += 1
        self._written = {
            "backend": self.backend,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": state,
            "warmupLeftMs": self._cold_left_ms(),
            "sequence": self._sequence,
            "born": self._born,
        }
        revision = self._store.put(f"servers/{self.id}", self._written)
        self._record(f"leaf {self.id} writes its entry, revision {revision}")

    async def _keep_entry(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def _cold_left_ms(self) -> int:
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    async def _handle(self, request: http.Request) -> http.Response | None:
        if request.target == HEALTH_PATH:
            headers = {"Instance-Id": self.id}
            if self.is_cold():
                headers["Warmup-Remaining"] = str(self._cold_left_ms())
            return http.Response(503 if self.is_draining else 200, headers)
        request_id = request.headers.get("request-id", "")
        stated = {"Request-Id": request_id}
        if self.is_draining:
            stated["Server-Leaving"] = "1"
        if request.headers.get("expected-instance", self.id) != self.id:
            return http.Response(421, {**stated, "Instance-Id": self.id})
        is_full = len(self._in_progress) >= self.max_requests
        arrival = Arrival(time.monotonic(), request_id, not is_full, self.is_cold())
        self.arrivals.append(arrival)
        if is_full:
            return http.Response(503, {**stated, "Not-Executed": "1"})
        self._in_progress[request_id] = None
        if self.on_arrival is not None:
            self.on_arrival(arrival)
        try:
            async with self._free_slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._in_progress.pop(request_id, None)
        if self.has_crashed:
            return None
        if self.is_draining:
            stated["Server-Leaving"] = "1"
        headers = {**stated, "Server-Stamp": f"{self.id}.{request_id}"}
        return http.Response(200, headers, f"{self.backend} {self.id}".encode())
