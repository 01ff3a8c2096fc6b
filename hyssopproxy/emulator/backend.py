"""Stand-in for a target: leaves behind one address, with a ledger of all it received and ran."""

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

HITS = 5  # of each shard
SEARCHES = msgspec.json.Decoder(list[wire.SubSearch])


def leaf_index(shard: str, count: int) -> int:
    """Return the leaf that serves a shard."""
    return zlib.crc32(shard.encode()) % count


def make_hits(snapshot: str, shard: str, limit: int) -> list[wire.Hit]:
    """Return the hits of a shard, alike at all replicas.

    >>> make_hits("v1", "s0", 1)[0].id
    'v1:s0:0'
    """
    base = zlib.crc32(shard.encode()) % 1000
    return [
        wire.Hit(f"{snapshot}:{shard}:{number}", round(1000 - base / 1000 - number, 3))
        for number in range(min(limit, HITS))
    ]


class Ledger:
    """What the target received, ran and answered."""

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()
        self.actions: collections.Counter = collections.Counter()  # runs by key
        self.by_second: collections.Counter = collections.Counter()
        self.last_received_at = 0.0

    def receive(self, count: int) -> None:
        """Take in sub-searches or an action."""
        self.counts["received"] += count
        self.last_received_at = time.time()
        self.by_second[str(int(self.last_received_at))] += count


