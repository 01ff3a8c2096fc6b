"""Emulated target: leaves behind one address, with a ledger of what it received and ran."""

import asyncio
import collections
import random
import sys
import time
import zlib

import attrs
import defopt
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from hyssopproxy import wire
from hyssopproxy.emulator import http
from hyssopproxy.emulator import leaf as leaves

HITS_PER_SHARD = 5
SEARCHES_DECODER = msgspec.json.Decoder(list[wire.SubSearch])


def leaf_index(shard: str, count: int) -> int:
    """Return the index of the leaf that serves a shard."""
    return zlib.crc32(shard.encode()) % count


def make_hits(snapshot: str, shard: str, limit: int) -> list[wire.Hit]:
    """Return the hits of a shard, identical on all replicas.

    >>> make_hits("v1", "s0", 1)[0].id
    'v1:s0:0'
    """
    score_offset = zlib.crc32(shard.encode()) % 1000
    return [
        wire.Hit(f"{snapshot}:{shard}:{number}", round(1000 - score_offset / 1000 - number, 3))
        for number in range(min(limit, HITS_PER_SHARD))
    ]


class Ledger:
    """Counts what the target received, ran and answered."""

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()
        self.actions: collections.Counter = collections.Counter()  # runs by idempotency key
        self.by_second: collections.Counter = collections.Counter()
        self.last_received_at = 0.0

    def record_received(self, count: int) -> None:
        """Record `count` received sub-searches or actions."""
        self.counts["received"] += count
        self.last_received_at = time.time()
        self.by_second[str(int(self.last_received_at))] += count


