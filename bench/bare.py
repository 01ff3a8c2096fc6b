"""A bare fan-out service, the baseline of `cost`: no deadline, no limits, no checks."""

import asyncio
import json
import sys
import typing

import aiohttp
import defopt
import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from hyssopproxy import wire
from hyssopproxy.emulator import http


class BareFanOut:
    """Sends each search to all shards in the same batches as a daemon; waits for all answers."""

    def __init__(self, by_address: dict[str, list[str]]) -> None:
        self._by_address = by_address
        self._session: aiohttp.ClientSession | None = None
        self._number = 0

    def app(self) -> starlette.routing.Router:
        """Return the ASGI application."""
        route = starlette.routing.Route
        path = "/v1/services/{service}/search"
        ready = route("/readyz", self._ready)
        return starlette.routing.Router([route(path, self._serve, methods=["POST"]), ready])

    async def _ready(self, request: starlette.requests.Request) -> starlette.responses.Response:
        return starlette.responses.PlainTextResponse("ready\n")

    async def _serve(self, request: starlette.requests.Request) -> starlette.responses.Response:
        await http.read_json(request)
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._number += 1
        return http.respond(await fan_out(self._session, self._by_address, self._number))


async def fan_out(
    session: aiohttp.ClientSession, by_address: dict[str, list[str]], number: int
) -> wire.Answer:
    """Send one search to all shards and return the merged answer."""
    calls = [_call(session, address, names, number) for address, names in by_address.items()]
    hits = []
    for lines in await asyncio.gather(*calls):
        for line in lines:
            hits.extend(wire.MergedHit(hit.id, hit.score, line.shard) for hit in line.hits)
    hits.sort(key=lambda hit: -hit.score)
    total = sum(map(len, by_address.values()))
    return wire.Answer(str(number), "s1", wire.Coverage(total, total, []), hits[:100])


async def _call(
    session: aiohttp.ClientSession, address: str, shards: list[str], number: int
) -> list[wire.Line]:
    body = [wire.SubSearch(f"{number}.{shard}", 2000, "s1", shard, "q", 100) for shard in shards]
    async with session.post(
        f"http://{address}/v1/search",
        data=msgspec.json.encode(body),
        headers={"Content-Type": "application/json", "Flush-Interval-Ms": "2"},
    ) as response:
        blob = await response.read()
    return [wire.LINE_DECODER.decode(line) for line in blob.split(b"\n") if line]


def group_shards(service: dict[str, typing.Any]) -> dict[str, list[str]]:
    """Return the shards by address, for a service with one replica per shard."""
    by_address: dict[str, list[str]] = {}
    for shard, (replica,) in service["snapshots"]["s1"]["shards"].items():
        name = replica.partition("/")[0]
        by_address.setdefault(service["targets"][name]["address"], []).append(shard)
    return by_address


def run(*, listen: str, by_address: str) -> None:
    """Serve the bare fan-out service.

    :param listen: IP:PORT
    :param by_address: JSON object of lists of shards by address
    """
    http.serve(BareFanOut(json.loads(by_address)).app(), listen)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
