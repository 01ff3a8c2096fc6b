"""A TCP proxy that delays, stalls, cuts, resets and loses, as told while it runs."""

import asyncio
import random
import sys

import attrs
import defopt
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from hyssopproxy import address
from hyssopproxy.emulator import http

PIECE_BYTES = 65536
STALL_POLL_S = 0.01
RETRANSMIT_S = 0.2  # a lost packet of TCP comes this much later


@attrs.define
class Faults:
    """What a link does to its connections."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # part of the pieces that come late by a retransmission
    stall_up: bool = False  # towards the upstream nothing passes, nothing is closed
    stall_down: bool = False
    cut: bool = False  # new connections are closed at once, old ones reset
    byte_limit: int = 0  # bytes down before a reset; 0 for none


class Link:
    """One listening port in front of one upstream."""

    def __init__(self, upstream: address.Address, seed: int) -> None:
        self.faults = Faults()
        self._upstream = upstream
        self._rng = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection."""
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            up = await asyncio.open_connection(self._upstream.host, self._upstream.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, up[1]}
        for pump in (self._pump(reader, up[1], True), self._pump(up[0], writer, False)):
            task = asyncio.create_task(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, is_up: bool) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue, writer, is_up))
        carried = 0
        try:
            while piece := await reader.read(PIECE_BYTES):
                carried += len(piece)
                queue.put_nowait((loop.time() + self._delay_s(), piece))
                if not is_up and 0 < self.faults.byte_limit <= carried:
                    self.reset()
        except OSError:
            pass
        queue.put_nowait((loop.time() + self._delay_s(), b""))
        await sender

    async def _send(self, queue: asyncio.Queue, writer, is_up: bool) -> None:
        """Send the pieces in order, each not before its time."""
        loop = asyncio.get_running_loop()
        while True:
            at, piece = await queue.get()
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
            while self.faults.stall_up if is_up else self.faults.stall_down:
                await asyncio.sleep(STALL_POLL_S)
            try:
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
            except OSError:
                break
        self._writers.discard(writer)
        writer.close()

    def _delay_s(self) -> float:
        faults = self.faults
        delay_s = (faults.delay_ms + faults.jitter_ms * self._rng.random()) / 1000
        return delay_s + (RETRANSMIT_S if self._rng.random() < faults.loss else 0.0)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


class FaultProxy:
    """All links of one process and their control."""

    def __init__(self, seed: int) -> None:
        self._links: dict[str, Link] = {}
        self._seed = seed

    def app(self) -> starlette.applications.Starlette:
        """Return the control application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[route("/links/{name}", self._set, methods=["POST"])]
        )

    async def _set(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Take {"listen", "upstream"} for a new link; fields of `Faults`; {"reset": true}."""
        told = await http.read_json(request)
        name = request.path_params["name"]
        if "listen" in told:
            upstream = address.parse(told.pop("upstream"))
            listen = address.parse(told.pop("listen"))
            link = self._links[name] = Link(upstream, self._seed + len(self._links))
            await asyncio.start_server(link.accept, listen.host, listen.port)
        link = self._links[name]
        if told.pop("reset", False) or told.get("cut"):
            link.reset()
        for field, value in told.items():
            setattr(link.faults, field, value)
        return http.respond(attrs.asdict(link.faults))


def run(*, control: str, seed: int = 1) -> None:
    """Serve the fault-injecting proxy.

    :param control: IP:PORT of the control
    :param seed: of the random generator
    """
    http.serve(FaultProxy(seed).app(), control)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
