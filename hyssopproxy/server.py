"""HTTP servers for callers, the load balancer and operators."""

import asyncio
import contextlib
import socket
import time
import typing
import uuid

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing
import uvicorn
import uvicorn.protocols.http.flow_control
import uvicorn.protocols.http.httptools_impl

from hyssopproxy import body as bodies
from hyssopproxy import dump
from hyssopproxy import event
from hyssopproxy import lifecycle
from hyssopproxy import problem
from hyssopproxy import runtime as runtimes
from hyssopproxy import wire

DEFAULT_MAX_BODY_BYTES = 1 << 16  # limit for requests to an unknown service
MAX_OVERHEAD_BYTES = 32 << 10  # head, framing and trailers of a request
MAX_OVERHEAD_FRACTION = 0.5  # of a body, for the framing of its chunks
# Header lines that are read below or by the HTTP libraries; of each, the first counts.
USED_HEADERS = frozenset(
    (
        b"content-length",
        b"expect",
        b"host",
        b"idempotency-key",
        b"request-id",
        b"request-timeout-ms",
    )
)
READ_BYTES = 16 << 10  # read at once, which bounds the time that parsing takes per turn
# Bytes parsed between two checks of the limits: some 20 of the shortest requests, each of which
# takes some 3 KB once it is parsed.
PIECE_BYTES = 512
BODY_PIECE_BYTES = 2 << 10
MAX_PIPELINED = 8  # requests parsed behind the one in progress
MAX_AHEAD_BYTES = uvicorn.protocols.http.flow_control.HIGH_WATER_LIMIT  # of a body not read yet
MAX_CONNECTIONS = 4096  # of callers, and of operators
MAX_REQUEST_ID_CHARS = 200
STOP_TIMEOUT_S = 30
FIRST_REQUEST_S = 0.3  # time for the first request on a connection that was accepted while stopping
Kind = problem.Kind
_READ_BUFFER = memoryview(bytearray(READ_BYTES))  # shared: what it holds is copied at once


class Endpoints:
    """Turns HTTP requests into events, and replies into HTTP responses."""

    def __init__(self, runtime: runtimes.Runtime) -> None:
        self._runtime = runtime

    def caller_app(self) -> starlette.routing.Router:
        """Return the application for callers and the load balancer."""
        route = starlette.routing.Route
        return starlette.routing.Router(
            routes=[
                route("/v1/services/{service}/search", self._search, methods=["POST"]),
                route("/v1/services/{service}/actions", self._act, methods=["POST"]),
                route("/livez", self._livez),
                route("/readyz", self._readyz),
            ]
        )

    def operator_app(self) -> starlette.routing.Router:
        """Return the application for operators."""
        route = starlette.routing.Route
        return starlette.routing.Router(
            routes=[route("/metrics", self._metrics), route("/state", self._state)]
        )

    async def _search(self, request: starlette.requests.Request) -> starlette.responses.Response:
        started_at = time.monotonic()
        request_id = _request_id(request)
        body = await self._read_body(request, bodies.parse_search)
        if isinstance(body, problem.Problem):
            return self._respond(body, request_id)
        number, reply = self._runtime.register_request()
        self._runtime.post(
            event.SearchArrived(
                query_no=number,
                service=request.path_params["service"],
                request_id=request_id,
                timeout_ms=request.headers.get("request-timeout-ms"),
                query=body.query,
                limit=body.limit,
            )
        )
        disconnect_watch = asyncio.ensure_future(self._watch_caller(request, number))
        try:
            result = await reply
        finally:
            disconnect_watch.cancel()
        self._runtime.metrics.record("search", time.monotonic() - started_at)
        return self._respond(result, request_id)

    async def _watch_caller(self, request: starlette.requests.Request, number: int) -> None:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            self._runtime.post(event.CallerDisconnected(number))

    async def _act(self, request: starlette.requests.Request) -> starlette.responses.Response:
        started_at = time.monotonic()
        request_id = _request_id(request)
        body = await self._read_body(request, bodies.parse_json)
        if isinstance(body, problem.Problem):
            return self._respond(body, request_id)
        number, reply = self._runtime.register_request()
        self._runtime.post(
            event.ActionArrived(
                action_no=number,
                service=request.path_params["service"],
                key=request.headers.get("idempotency-key", ""),
                timeout_ms=request.headers.get("request-timeout-ms"),
                body=body,
            )
        )
        result = await reply
        self._runtime.metrics.record("action", time.monotonic() - started_at)
        return self._respond(result, request_id)

    async def _read_body(
        self, request: starlette.requests.Request, parse: typing.Callable[[bytes], typing.Any]
    ) -> typing.Any:
        service = self._runtime.state.services.get(request.path_params["service"])
        max_bytes = service.spec.body_bytes if service else DEFAULT_MAX_BODY_BYTES
        body = bytearray()
        async for chunk in request.stream():
            body += chunk
            if len(body) > max_bytes:
                return problem.Problem(Kind.BODY_TOO_LARGE, f"the body is over {max_bytes} bytes")
        return parse(bytes(body))

    def _respond(self, reply: runtimes.Reply, request_id: str) -> starlette.responses.Response:
        headers = {"Request-Id": request_id}
        if self._runtime.state.stopping_at is not None:
            headers["Connection"] = "close"
        if isinstance(reply, problem.Problem):
            if reply.retry_after_s is not None:
                headers["Retry-After"] = str(reply.retry_after_s)
            body = msgspec.json.encode(reply.body())
            media_type = "application/problem+json"
            return starlette.responses.Response(body, reply.status, headers, media_type)
        if isinstance(reply, wire.Answer):
            reply = (200, msgspec.json.encode(reply))
        status, body = reply
        return starlette.responses.Response(body, status, headers, "application/json")

    async def _livez(self, request: starlette.requests.Request) -> starlette.responses.Response:
        return starlette.responses.PlainTextResponse("alive\n")

    async def _readyz(self, request: starlette.requests.Request) -> starlette.responses.Response:
        reason = lifecycle.unready_reason(self._runtime.state)
        headers = {"Connection": "close"} if reason else {}
        status = 503 if reason else 200
        return starlette.responses.PlainTextResponse(f"{reason or 'ready'}\n", status, headers)

    async def _metrics(self, request: starlette.requests.Request) -> starlette.responses.Response:
        text = self._runtime.metrics.render(self._runtime.state.counters)
        return starlette.responses.PlainTextResponse(text)

    async def _state(self, request: starlette.requests.Request) -> starlette.responses.Response:
        value = dump.describe(self._runtime.state, time.monotonic())
        body = msgspec.json.encode(value)
        return starlette.responses.Response(body, media_type="application/json")


