"""HTTP/1.1 server that handles one request at a time per connection and enforces limits."""

import abc
import asyncio
import functools
import socket
import typing

from hyssopproxy import limit
from hyssopproxy.transport import backlog
from hyssopproxy.transport import buffer
from hyssopproxy.transport import clock
from hyssopproxy.transport import inspection
from hyssopproxy.transport import lane
from hyssopproxy.transport import message
from hyssopproxy.transport import overflow
from hyssopproxy.transport import receiver

TIMEOUT_CHECK_S = 0.25  # interval between checks of the connections' timeouts
IDLE_GRACE_S = 0.5  # added to the idle timeout for requests that are in transit
BACKLOG = 512  # connections that the kernel accepts before the process does
# Connections accepted per wake-up. asyncio schedules a retry for each failed accept, and so, while
# no descriptor is free, more retries each second if it tries several times.
ACCEPTS_AT_ONCE = 1
# Connections of a server unless its owner says otherwise. The load balancer, the operators and the
# 410 daemons of the largest fleet open one or two each.
MAX_CONNECTIONS = 1024
FIRST_REQUEST_S = 0.3  # time for the first request on a connection that was accepted while stopping
DRAIN_CHECK_S = 0.01
MAX_PIPELINED = 8  # requests buffered behind the one in progress before reading pauses
MAX_PENDING_BYTES = 1 << 20  # memory of buffered requests per connection before reading pauses
MAX_WRITE_BUFFER_BYTES = 16 << 10  # unread responses beyond which no further request is handled
LINGER_S = 1.0  # time for the caller to read the last response before the connection is aborted
# Typical requests, or 64 header lines each, parsed at once; more waits in the lane. 1,024 of
# the shortest lines take some 1.2 ms with their forwarding.
MAX_EFFORT = 16


class Handler(abc.ABC):
    """Handles the requests that a server receives on its connections."""

    #: Current limits; checked for each request.
    limits = limit.Limits()
    #: Most header lines of a request; 0: as many as `limits.header_bytes` allows.
    max_header_lines = 0

    @abc.abstractmethod
    def handle(self, request: message.Request, connection: "Connection") -> None:
        """Handle a complete request; `connection.reply` must be called exactly once for it."""

    def handle_disconnect(self, connection: "Connection") -> None:
        """Handle a caller that closed its connection before it got the response."""
        return

    def record_rejection(self, status: int, reason: str) -> None:
        """Record that a connection rejected a malformed or oversized request."""
        return


