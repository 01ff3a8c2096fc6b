"""TCP proxy that injects faults: delay, loss, stalls, resets and refused connections.

The faults of each link can be changed while the proxy runs.
"""

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

CHUNK_BYTES = 65536
STALL_POLL_S = 0.01
RETRANSMIT_S = 0.2  # extra delay that emulates a TCP retransmission


@attrs.define
class Faults:
    """Faults that a link applies to its connections."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # fraction of chunks that are delayed by a retransmission
    stall_up: bool = False  # data to the upstream is held back; the connection stays open
    stall_down: bool = False  # the same for data from the upstream
    cut: bool = False  # new connections are reset at once; setting it resets existing ones
    byte_limit: int = 0  # bytes from the upstream before a reset; 0 for no limit


class Link:
    """Proxy from one listening port to one upstream."""

    def __init__(self, upstream: address.Address, seed: int) -> None:
        self.faults = Faults()
        self._upstream = upstream
        self._rng = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(self._upstream.host, self._upstream.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        for pump in (
            self._pump(reader, upstream[1], True),
            self._pump(upstream[0], writer, False),
        ):
            task = asyncio.create_task(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, to_upstream: bool) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(self._send(queue, writer, to_upstream))
        received_bytes = 0
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                received_bytes += len(chunk)
                queue.put_nowait((loop.time() + self._draw_delay_s(), chunk))
                if not to_upstream and 0 < self.faults.byte_limit <= received_bytes:
                    self.reset()
        except OSError:
            pass
        queue.put_nowait((loop.time() + self._draw_delay_s(), b""))
        await sender

    async def _send(self, queue: asyncio.Queue, writer, to_upstream: bool) -> None:
        """Send the queued chunks in order, each at its due time or later."""
        loop = asyncio.get_running_loop()
        while True:
            due_at, chunk = await queue.get()
            if due_at > loop.time():
                await asyncio.sleep(due_at - loop.time())
            while self.faults.stall_up if to_upstream else self.faults.stall_down:
                await asyncio.sleep(STALL_POLL_S)
            try:
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
            except OSError:
                break
        self._writers.discard(writer)
        writer.close()

    def _draw_delay_s(self) -> float:
        faults = self.faults
        delay_s = (faults.delay_ms + faults.jitter_ms * self._rng.random()) / 1000
        return delay_s + (RETRANSMIT_S if self._rng.random() < faults.loss else 0.0)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


class FaultProxy:
    """The links of one process and the application that controls them."""

    def __init__(self, seed: int) -> None:
        self._links: dict[str, Link] = {}
        self._seed = seed

    def app(self) -> starlette.applications.Starlette:
        """Return the control application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[route("/links/{name}", self._control, methods=["POST"])]
        )

    async def _control(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Create a link ({"listen", "upstream"}), set fields of `Faults`, or {"reset": true}."""
        settings = await http.read_json(request)
        name = request.path_params["name"]
        if "listen" in settings:
            upstream = address.parse(settings.pop("upstream"))
            listen = address.parse(settings.pop("listen"))
            link = self._links[name] = Link(upstream, self._seed + len(self._links))
            await asyncio.start_server(link.accept, listen.host, listen.port)
        link = self._links[name]
        if settings.pop("reset", False) or settings.get("cut"):
            link.reset()
        for field, value in settings.items():
            setattr(link.faults, field, value)
        return http.respond(attrs.asdict(link.faults))


def run(*, control: str, seed: int = 1) -> None:
    """Serve the fault-injecting proxy.

    :param control: IP:PORT of the control application
    :param seed: seed of the random generator
    """
    http.serve(FaultProxy(seed).app(), control)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
