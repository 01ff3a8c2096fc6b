"""HTTP/1.1 server that handles one request at a time per connection and enforces limits."""

import abc
import asyncio
import collections
import functools
import select
import socket
import typing

import httptools

from hyssopproxy import limit
from hyssopproxy.transport import buffer
from hyssopproxy.transport import clock
from hyssopproxy.transport import message

TIMEOUT_CHECK_S = 0.25  # interval between checks of the connections' timeouts
IDLE_GRACE_S = 0.5  # added to the idle timeout for requests that are in transit
BACKLOG = 512  # connections that the kernel accepts before the process does
# Connections accepted per wake-up. asyncio schedules a retry for each failed accept, and so, while
# no descriptor is free, more retries each second if it tries several times.
ACCEPTS_AT_ONCE = 1
FIRST_REQUEST_S = 0.3  # time for the first request on a connection that was accepted while stopping
DRAIN_CHECK_S = 0.01
MAX_PIPELINED = 8  # requests buffered behind the one in progress before reading pauses
MAX_PENDING_BODY_BYTES = 1 << 20  # body bytes buffered per connection before reading pauses
MAX_OVERHEAD_FRACTION = 0.5  # of a body, for the framing of its chunks
LINGER_S = 1.0  # time for the caller to read the last response before the connection is aborted


class Handler(abc.ABC):
    """Handles the requests that a server receives on its connections."""

    #: Current limits; checked for each request.
    limits = limit.Limits()

    @abc.abstractmethod
    def handle(self, request: message.Request, connection: "Connection") -> None:
        """Handle a complete request; `connection.reply` must be called exactly once for it."""

    def handle_disconnect(self, connection: "Connection") -> None:
        """Handle a caller that closed its connection before it got the response."""
        return

    def record_rejection(self, status: int, reason: str) -> None:
        """Record that a connection rejected a malformed or oversized request."""
        return


