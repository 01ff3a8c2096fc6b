"""Emulated leaf of the hosting platform, with injectable faults."""

import asyncio
import collections
import time
import typing

import attrs

from hyssopproxy.emulator import endless
from hyssopproxy.transport import message


@attrs.define
class Run:
    """A request that the leaf has started to process."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.define
class Arrival:
    """A request that reached the leaf, whether it ran or not."""

    at: float  # monotonic clock
    request_id: str
    born: int
    says_leaving: bool  # its answer states that the leaf leaves
    closed_until: float  # end of the time that its answer, a 503, states; 0 for none


class Replica:
    """Emulated leaf; `fault` may change at any time.

    `leave` and `close_itself` make it state so in its answers, `restart` begins an incarnation that
    does not.

    Faults: shed, other (another leaf has the address), error, silent, reset, truncate, garbage,
    extra (a stale response precedes the valid one), unframed (no Content-Length), unsigned (no
    Server-Stamp), cut (the response ends after `cut_bytes`), copy (a second copy of the response
    follows with the next request, or the one after it if `copy_delay` is 1), copy_shed (every other
    request is shed, and its response follows again with the next one), status_000 (or other three
    digits; the response has that status), trickle, endless_after, or a name of `endless.RESPONSES`
    or `endless.ANSWERS`.
    """

    def __init__(self, name: str, records: typing.Sequence[bytes] = ()) -> None:
        self.name = name
        self.records = list(records)
        self.fault = ""
        self.delay_s = 0.0
        self.cut_bytes = 0  # negative: counted from the end of the response
        self.echoes_id = True  # responses name the request
        self.copies_sent = 0
        self.copy_delay = 0  # responses between a response and its second copy
        self.pause_every_s = 0.0  # 0 for no pauses
        self.pause_s = 0.0
        self.runs: list[Run] = []
        self.aborted: list[str] = []  # requests whose connection closed while they were processed
        self.arrivals: list[Arrival] = []
        self.born = 1
        self.is_leaving = False
        self.closed_until = 0.0  # monotonic clock
        self.retry_after = ""  # what it states instead of the time until then
        self.connections = 0
        self.address = ""
        self.counters: collections.Counter = collections.Counter()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._last_responses: dict[asyncio.StreamWriter, list[bytes]] = {}

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve_connection, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    def leave(self) -> None:
        """State in every answer from now on that it leaves; it serves what it still gets."""
        self.is_leaving = True

    def close_itself(self, seconds: float, retry_after: str = "") -> None:
        """Refuse requests for a time with 503 and Retry-After, as not executed."""
        self.closed_until = time.monotonic() + seconds
        self.retry_after = retry_after

    def restart(self) -> None:
        """Begin a new incarnation at the same address; it accepts requests."""
        self.born += 1
        self.is_leaving = False
        self.closed_until = 0.0
        for writer in list(self._writers):
            writer.transport.abort()

    def _stated_headers(self) -> list[tuple[str, str]]:
        return [("Server-Leaving", "1")] if self.is_leaving else []

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            self.counters["connections_broken"] += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        except asyncio.IncompleteReadError:
            return False
        method, target, _ = head[0].split(" ")
        pairs = [line.partition(": ") for line in head[1:] if line]
        headers = {key.lower(): value for key, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        run = Run(headers.get("request-id", ""), method, target, headers, body)
        now = time.monotonic()
        closed_until = self.closed_until if now < self.closed_until else 0.0
        stated_until = 0.0 if self.retry_after else closed_until
        arrival = Arrival(now, run.request_id, self.born, self.is_leaving, stated_until)
        self.arrivals.append(arrival)
        if self.fault == "other" or headers.get("expected-instance") != self.name:
            return await self._send_response(writer, 421, [("Instance-Id", "other")], b"")
        shed_headers = [("Not-Executed", "1"), *self._stated_headers()]
        if closed_until:
            stated = self.retry_after or f"{closed_until - now:.3f}"
            return await self._send_response(
                writer, 503, [*shed_headers, ("Retry-After", stated)], b""
            )
        if self.fault == "shed":
            return await self._send_response(writer, 503, shed_headers, b"")
        if self.fault == "copy_shed":
            shed = _encode_response(503, shed_headers, b"")
            if writer not in self._last_responses:
                self._last_responses[writer] = [shed]
                writer.write(shed)
                return True
            del self._last_responses[writer]
            self.copies_sent += 1
            writer.write(shed)
        self.runs.append(run)
        return await self._respond(run, reader, writer)

    def _pause_left_s(self) -> float:
        """Return the remaining time of the current pause; pauses recur on the monotonic clock."""
        if not self.pause_every_s:
            return 0.0
        return max(0.0, self.pause_s - time.monotonic() % self.pause_every_s)

    async def _respond(
        self, run: Run, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if self.delay_s:
            await self._process(run, reader)
        if pause_left_s := self._pause_left_s():
            await asyncio.sleep(pause_left_s)
        headers = [("Server-Stamp", f"{self.name}.{run.request_id}")]
        if self.echoes_id:
            headers.append(("Request-Id", run.request_id))
        headers += self._stated_headers()
        body = b"".join(self.records) or f"{self.name} {run.target}".encode()
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
            writer.transport.abort()
            return False
        if self.fault == "truncate":
            response = _encode_response(200, headers, body)
            writer.write(response[:-3])
            return False
        if self.fault == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
            return False
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers).encode()
        if self.fault == "unframed":
            writer.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n" + body)
            return False
        if self.fault == endless.AFTER:
            writer.write(_encode_response(200, headers, body))
            await endless.send(writer, "endless_garbage", b"")
        if self.fault in {*endless.RESPONSES, *endless.ANSWERS, endless.TRICKLE}:
            await endless.send(writer, self.fault, lines)
        if self.fault == "cut":
            writer.write(_encode_response(200, headers, body)[: self.cut_bytes])
            return False
        if self.fault == "copy":
            earlier = self._last_responses.setdefault(writer, [])
            if len(earlier) > self.copy_delay:
                self.copies_sent += 1
                writer.write(earlier.pop(0))
            earlier.append(_encode_response(200, headers, body))
        if self.fault == "extra":
            stale = [("Server-Stamp", f"{self.name}.stale"), ("Request-Id", "stale")]
            writer.write(_encode_response(200, stale, b"stale answer 123"))
        if self.fault == "unsigned":
            headers = headers[1:]
        if self.fault.startswith("status_"):
            _, _, digits = self.fault.partition("_")
            response = _encode_response(200, headers, body)
            writer.write(response.replace(b"200", digits.encode(), 1))
            return True
        return await self._send_response(
            writer, 500 if self.fault == "error" else 200, headers, body
        )

    async def _process(self, run: Run, reader: asyncio.StreamReader) -> None:
        disconnect = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([disconnect], timeout=self.delay_s)
        if done:
            self.aborted.append(run.request_id)
            raise ConnectionError("the client closed the connection")
        disconnect.cancel()
        await asyncio.wait([disconnect])

    async def _send_response(
        self, writer: asyncio.StreamWriter, status: int, headers: list, body: bytes
    ) -> bool:
        writer.write(_encode_response(status, headers, body))
        await writer.drain()
        return True


def _encode_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    pairs = [(key.encode(), value.encode()) for key, value in headers]
    return message.encode_response(message.Response(status, pairs, body), keep_alive=True)


def make_entry(replica: Replica, pool: str, zone: str, **fields: typing.Any) -> dict:
    """Return the document that a leaf publishes about itself."""
    return {
        "backend": pool,
        "address": replica.address,
        "zone": zone,
        "version": "v1",
        "maxConcurrency": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": replica.born,
        **fields,
    }