class Backend:
    """The target's HTTP side."""

    def __init__(self, leaf_count: int, cold: bool, seed: int, connect_ms: float) -> None:
        self.behaviour = leaves.Behaviour()
        self.ledger = Ledger()
        self.cold = leaves.Cold(self.behaviour, leaf_count)
        self.flight = {"now": 0, "most": 0}
        self._rng = random.Random(seed)
        self._leaves = [
            leaves.Leaf(self.behaviour, self.cold, self._rng, self.flight)
            for _ in range(leaf_count)
        ]
        self._work: dict[str, tuple[leaves.Leaf, leaves.Work]] = {}
        self._connections: set = set()
        self._connect_s = connect_ms / 1000
        if cold:
            self.cold.start()

    def app(self) -> starlette.applications.Starlette:
        """Return the application; /control is the stand-in's own."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/v1/search", self._search, methods=["POST"]),
                route("/v1/actions", self._act, methods=["POST"]),
                route("/v1/cancel", self._cancel, methods=["POST"]),
                route("/v1/status", self._status),
                route("/control", self._control, methods=["POST"]),
                route("/control", self._report),
            ]
        )

    def _headers(self) -> dict[str, str]:
        state = self.behaviour.state
        if self.cold.allowed() is not None and not self.behaviour.silent:
            state = "cold"
        return {"Target-State": state}

    def _note_connection(self, request: starlette.requests.Request) -> None:
        if request.client in self._connections:
            return
        self._connections.add(request.client)
        self.ledger.counts["connections"] += 1
        time.sleep(self._connect_s)  # what a new connection costs the target

    async def _search(self, request: starlette.requests.Request) -> starlette.responses.Response:
        self._note_connection(request)
        searches = SEARCHES.decode(await request.body())
        self.ledger.counts["requests"] += 1
        self.ledger.receive(len(searches))
        flush_s = int(request.headers.get("flush-interval-ms", "0")) / 1000
        return starlette.responses.StreamingResponse(
            self._answer(searches, flush_s),
            media_type="application/x-ndjson",
            headers=self._headers(),
        )

    async def _answer(self, searches: list[wire.SubSearch], flush_s: float):
        lines: list[bytes] = []
        ready = asyncio.Event()
        left = len(searches)
        for search in searches:
            self._begin(search, lines, ready)
        while left:
            await ready.wait()
            if flush_s and len(lines) < left:
                await asyncio.sleep(flush_s)
            ready.clear()
            left -= len(lines)
            piece = b"".join(lines)
            lines.clear()
            yield piece

    def _begin(self, search: wire.SubSearch, lines: list[bytes], ready: asyncio.Event) -> None:
        def done(error: str) -> None:
            self._work.pop(search.request_id, None)
            self.ledger.counts[error or "answered"] += 1
            lines.append(self._line(search, error))
            ready.set()

        error = self._refuse(search)
        if error:
            done(error)
            return
        place = self._leaves[leaf_index(search.shard, len(self._leaves))]
        deadline = time.monotonic() + search.timeout_ms / 1000
        work = leaves.Work(deadline, done)
        self._work[search.request_id] = (place, work)
        self.ledger.counts["ran"] += 1
        place.submit(work)

    def _refuse(self, search: wire.SubSearch) -> str:
        behaviour = self.behaviour
        if behaviour.state == "draining":
            return "draining"
        if behaviour.snapshots is not None and search.snapshot not in behaviour.snapshots:
            return "snapshot_gone"
        if behaviour.shards is not None and search.shard not in behaviour.shards:
            return "unknown_shard"
        return "shed" if self._rng.random() < behaviour.shed_rate else ""

    def _line(self, search: wire.SubSearch, error: str) -> bytes:
        if error:
            line = wire.Line(search.request_id, search.shard, error=error, execution="not_run")
            return msgspec.json.encode(line) + b"\n"
        hits = make_hits(search.snapshot, search.shard, search.limit)
        line = wire.Line(search.request_id, search.shard, search.snapshot, True, hits)
        garble = self.behaviour.garble
        if garble and self._rng.random() < self.behaviour.garble_rate:
            return _garble(line, garble)
        return msgspec.json.encode(line) + b"\n"

    async def _act(self, request: starlette.requests.Request) -> starlette.responses.Response:
        self._note_connection(request)
        body = await http.read_json(request)
        key = request.headers.get("idempotency-key", "")
        self.ledger.receive(1)
        headers = {**self._headers(), "Idempotency-Key": key}
        shed = self._rng.random() < self.behaviour.shed_rate
        if shed or self.behaviour.state == "draining":
            answer = http.respond({"execution": "not_run"}, 503)
            answer.headers.update(headers)
            return answer
        self.ledger.actions[key] += 1
        await asyncio.sleep(self.behaviour.action_ms / 1000)
        answer = http.respond({"done": body.get("action"), "key": key})
        answer.headers.update(headers)
        return answer

    async def _cancel(self, request: starlette.requests.Request) -> starlette.responses.Response:
        for item in await http.read_json(request):
            found = self._work.get(item["request_id"])
            if found is not None:
                self.ledger.counts["cancelled"] += 1
                found[0].cancel(found[1])
        return http.respond({})

    async def _status(self, request: starlette.requests.Request) -> starlette.responses.Response:
        answer = http.respond({"in_flight": self.flight["now"]})
        answer.headers.update(self._headers())
        if self.behaviour.report:
            answer.headers["Target-State"] = self.behaviour.report
        return answer

    async def _control(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Take fields of `Behaviour`, or {"cold": true}."""
        told = await http.read_json(request)
        if told.pop("cold", False):
            self.cold.start()
        known = {field.name for field in attrs.fields(leaves.Behaviour)}
        for name, value in told.items():
            if name not in known:
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
                "most_in_flight": self.flight["most"],
                "cold_excess": self.cold.excess,
                "is_cold": self.cold.allowed() is not None,
            }
        )


def _garble(line: wire.Line, how: str) -> bytes:
    if how == "id":
        line.request_id += "x"
    elif how == "shard":
        line.shard += "x"
    elif how == "snapshot":
        line.snapshot += "x"
    elif how == "partial":
        line.complete = False
    blob = msgspec.json.encode(line)
    if how == "json":
        return b"{" + blob + b"\n"
    if how == "cut":
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
    """Serve a target's stand-in.

    :param listen: IP:PORT
    :param leaf_count: leaves behind the address
    :param slots: slots of a leaf
    :param service_ms: usual time of a sub-search
    :param connect_ms: what a new connection costs
    :param connections: cap of the whole target
    :param cold: start cold
    :param seed: of the random generator
    """
    backend = Backend(leaf_count, cold, seed, connect_ms)
    backend.behaviour.slots = slots
    backend.behaviour.service_ms = service_ms
    http.serve(backend.app(), listen, connections)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