class Connection(asyncio.Protocol, buffer.Holder):
    """Server side of one caller's connection."""

    def __init__(
        self, handler: Handler, connections: set["Connection"], account: buffer.Account
    ) -> None:
        self._handler = handler
        self._connections = connections
        self._account = account
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[message.Request] = collections.deque()
        self._current: message.Request | None = None
        self._headers: message.Headers = []
        self._target = b""
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._message_no = 0  # of the request that is being received
        self._offers_upgrade = False  # the request that is being received
        self._overhead_bytes = 0  # framing and trailers of the body
        self._is_reading = False  # a request is partly received
        self._has_headers = False
        self._keep_alive = True
        self._error: tuple[int, str] | None = None
        self._is_paused = False
        self._last_progress_at = 0.0
        self._abort_at: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(buffer.MIN_TRACKED_BYTES)
        self._connections.add(self)
        self._last_progress_at = clock.read()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._account.release(self)
        self._transport = None
        self._pending.clear()
        # The connection is part of a reference cycle: the buffer would stay until a collection.
        self._body_parts = []
        if self._current is not None:
            self._current = None
            self._handler.handle_disconnect(self)

    def eof_received(self) -> bool:
        return False

    def data_received(self, data: bytes) -> None:
        if self._error is not None or self._abort_at is not None:
            return
        if not self._is_reading:
            self._head_bytes = 0
            if self._current is None:
                self._last_progress_at = clock.read()
        body_bytes = self._body_bytes
        message_no = self._message_no if self._has_headers else None
        if not self._has_headers:
            self._head_bytes += len(data)
        else:
            self._last_progress_at = clock.read()
        self._parse(data)
        if not self._has_headers and self._head_bytes > self._handler.limits.header_bytes:
            self._reject(431, "header fields too large")
        if message_no == self._message_no:
            self._overhead_bytes += len(data) - (self._body_bytes - body_bytes)
        if self._is_reading and self._has_headers:
            self._check_growth()
        self._handle_next()
        self._pause_if_ahead()

    def _parse(self, data: bytes) -> None:
        """Parse bytes; a request that offers an upgrade is parsed again as an ordinary one.

        The parser stops at the end of a head with such an offer. A server may ignore the offer
        (RFC 9110, 7.8); the request then has its body as usual.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                if self._parser.get_method() == b"CONNECT":
                    self._reject(501, "tunnels are not supported")
                    return
                head = self._encode_head_without_offer()
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as error:
                self._reject(400, str(error)[:80])
                return

    def _encode_head_without_offer(self) -> bytes:
        headers = []
        for name, value in self._headers:
            if name.lower() == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(option for option in options if option.lower() != b"upgrade")
            if name.lower() != b"upgrade":
                headers.append((name, value))
        version = self._parser.get_http_version().encode()
        line = b"%s %s HTTP/%s\r\n" % (self._parser.get_method(), self._target, version)
        return line + message.encode_headers(headers) + b"\r\n"

    def _check_growth(self) -> None:
        """Reject the incomplete request if its framing or trailers grow without end."""
        max_overhead = self._handler.limits.header_bytes + MAX_OVERHEAD_FRACTION * self._body_bytes
        if self._overhead_bytes > max_overhead:
            self._reject(400, "framing or trailers too large")
        else:
            self._account.update(self, self._body_bytes)

    def resume_writing(self) -> None:
        self._account.release(self)

    def drop_buffer(self) -> None:
        """Reject the incomplete request, or abort a caller that does not read its response."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size() > buffer.MIN_TRACKED_BYTES:
            self._transport.abort()
        else:
            self._body_parts = []
            self._reject(503, "too much data is buffered")
            self._handle_next()

    # httptools

    def on_message_begin(self) -> None:
        self._message_no += 1
        self._is_reading = True
        self._has_headers = False
        self._headers = []
        self._target = b""
        self._body_parts = []
        self._body_bytes = 0
        self._overhead_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._has_headers:  # otherwise it is a trailer
            self._headers.append((name, value.rstrip(b" \t")))  # the parser keeps trailing space

    def on_headers_complete(self) -> None:
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            return
        self._has_headers = True
        self._last_progress_at = clock.read()
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
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        if self._offers_upgrade:
            return
        self._is_reading = False
        self._has_headers = False
        self._head_bytes = 0
        self._account.release(self)
        if self._error is not None:
            return
        if not self._parser.should_keep_alive():
            self._keep_alive = False
        request = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body_parts),
        )
        self._pending.append(request)

    # requests and responses

    def _handle_next(self) -> None:
        if self._current is not None or self._transport is None:
            return
        if self._pending:
            self._current = self._pending.popleft()
            self._handler.handle(self._current, self)
        elif self._error is not None:
            status, reason = self._error
            self._handler.record_rejection(status, reason)
            response = message.Response(status, [], reason.encode())
            self._transport.write(message.encode_response(response, keep_alive=False))
            self._half_close()

    def _reject(self, status: int, reason: str) -> None:
        if self._error is None:
            self._error = (status, reason)

    def _pause_if_ahead(self) -> None:
        """Pause reading from a caller that sends too far ahead of its responses."""
        if self._transport is None:
            return
        if self._current is None:  # nothing would resume reading
            return
        pending_bytes = sum(len(request.body) for request in self._pending) + self._body_bytes
        is_ahead = len(self._pending) > MAX_PIPELINED or pending_bytes > MAX_PENDING_BODY_BYTES
        if is_ahead and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def reply(self, response: message.Response, keep_alive: bool = True) -> None:
        """Send the response to the request in progress.

        Even without `keep_alive`, the connection is kept while it has more requests to answer.
        """
        if self._transport is None or self._current is None:
            return
        has_body = self._current.method != b"HEAD"
        keep_alive = (
            bool(self._pending) or self._keep_alive and (keep_alive or self._has_unread_input())
        )
        self._current = None
        self._last_progress_at = clock.read()
        self._transport.write(message.encode_response(response, keep_alive, has_body))
        self._account.update(self, self._transport.get_write_buffer_size())
        if not keep_alive and self._error is None:
            self._half_close()
            return
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        self._handle_next()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled, or its response being sent."""
        if self._transport is None:
            return False
        return (
            self._current is not None
            or self._is_reading
            or self._abort_at is not None
            or self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_lingering(self) -> bool:
        """Whether all responses have been sent and only the caller's close is awaited."""
        return self._abort_at is not None and self._transport.get_write_buffer_size() == 0

    def close_if_idle(self, now: float) -> None:
        """Close the connection unless it is busy or its caller may be sending a request."""
        is_new = self._message_no == 0 and now - self._last_progress_at < FIRST_REQUEST_S
        if self._transport is None or self.is_busy or is_new or self._has_unread_input():
            return
        self._transport.close()

    def _has_unread_input(self) -> bool:
        """Return whether a request has arrived that the event loop has not read yet."""
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def check_timeouts(self, now: float) -> None:
        """Abort, reject or close the connection if its timeout has expired."""
        if self._transport is None:
            return
        limits = self._handler.limits
        age = now - self._last_progress_at
        if self._current is not None:
            return
        if self._transport.get_write_buffer_size():
            if self._abort_at is not None:
                self._abort_at = now + LINGER_S  # the caller has not read all of the response yet
            if age > limits.idle_timeout_s + IDLE_GRACE_S:
                self._transport.abort()  # closing would wait for a caller that does not read
        elif self._abort_at is not None:
            if now > self._abort_at:
                self._transport.abort()
        elif self._is_reading or self._head_bytes:
            if age > limits.header_timeout_s:
                self._reject(408, "request not complete in time")
                self._handle_next()
        elif age > limits.idle_timeout_s + IDLE_GRACE_S:
            self._transport.close()

    def _half_close(self) -> None:
        """Half-close, because closing with unread input would reset the connection.

        A reset can discard the response before the caller has read it.
        """
        self._abort_at = clock.read() + LINGER_S
        if self._transport.can_write_eof():
            self._transport.write_eof()