def _request_id(request: starlette.requests.Request) -> str:
    request_id = request.headers.get("request-id", "")
    return request_id if 0 < len(request_id) <= MAX_REQUEST_ID_CHARS else uuid.uuid4().hex


class _Flow(uvicorn.protocols.http.flow_control.FlowControl):
    """Flow control of a connection that reads on only when its caller is not too far ahead."""

    def __init__(self, transport: asyncio.Transport, protocol: "BoundedProtocol") -> None:
        super().__init__(transport)
        self._protocol = protocol

    def resume_reading(self) -> None:
        if not self._protocol.is_ahead():
            super().resume_reading()
            self._protocol.parse_soon()


class BoundedProtocol(
    uvicorn.protocols.http.httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """Connection of a caller; closes it if a head, framing or trailers grow without end.

    Handles callers that send very many short header lines or requests: of the header lines only
    those that are used are kept, and few requests are parsed ahead of the responses. The body is
    bounded where it is read.
    """

    def __init__(self, *args: typing.Any, **fields: typing.Any) -> None:
        super().__init__(*args, **fields)
        self._is_receiving = False
        self._has_headers = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._unparsed = b""
        self._kept: set[bytes] = set()  # names of the header lines of this request that are kept

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.flow = _Flow(transport, self)
        if len(self.connections) > MAX_CONNECTIONS:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._unparsed = b""
        self.pipeline.clear()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        is_usual = len(data) <= PIECE_BYTES and not self._unparsed
        if is_usual and not self.transport.is_closing() and not self.is_ahead():
            self._parse_piece(data)
            return
        self._unparsed += data
        self._parse()

    def is_ahead(self) -> bool:
        """Return whether the caller has sent too far ahead of its responses."""
        if len(self.pipeline) >= MAX_PIPELINED:
            return True
        cycle = self.cycle
        return (
            cycle is not None and not cycle.response_complete and len(cycle.body) > MAX_AHEAD_BYTES
        )

    def parse_soon(self) -> None:
        """Go on with what was received and not parsed yet."""
        if self._unparsed:
            self.loop.call_soon(self._parse)

    def _parse(self) -> None:
        """Parse in pieces, until the caller is too far ahead or its request is refused."""
        while self._unparsed and not self.is_ahead():
            if self.transport.is_closing():
                self._unparsed = b""
                return
            size = BODY_PIECE_BYTES if self._has_headers else PIECE_BYTES
            piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._parse_piece(piece)
        if self._unparsed:
            self.flow.pause_reading()

    def _parse_piece(self, piece: bytes) -> None:
        body_bytes = self._body_bytes
        super().data_received(piece)
        if not self._is_receiving or self.transport.is_closing():
            return
        self._overhead_bytes += max(0, len(piece) - (self._body_bytes - body_bytes))
        if self._overhead_bytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_FRACTION * self._body_bytes:
            self.send_400_response("Head or framing too large.")

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._is_receiving = True
        self._has_headers = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._kept = set()

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower in USED_HEADERS and lower not in self._kept and not self._has_headers:
            self._kept.add(lower)
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._has_headers = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        super().on_body(body)
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._is_receiving = False
        self._has_headers = False

    def on_response_complete(self) -> None:
        super().on_response_complete()
        if not self.transport.is_closing():
            self.flow.resume_reading()


class Server(uvicorn.Server):
    """HTTP server that leaves the handling of signals to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._accept_tasks: list[asyncio.Task] = []

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        yield

    def bind(self) -> socket.socket:
        """Return a socket bound to the server's address; raise OSError if it is not free."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self.config.host, self.config.port))
        except OSError:
            listener.close()
            raise
        return listener

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept what the kernel has accepted already, then stop.

        Closing a listener resets the connections that wait in its backlog.
        """
        if self._accept_backlog(sockets or []):
            await asyncio.sleep(FIRST_REQUEST_S)
        await super().shutdown(sockets)

    def _accept_backlog(self, listeners: list[socket.socket]) -> int:
        """Accept waiting connections; return their number."""
        loop = asyncio.get_running_loop()
        for listener in listeners:
            for _ in range(self.config.backlog):
                try:
                    accepted, _ = listener.accept()
                except OSError:  # the backlog is empty, or the caller has already closed
                    break
                accepted.setblocking(False)
                connect = loop.connect_accepted_socket(self._make_protocol, accepted)
                self._accept_tasks.append(loop.create_task(connect))
        return len(self._accept_tasks)

    def _make_protocol(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )


def make_server(app: starlette.routing.Router, host: str, port: int) -> Server:
    """Return a server for an application."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=BoundedProtocol,
        ws="none",
        lifespan="off",
        log_level="critical",
        access_log=False,
        proxy_headers=False,
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
    )
    return Server(config)
