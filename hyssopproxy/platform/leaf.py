"""Sends requests to leaves over persistent connections and reports their outcomes."""

import asyncio
import collections
import errno
import typing

import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import header
from hyssopproxy.platform import ingress
from hyssopproxy.transport import client
from hyssopproxy.transport import clock
from hyssopproxy.transport import message

CONNECT_TIMEOUT_S = 0.35  # TCP retransmits a lost SYN only after 1 s; retrying is faster
RESPONSE_GRACE_S = 0.3  # network delay after the deadline; a live leaf has answered by the deadline
FRESH_IDLE_S = 0.5  # a connection used within this time is not about to be closed as idle
_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
Outcome = model.Outcome


@attrs.define(eq=False)
class _Exchange:
    """An attempt in flight, with its request and connection."""

    attempt: effect.Send
    request: ingress.ForwardedRequest
    connection: client.Connection | None = None  # None until the request is written
    timer: asyncio.TimerHandle | None = None
    is_cancelled: bool = False


class LeafClient:
    """Sends attempts to leaves and keeps a pool of idle connections to each leaf."""

    def __init__(self, post: typing.Callable[[typing.Any], None]) -> None:
        self._post = post
        self._idle: dict[str, list[client.Connection]] = {}  # by target id, most recently used last
        self._exchanges: dict[int, _Exchange] = {}
        self._in_flight: collections.Counter = collections.Counter()  # by target id
        self._tasks: set[asyncio.Task] = set()

    def send(self, attempt: effect.Send, request: ingress.ForwardedRequest) -> None:
        """Send an attempt on an idle connection, or on a new one if there is none."""
        exchange = _Exchange(attempt, request)
        max_idle_s = FRESH_IDLE_S if attempt.needs_fresh_connection else float("inf")
        connection = self._acquire_idle(attempt.target_id, max_idle_s)
        self._exchanges[attempt.attempt_no] = exchange
        self._in_flight[attempt.target_id] += 1
        if connection is not None:
            self._write(exchange, connection)
            return
        self._evict_idle(attempt)
        task = asyncio.get_running_loop().create_task(self._connect(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self, attempt_no: int, only_unsent: bool) -> None:
        """Cancel an attempt; a request that is not yet written is never sent.

        With `only_unsent`, a request that was written continues.
        """
        exchange = self._exchanges.get(attempt_no)
        if exchange is None:
            return
        exchange.is_cancelled = True
        if exchange.connection is not None and not only_unsent:
            self._remove(attempt_no)
            exchange.timer.cancel()
            exchange.connection.close()

    def close_target(self, target_id: str) -> None:
        """Close the idle connections to a leaf."""
        for connection in self._idle.pop(target_id, ()):
            connection.close()

    def _acquire_idle(self, target_id: str, max_idle_s: float) -> client.Connection | None:
        now = clock.read()
        usable = []
        for connection in self._idle.pop(target_id, ()):
            if connection.is_usable(now):
                usable.append(connection)
            else:
                connection.close()
        if not usable:
            return None
        self._idle[target_id] = usable
        return usable.pop() if usable[-1].idle_s(now) <= max_idle_s else None

    def _evict_idle(self, attempt: effect.Send) -> None:
        """Close idle connections so that a new one stays within the daemon's share of the limit."""
        idle = self._idle.get(attempt.target_id, [])
        while idle and len(idle) + self._in_flight[attempt.target_id] > attempt.max_connections:
            idle.pop(0).close()

    async def _connect(self, exchange: _Exchange) -> None:
        host, _, port = exchange.attempt.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(client.Connection, host, int(port))
        except TimeoutError:
            self._end_attempt(exchange, Outcome.CONNECT)
        except OSError as error:
            is_local = error.errno in _LOCAL_ERRORS
            self._end_attempt(exchange, Outcome.LOCAL if is_local else Outcome.CONNECT)
        else:
            self._handle_connected(exchange, connection)

    def _handle_connected(self, exchange: _Exchange, connection: client.Connection) -> None:
        now = clock.read()
        if exchange.is_cancelled or now > exchange.attempt.not_after:
            self._release(exchange.attempt.target_id, connection)
            self._end_attempt(exchange, Outcome.EXPIRED)
        elif connection.is_usable(now):
            self._write(exchange, connection)
        else:
            self._end_attempt(exchange, Outcome.CONNECT)

    def _write(self, exchange: _Exchange, connection: client.Connection) -> None:
        attempt = exchange.attempt
        request = exchange.request
        exchange.connection = connection
        loop = asyncio.get_running_loop()
        timeout_s = attempt.time_left_s + RESPONSE_GRACE_S
        exchange.timer = loop.call_later(timeout_s, self._time_out, exchange)
        attempt_headers = (
            (header.SEND_DEADLINE, b"%d" % max(1, int(attempt.time_left_s * 1000))),
            (header.SEND_EXPECTED_INSTANCE, attempt.target_id.encode("latin-1", "replace")),
        )
        data = request.head + message.encode_headers(attempt_headers) + b"\r\n" + request.body

        def is_expected(response: message.Response) -> bool:
            echoed = response.get_header(header.REQUEST_ID)
            return echoed is None or echoed == request.request_id

        def finish(response: message.Response | None, failure: client.Failure | None) -> None:
            self._finish(exchange, response, failure)

        connection.send(data, finish, is_expected)

    def _finish(
        self,
        exchange: _Exchange,
        response: message.Response | None,
        failure: client.Failure | None,
    ) -> None:
        exchange.timer.cancel()
        if response is None:
            is_reset = failure is client.Failure.RESET
            self._end_attempt(exchange, Outcome.RESET if is_reset else Outcome.GARBLED)
            return
        self._release(exchange.attempt.target_id, exchange.connection)
        retry_after_s = _parse_seconds(response.get_header(header.RETRY_AFTER))
        self._end_attempt(exchange, classify(response), response, retry_after_s)

    def _time_out(self, exchange: _Exchange) -> None:
        exchange.connection.close()
        self._end_attempt(exchange, Outcome.TIMEOUT)

    def _release(self, target_id: str, connection: client.Connection) -> None:
        if connection.is_usable(clock.read()):
            self._idle.setdefault(target_id, []).append(connection)
        else:
            connection.close()

    def _remove(self, attempt_no: int) -> _Exchange | None:
        exchange = self._exchanges.pop(attempt_no, None)
        if exchange is not None:
            target_id = exchange.attempt.target_id
            self._in_flight[target_id] -= 1
            if self._in_flight[target_id] <= 0:
                del self._in_flight[target_id]
        return exchange

    def _end_attempt(
        self,
        exchange: _Exchange,
        outcome: Outcome,
        response: message.Response | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        attempt_no = exchange.attempt.attempt_no
        if self._remove(attempt_no) is None:
            return
        self._post(event.AttemptEnded(attempt_no, outcome, response, retry_after_s))


def classify(response: message.Response) -> Outcome:
    """Classify a complete response as the outcome of its attempt."""
    if response.status == 421:
        return Outcome.MISDIRECTED
    if response.get_header(header.NOT_EXECUTED) is not None:
        return Outcome.SHED
    if response.get_header(header.SERVER_STAMP) is None:
        return Outcome.GARBLED
    return Outcome.ANSWERED if 200 <= response.status < 300 else Outcome.FAILED


def _parse_seconds(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        return 0.0
