"""Measures the cost of sending a batch of sub-searches between two daemons over pyzmq."""

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
REPEATS = 5  # the minimum is used, because other load on the machine only increases the result
SIZES = (1, 10, 50, 110)


class PeerHop(base.Measurement):
    """CPU of sender and receiver together, per batch and per sub-search in it."""

    name = "hop"
    title = "trial: a batch of sub-searches sent from one daemon to another, and the reply"

    def run(self) -> dict[str, typing.Any]:
        rows = []
        for size in SIZES:
            minimum = min(asyncio.run(_measure(size)) for _ in range(REPEATS))
            rows.append({"batch": size, "us": minimum})
        first, last = rows[0], rows[-1]
        slope = (last["us"] - first["us"]) / (last["batch"] - first["batch"])
        return {
            "rows": rows,
            "us_a_batch": round(first["us"] - slope, 1),
            "us_a_shard": round(slope, 2),
        }


async def _measure(size: int) -> float:
    """Return the CPU microseconds of sending one batch and receiving the reply."""
    counters: collections.Counter = collections.Counter()
    sender, receiver = process.free_address(), process.free_address()
    links = [peerlink.PeerLink(address, "", counters) for address in (sender, receiver)]
    searches = [wire.SubSearch(f"vm0.1.{n}", 50, "s1", f"s{n}", "q", 10) for n in range(size)]
    hits = [wire.Hit(f"s1:{n}", 1.0) for n in range(5)]
    lines = [wire.Line(search.request_id, search.shard, "s1", True, hits) for search in searches]
    try:
        await _exchange(links, sender, receiver, searches, lines)  # opens the connection
        await asyncio.sleep(0.3)
        started_at = time.process_time()
        for _ in range(BATCHES):
            await _exchange(links, sender, receiver, searches, lines)
        return round((time.process_time() - started_at) / BATCHES * 1e6, 1)
    finally:
        for link in links:
            link.close()


async def _exchange(links, sender: str, receiver: str, searches: list, lines: list) -> None:
    body = msgspec.msgpack.encode(searches)
    links[0].send(receiver, message.ActionRequest("vm0", 1, sender, 1, "s", "k", 50, body))
    try:
        request = await asyncio.wait_for(links[1].receive(), 1.0)
    except TimeoutError:
        return  # the connection is not established yet
    msgspec.msgpack.decode(request.body, type=list[wire.SubSearch])
    links[1].send(sender, message.ActionReply(1, 200, msgspec.msgpack.encode(lines)))
    try:
        reply = await asyncio.wait_for(links[0].receive(), 1.0)
    except TimeoutError:
        return
    msgspec.msgpack.decode(reply.body, type=list[wire.Line])
