"""HTTP/1.1 towards callers: one request at a time on a connection, within limits."""

import abc
import asyncio
import collections
import typing

import httptools

from hyssopproxy import limit
from hyssopproxy.transport import clock
from hyssopproxy.transport import message

SWEEP_S = 0.25  # between two looks at the connections' timeouts
IDLE_GRACE_S = 0.5  # over the idle timeout, for requests on their way
MAX_PIPELINED = 8  # requests read ahead while one is in progress
MAX_WAITING_BYTES = 1 << 20  # of bodies that wait for their turn
LINGER_S = 1.0  # after a final answer, for the peer to read it before the close


class Handler(abc.ABC):
    """Takes requests from connections."""

    #: Limits in force; read for each request.
    limits = limit.Limits()

    @abc.abstractmethod
    def handle(self, request: message.Request, connection: "Connection") -> None:
        """Take a complete request; `connection.reply` is to be called once for it."""

    def handle_gone(self, connection: "Connection") -> None:
        """Take in that the caller left before the answer."""
        return

    def note_rejected(self, status: int, reason: str) -> None:
        """Take in that a connection refused bytes that are no proper request."""
        return


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, handler: Handler, connections: set["Connection"]) -> None:
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[message.Request] = collections.deque()
        self._current: message.Request | None = None
        self._headers: message.Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_reading = False  # a request has begun and is not complete
        self._has_headers = False
        self._keeps_open = True
        self._error: tuple[int, str] | None = None
        self._is_paused = False
        self._changed_at = 0.0
        self._closing_at: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._changed_at = clock.read()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._transport = None
        self._pending.clear()
        if self._current is not None:
            self._current = None
            self._handler.handle_gone(self)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        if self._error is not None or self._closing_at is not None:
            return
        if not self._is_reading:
            self._head_bytes = 0
            if self._current is None:
                self._changed_at = clock.read()
        if not self._has_headers:
            self._head_bytes += len(data)
        else:
            self._changed_at = clock.read()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._keeps_open = False  # what follows would be another protocol's
        except httptools.HttpParserError as error:
            self._reject(400, str(error)[:80])
        if not self._has_headers and self._head_bytes > self._handler.limits.header_bytes:
            self._reject(431, "header fields too large")
        self._serve_next()
        self._pace()

    # httptools

    def on_message_begin(self) -> None:
        self._is_reading = True
        self._has_headers = False
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._has_headers = True
        self._changed_at = clock.read()
        size = len(self._target) + sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self._handler.limits.header_bytes:
            self._reject(431, "header fields too large")
        expected = message.get_header(self._headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        length = message.get_header(self._headers, b"content-length")
        if length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject(413, "body too large")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.body_bytes:
            self._reject(413, "body too large")
        elif self._error is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_reading = False
        self._has_headers = False
        self._head_bytes = 0
        if self._error is not None:
            return
        if not self._parser.should_keep_alive():
            self._keeps_open = False
        request = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
        )
        self._pending.append(request)

    # requests and answers

    def _serve_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if self._pending:
            self._current = self._pending.popleft()
            self._handler.handle(self._current, self)
        elif self._error is not None:
            status, reason = self._error
            self._handler.note_rejected(status, reason)
            response = message.Response(status, [], reason.encode())
            self._transport.write(message.encode_response(response, keeps_open=False))
            self._close_soon()

    def _reject(self, status: int, reason: str) -> None:
        if self._error is None:
            self._error = (status, reason)

    def _pace(self) -> None:
        """Stop reading from a caller that sends far ahead of its answers."""
        if self._transport is None:
            return
        waiting = sum(len(request.body) for request in self._pending) + self._body_bytes
        is_ahead = self._current is not None and len(self._pending) > MAX_PIPELINED
        if (is_ahead or waiting > MAX_WAITING_BYTES) and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def reply(self, response: message.Response, keeps_open: bool = True) -> None:
        """Answer the request in progress."""
        if self._transport is None or self._current is None:
            return
        has_body = self._current.method != b"HEAD"
        keeps_open = keeps_open and self._keeps_open or bool(self._pending)
        self._current = None
        self._changed_at = clock.read()
        self._transport.write(message.encode_response(response, keeps_open, has_body))
        if not keeps_open and not self._pending and self._error is None:
            self._close_soon()
            return
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        self._serve_next()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self._transport and self._current is None and not self._is_reading:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Act on timeouts."""
        if self._transport is None:
            return
        limits = self._handler.limits
        age = now - self._changed_at
        if self._closing_at is not None:
            if now > self._closing_at:
                self._transport.abort()
        elif self._current is not None:
            return
        elif self._is_reading or self._head_bytes:
            if age > limits.header_timeout_s:
                self._reject(408, "request not complete in time")
                self._serve_next()
        elif age > limits.idle_timeout_s + IDLE_GRACE_S:
            self._transport.close()

    def _close_soon(self) -> None:
        """Half-close, so that unread bytes of the caller don't reset the answer away."""
        self._closing_at = clock.read() + LINGER_S
        if self._transport.can_write_eof():
            self._transport.write_eof()


class Server:
    """A listener and its connections."""

    def __init__(self, handler: Handler) -> None:
        self.connections: set[Connection] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raise OSError if the address cannot be had."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._handler, self.connections),
            host,
            port,
            backlog=512,
            reuse_address=True,
        )
        self._sweep()

    def _sweep(self) -> None:
        now = clock.read()
        for connection in list(self.connections):
            connection.sweep(now)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()