class Backend:
    """HTTP interface of the emulated target."""

    def __init__(self, leaf_count: int, starts_cold: bool, seed: int, connect_ms: float) -> None:
        self.behaviour = leaves.Behaviour()
        self.ledger = Ledger()
        self.cold_start = leaves.ColdStart(self.behaviour, leaf_count)
        self.in_flight = {"now": 0, "most": 0}
        self._rng = random.Random(seed)
        self._leaves = [
            leaves.Leaf(self.behaviour, self.cold_start, self._rng, self.in_flight)
            for _ in range(leaf_count)
        ]
        self._work: dict[str, tuple[leaves.Leaf, leaves.Work]] = {}
        self._connections: set = set()
        self._connect_s = connect_ms / 1000
        if starts_cold:
            self.cold_start.start()

    def app(self) -> starlette.applications.Starlette:
        """Return the application; only the emulator has /control, real targets do not."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/v1/search", self._search, methods=["POST"]),
                route("/v1/actions", self._run_action, methods=["POST"]),
                route("/v1/cancel", self._cancel, methods=["POST"]),
                route("/v1/status", self._status),
                route("/control", self._control, methods=["POST"]),
                route("/control", self._report),
            ]
        )

    def _headers(self) -> dict[str, str]:
        state = self.behaviour.state
        if self.cold_start.max_in_flight() is not None and not self.behaviour.silent:
            state = "cold"
        return {"Target-State": state}

    def _record_connection(self, request: starlette.requests.Request) -> None:
        if request.client in self._connections:
            return
        self._connections.add(request.client)
        self.ledger.counts["connections"] += 1
        time.sleep(self._connect_s)  # cost of a new connection for the target

    async def _search(self, request: starlette.requests.Request) -> starlette.responses.Response:
        self._record_connection(request)
        searches = SEARCHES_DECODER.decode(await request.body())
        self.ledger.counts["requests"] += 1
        self.ledger.record_received(len(searches))
        flush_s = int(request.headers.get("flush-interval-ms", "0")) / 1000
        return starlette.responses.StreamingResponse(
            self._stream_lines(searches, flush_s),
            media_type="application/x-ndjson",
            headers=self._headers(),
        )

    async def _stream_lines(self, searches: list[wire.SubSearch], flush_s: float):
        lines: list[bytes] = []
        ready = asyncio.Event()
        remaining = len(searches)
        for search in searches:
            self._start_search(search, lines, ready)
        while remaining:
            await ready.wait()
            if flush_s and len(lines) < remaining:
                await asyncio.sleep(flush_s)
            ready.clear()
            remaining -= len(lines)
            chunk = b"".join(lines)
            lines.clear()
            yield chunk

    def _start_search(
        self, search: wire.SubSearch, lines: list[bytes], ready: asyncio.Event
    ) -> None:
        def finish(error: str) -> None:
            self._work.pop(search.request_id, None)
            self.ledger.counts[error or "answered"] += 1
            lines.append(self._encode_line(search, error))
            ready.set()

        error = self._refusal_error(search)
        if error:
            finish(error)
            return
        leaf = self._leaves[leaf_index(search.shard, len(self._leaves))]
        deadline = time.monotonic() + search.timeout_ms / 1000
        work = leaves.Work(deadline, finish)
        self._work[search.request_id] = (leaf, work)
        self.ledger.counts["ran"] += 1
        leaf.submit(work)

    def _refusal_error(self, search: wire.SubSearch) -> str:
        behaviour = self.behaviour
        if behaviour.state == "draining":
            return "draining"
        if behaviour.snapshots is not None and search.snapshot not in behaviour.snapshots:
            return "snapshot_gone"
        if behaviour.shards is not None and search.shard not in behaviour.shards:
            return "unknown_shard"
        return "shed" if self._rng.random() < behaviour.shed_rate else ""

    def _encode_line(self, search: wire.SubSearch, error: str) -> bytes:
        if error:
            line = wire.Line(search.request_id, search.shard, error=error, execution="not_run")
            return msgspec.json.encode(line) + b"\n"
        hits = make_hits(search.snapshot, search.shard, search.limit)
        line = wire.Line(search.request_id, search.shard, search.snapshot, True, hits)
        garble = self.behaviour.garble
        if garble and self._rng.random() < self.behaviour.garble_rate:
            return _garble(line, garble)
        return msgspec.json.encode(line) + b"\n"

    async def _run_action(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        self._record_connection(request)
        body = await http.read_json(request)
        key = request.headers.get("idempotency-key", "")
        self.ledger.record_received(1)
        headers = {**self._headers(), "Idempotency-Key": key}
        is_shed = self._rng.random() < self.behaviour.shed_rate
        if is_shed or self.behaviour.state == "draining":
            response = http.respond({"execution": "not_run"}, 503)
            response.headers.update(headers)
            return response
        self.ledger.actions[key] += 1
        await asyncio.sleep(self.behaviour.action_ms / 1000)
        response = http.respond({"done": body.get("action"), "key": key})
        response.headers.update(headers)
        return response

    async def _cancel(self, request: starlette.requests.Request) -> starlette.responses.Response:
        for item in await http.read_json(request):
            entry = self._work.get(item["request_id"])
            if entry is not None:
                self.ledger.counts["cancelled"] += 1
                entry[0].cancel(entry[1])
        return http.respond({})

    async def _status(self, request: starlette.requests.Request) -> starlette.responses.Response:
        response = http.respond({"in_flight": self.in_flight["now"]})
        response.headers.update(self._headers())
        if self.behaviour.report:
            response.headers["Target-State"] = self.behaviour.report
        return response

    async def _control(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Set fields of `Behaviour`; {"cold": true} starts a cold start."""
        settings = await http.read_json(request)
        if settings.pop("cold", False):
            self.cold_start.start()
        known_names = {field.name for field in attrs.fields(leaves.Behaviour)}
        for name, value in settings.items():
            if name not in known_names:
                return http.respond({"unknown": name}, 400)
            setattr(self.behaviour, name, tuple(value) if isinstance(value, list) else value)
        return http.respond({})

    async def _report(self, request: starlette.requests.Request) -> starlette.responses.Response:
        return http.respond(
            {
                "counts": self.ledger.counts,
                "actions": self.ledger.actions,
                "by_second": self.ledger.by_second,
                "last_received_at": self.ledger.last_received_at,
                "most_in_flight": self.in_flight["most"],
                "cold_excess": self.cold_start.excess,
                "is_cold": self.cold_start.max_in_flight() is not None,
            }
        )


def _garble(line: wire.Line, kind: str) -> bytes:
    if kind == "id":
        line.request_id += "x"
    elif kind == "shard":
        line.shard += "x"
    elif kind == "snapshot":
        line.snapshot += "x"
    elif kind == "partial":
        line.complete = False
    blob = msgspec.json.encode(line)
    if kind == "json":
        return b"{" + blob + b"\n"
    if kind == "cut":
        return blob[: len(blob) // 2]
    return blob + b"\n"


def run(
    *,
    listen: str,
    leaf_count: int = 1,
    slots: int = 2,
    service_ms: float = 4.0,
    connect_ms: float = 0.0,
    connections: int = 1000,
    cold: bool = False,
    seed: int = 1,
) -> None:
    """Serve an emulated target.

    :param listen: IP:PORT
    :param leaf_count: number of leaves behind the address
    :param slots: number of sub-searches that a leaf runs concurrently
    :param service_ms: mean service time of a sub-search, without stragglers
    :param connect_ms: time that accepting a new connection takes
    :param connections: maximum number of connections to the target
    :param cold: begin with a cold start
    :param seed: seed of the random generator
    """
    backend = Backend(leaf_count, cold, seed, connect_ms)
    backend.behaviour.slots = slots
    backend.behaviour.service_ms = service_ms
    http.serve(backend.app(), listen, connections)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
