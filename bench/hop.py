"""What a batch of sub-searches costs on its way between two daemons over pyzmq."""

import asyncio
import collections
import time
import typing

import msgspec

from bench import base
from bench import process
from hyssopproxy import message
from hyssopproxy import peerlink
from hyssopproxy import wire

BATCHES = 150
REPEATS = 5  # the least is taken: what else the machine does only adds
SIZES = (1, 10, 50, 110)


class Hop(base.Measurement):
    """CPU of sender and receiver together for a batch and for each sub-search in it."""

    name = "hop"
    title = "trial: a batch of sub-searches passed from one daemon to another, and its reply"

    def run(self) -> dict[str, typing.Any]:
        rows = []
        for size in SIZES:
            least = min(asyncio.run(_measure(size)) for _ in range(REPEATS))
            rows.append({"batch": size, "us": least})
        first, last = rows[0], rows[-1]
        slope = (last["us"] - first["us"]) / (last["batch"] - first["batch"])
        return {
            "rows": rows,
            "us_a_batch": round(first["us"] - slope, 1),
            "us_a_shard": round(slope, 2),
        }


async def _measure(size: int) -> float:
    """Return the CPU microseconds of one batch there and its lines back."""
    counters: collections.Counter = collections.Counter()
    near, far = process.free_address(), process.free_address()
    links = [peerlink.PeerLink(place, "", counters) for place in (near, far)]
    searches = [wire.SubSearch(f"vm0.1.{n}", 50, "s1", f"s{n}", "q", 10) for n in range(size)]
    hits = [wire.Hit(f"s1:{n}", 1.0) for n in range(5)]
    lines = [wire.Line(one.request_id, one.shard, "s1", True, hits) for one in searches]
    try:
        await _exchange(links, near, far, searches, lines)  # connects
        await asyncio.sleep(0.3)
        began = time.process_time()
        for _ in range(BATCHES):
            await _exchange(links, near, far, searches, lines)
        return round((time.process_time() - began) / BATCHES * 1e6, 1)
    finally:
        for link in links:
            link.close()


async def _exchange(links, near: str, far: str, searches: list, lines: list) -> None:
    body = msgspec.msgpack.encode(searches)
    links[0].send(far, message.ActionRequest("vm0", 1, near, 1, "s", "k", 50, body))
    try:
        passed = await asyncio.wait_for(links[1].receive(), 1.0)
    except TimeoutError:
        return  # the connection is not up yet
    msgspec.msgpack.decode(passed.body, type=list[wire.SubSearch])
    links[1].send(near, message.ActionReply(1, 200, msgspec.msgpack.encode(lines)))
    try:
        reply = await asyncio.wait_for(links[0].receive(), 1.0)
    except TimeoutError:
        return
    msgspec.msgpack.decode(reply.body, type=list[wire.Line])