class Server:
    """A listening socket and its connections."""

    def __init__(self, handler: Handler, account: buffer.Account | None = None) -> None:
        self.connections: set[Connection] = set()
        self._handler = handler
        self._account = account or buffer.Account(limit.BufferLimits().total_bytes)
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._accept_tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Start listening; raise OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            self._server = await loop.create_server(
                self._make_connection, sock=listener, backlog=ACCEPTS_AT_ONCE
            )
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._check_timeouts()

    @property
    def port(self) -> int:
        """Port on which the server listens; requires `start`."""
        return self._listener.getsockname()[1]

    def _make_connection(self) -> Connection:
        return Connection(self._handler, self.connections, self._account)

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self._timeout_timer = loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)
        now = clock.read()
        self._for_each_connection(functools.partial(Connection.check_timeouts, now=now))
        if self._listener.fileno() < 0:
            self._for_each_connection(functools.partial(Connection.close_if_idle, now=now))

    def _for_each_connection(self, check: typing.Callable[[Connection], None]) -> None:
        """Check all connections; an unexpected error at one does not spare the others."""
        for connection in list(self.connections):
            try:
                check(connection)
            except Exception as error:
                context = {"message": "unexpected error at a connection", "exception": error}
                asyncio.get_running_loop().call_exception_handler(context)

    def stop_accepting(self) -> None:
        """Accept what the kernel has accepted already, then close the listener.

        From then on, idle connections are closed, so that their callers send to another server.
        Closing a listener resets the connections that wait in its backlog.
        """
        if self._server is None or self._listener.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._listener.accept()
            except OSError:  # the backlog is empty, or the caller has already closed
                break
            accepted.setblocking(False)
            task = loop.create_task(loop.connect_accepted_socket(self._make_connection, accepted))
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)
        self._server.close()

    async def drain(self, timeout_s: float) -> int:
        """Wait until no connection has a request or may be about to send its first one.

        Close idle connections meanwhile. Return the number of connections that are cut, as they
        have a request or an unsent response when the time is over.
        """
        deadline = clock.read() + timeout_s
        while True:
            now = clock.read()
            self._for_each_connection(functools.partial(Connection.close_if_idle, now=now))
            if now >= deadline or not (self.connections or self._accept_tasks):
                return sum(
                    connection.is_busy and not connection.is_lingering
                    for connection in self.connections
                )
            await asyncio.sleep(DRAIN_CHECK_S)