class Connection(asyncio.BufferedProtocol, buffer.Holder, overflow.Candidate, lane.Member):
    """Server side of one caller's connection."""

    def __init__(
        self,
        handler: Handler,
        connections: set["Connection"],
        account: buffer.Account,
        queue: lane.Lane | None = None,
    ) -> None:
        self._handler = handler
        self._lane = queue or lane.Lane()
        self._is_queued = False  # in the lane
        self._connections = connections
        self._account = account
        self._receiver = receiver.Receiver(handler.limits, handler.max_header_lines)
        self._transport: asyncio.Transport | None = None
        self._current: bytes | None = None  # method of the request that is being handled
        self._current_cost = 0  # memory of that request in bytes
        self._has_sent_request = False
        self._unparsed = b""  # received behind as many requests as are buffered
        self._is_receiving = False
        self._has_more_data = False  # of what is being parsed
        self._is_handling = False
        self._is_write_paused = False
        self._is_paused = False
        self._last_progress_at = 0.0
        self._abort_at: float | None = None

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_WRITE_BUFFER_BYTES)
        self._connections.add(self)
        self._last_progress_at = clock.read()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._account.release(self)
        self._transport = None
        self._receiver.drop()
        self._unparsed = b""
        if self._current is not None:
            self._current = None
            self._handler.handle_disconnect(self)

    def eof_received(self) -> bool:
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._receiver.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(receiver.READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse what was received, up to a limit, and handle the requests that are complete."""
        if self._receiver.error is not None or self._abort_at is not None:
            return
        if self._unparsed:
            self._unparsed += data
            return
        self._receive(data)

    def _receive(self, data: bytes | memoryview) -> None:
        """Parse bytes in pieces; what is too far ahead of the responses stays as it is."""
        receiving = self._receiver
        receiving.limits = self._handler.limits
        now = clock.read()
        size = len(data)
        if size <= receiver.PIECE_BYTES and not self._is_ahead():  # as for a typical request
            self._receive_piece(data, now)
            self._end_receiving()
            return
        position = 0
        last_effort = receiving.effort + MAX_EFFORT
        self._is_receiving = True
        try:
            while position < size and receiving.error is None and self._transport is not None:
                is_costly = receiving.effort > last_effort
                if is_costly or self._is_ahead():
                    self._unparsed = bytes(data[position:])
                    if is_costly and not self._is_queued:
                        self._is_queued = True
                        self._lane.add(self)
                    break
                end = position + receiving.piece_bytes
                self._has_more_data = end < size
                is_whole = not position and end >= size
                self._receive_piece(data if is_whole else data[position:end], now)
                position = end
        finally:
            self._is_receiving = self._has_more_data = False
        self._end_receiving()

    def _end_receiving(self) -> None:
        self._update_account()
        if self._receiver.requests or self._receiver.error is not None:
            self._handle_next()
        self._pause_if_ahead()

    def _receive_piece(self, piece: bytes | memoryview, now: float) -> None:
        receiving = self._receiver
        if receiving.has_headers or not receiving.is_reading and self._current is None:
            self._last_progress_at = now
        receiving.feed(piece)
        if receiving.has_headers:
            self._last_progress_at = now
        if receiving.wants_continue and self._transport is not None:
            receiving.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if receiving.requests:
            self._handle_next()

    def _update_account(self) -> None:
        """Charge what this connection holds; the account may drop it, or another one."""
        if self._transport is None:
            return
        held_bytes = self._current_cost + self._transport.get_write_buffer_size()
        if self._receiver.is_reading or self._receiver.requests or self._unparsed:
            held_bytes += self.cost_bytes
        self._account.update(self, held_bytes)

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False
        self._update_account()
        self._continue()

    def drop_buffer(self) -> None:
        """Reject what is incomplete or queued, or abort if more is being handled or sent."""
        if self._transport is None:
            return
        sent_bytes = self._transport.get_write_buffer_size()
        if self._current_cost + sent_bytes > self.cost_bytes:
            self._transport.abort()
            return
        self._receiver.reject(503, "too much data is buffered")
        self._receiver.drop()
        self._unparsed = b""
        self._handle_next()

    # requests and responses

    def _handle_next(self) -> None:
        """Handle complete requests, one at a time, unless the caller does not read."""
        if self._is_handling:
            return
        receiving = self._receiver
        self._is_handling = True
        try:
            while (
                receiving.requests
                and self._current is None
                and self._transport is not None
                and not self._is_write_paused
            ):
                request = receiving.take()
                self._has_sent_request = True
                self._current = request.method
                self._current_cost = request.cost_bytes
                self._handler.handle(request, self)
        finally:
            self._is_handling = False
        if receiving.error is not None and not receiving.requests:
            self._send_error()

    def _send_error(self) -> None:
        """Answer what was rejected, once, after the requests before it."""
        if self._current is not None or self._transport is None or self._abort_at is not None:
            return
        status, reason = self._receiver.error
        self._handler.record_rejection(status, reason)
        response = message.Response(status, [], reason.encode())
        self._transport.write(message.encode_response(response, keep_alive=False))
        self._half_close()

    def _is_ahead(self) -> bool:
        """Return whether the caller has sent too far ahead of its responses."""
        if self._current is None and not self._is_write_paused:
            return False  # nothing would resume reading
        receiving = self._receiver
        return (
            len(receiving.requests) > MAX_PIPELINED
            or receiving.requests_cost + receiving.body_bytes > MAX_PENDING_BYTES
        )

    def _pause_if_ahead(self) -> None:
        if self._transport is None or self._is_paused:
            return
        if self._unparsed or self._is_ahead():
            self._is_paused = True
            self._transport.pause_reading()

    def _continue(self) -> None:
        """Handle the next request, and parse and read on."""
        self._handle_next()
        is_waiting = self._is_receiving or self._is_queued or self._is_ahead()
        if is_waiting or self._transport is None:
            return
        if self._unparsed:
            data, self._unparsed = self._unparsed, b""
            self._receive(data)
            if self._unparsed or self._transport is None:
                return
        if self._is_paused and not self._is_ahead():
            self._is_paused = False
            self._transport.resume_reading()

    def proceed(self) -> None:
        self._is_queued = False
        self._continue()

    def reply(self, response: message.Response, keep_alive: bool = True) -> None:
        """Send the response to the request in progress.

        Even without `keep_alive`, the connection is kept while it has more requests to answer.
        """
        if self._transport is None or self._current is None:
            return
        has_body = self._current != b"HEAD"
        receiving = self._receiver
        has_more = bool(receiving.requests or self._unparsed or self._has_more_data)
        keep_alive = (
            has_more
            or receiving.keep_alive
            and (keep_alive or inspection.has_unread_input(self._transport))
        )
        self._current = None
        self._current_cost = 0
        self._last_progress_at = clock.read()
        self._transport.write(message.encode_response(response, keep_alive, has_body))
        self._update_account()
        if not keep_alive and receiving.error is None:
            self._half_close()
        elif not self._is_handling:
            self._continue()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled, or its response being sent."""
        if self._transport is None:
            return False
        return (
            self._current is not None
            or self._receiver.is_reading
            or bool(self._unparsed)
            or self._abort_at is not None
            or self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_lingering(self) -> bool:
        """Whether all responses have been sent and only the caller's close is awaited."""
        return self._abort_at is not None and self._transport.get_write_buffer_size() == 0

    @property
    def cost_bytes(self) -> int:
        return self._receiver.held_bytes + len(self._unparsed)

    @property
    def has_sent_request(self) -> bool:
        return self._has_sent_request

    def age_s(self, now: float) -> float:
        return now - self._last_progress_at

    def abort(self) -> None:
        """Close the connection at once, whatever it holds."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, now: float) -> None:
        """Close the connection unless it is busy or its caller may be sending a request."""
        is_new = self._receiver.message_no == 0 and now - self._last_progress_at < FIRST_REQUEST_S
        if (
            self._transport is None
            or self.is_busy
            or is_new
            or inspection.has_unread_input(self._transport)
        ):
            return
        self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Abort, reject or close the connection if its timeout has expired."""
        if self._transport is None:
            return
        limits = self._handler.limits
        age = self.age_s(now)
        if self._is_paused and inspection.is_reset(self._transport):
            self._transport.abort()
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
        elif self._receiver.is_reading or self._receiver.head_bytes:
            if age > limits.header_timeout_s:
                self._receiver.reject(408, "request not complete in time")
                self._receiver.drop()
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

    def __init__(
        self,
        handler: Handler,
        account: buffer.Account | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.connections: set[Connection] = set()
        self._lane = lane.Lane()
        self.refused = 0  # connections that were closed because there were too many
        self._max_connections = max_connections
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

    def _make_connection(self) -> asyncio.BaseProtocol:
        if len(self.connections) >= self._max_connections:
            self.refused += 1
            header_timeout_s = self._handler.limits.header_timeout_s
            victim = overflow.choose_victim(self.connections, clock.read(), header_timeout_s)
            if victim is None:
                return overflow.RefusedConnection()
            victim.abort()
            self.connections.discard(victim)
        return Connection(self._handler, self.connections, self._account, self._lane)

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
        backlog.accept_all(self._listener, self._make_connection, self._accept_tasks, BACKLOG)
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
