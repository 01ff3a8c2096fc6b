"""Sends requests to leaves over persistent connections and reports their outcomes."""

import asyncio
import collections
import contextlib
import errno
import functools
import typing

import attrs
import httptools

from hyssopproxy import limit
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import header
from hyssopproxy.platform import ingress
from hyssopproxy.platform import record
from hyssopproxy.platform import statement
from hyssopproxy.transport import buffer
from hyssopproxy.transport import client
from hyssopproxy.transport import clock
from hyssopproxy.transport import message

CONNECT_TIMEOUT_S = 0.35  # TCP retransmits a lost SYN only after 1 s; retrying is faster
RESPONSE_GRACE_S = 0.3  # network delay after the deadline; a live leaf has answered by the deadline
MAX_COLD_LEFT_MS = 600_000  # longest cold start that a leaf may state
MAX_UNNAMED_STAMPS = 500  # remembered of a connection, which is then used no longer
FRESH_IDLE_S = 0.5  # a connection used within this time is not about to be closed as idle
_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
Outcome = model.Outcome
_REJECTIONS = (Outcome.SHED, Outcome.MISDIRECTED)
_OUTCOME_BY_FAILURE = {
    client.Failure.RESET: Outcome.RESET,
    client.Failure.GARBLED: Outcome.GARBLED,
    client.Failure.TOO_LARGE: Outcome.GARBLED,
}


class _LeafConnection(client.Connection):
    """A connection to a leaf; knows which of its responses may be copies of earlier ones.

    Handles leaves that send a second copy of a response, however late, while the connection carries
    another request. A response that names its request belongs to that request alone. Of those that
    name none, the stamps are remembered for as long as the connection is used, so that each is
    taken once. A response with neither ends the use of its connection, since its copy could not be
    told from the next response.

    `report` is called with the status and the headers of every response, as soon as its head is
    complete: what a leaf states of itself holds also if its response is a copy, late or cut.
    """

    def __init__(
        self,
        limits: limit.ResponseLimits,
        account: buffer.Account,
        report: typing.Callable[[int, message.Headers], None] | None = None,
    ) -> None:
        super().__init__(limits, account)
        self._report = report
        self._head_bytes = limits.head_bytes
        self.is_reusable = True  # a copy of any of its responses would be recognised
        self._names_requests = False
        self._unnamed_stamps: set[bytes] = set()  # of the responses that name no request

    def handle_head(self, status: int, headers: message.Headers) -> None:
        if self._report is not None:
            self._report(status, headers)

    def skip(self, data: bytes) -> None:
        """Read the head of a late response, after which the connection is closed."""
        with contextlib.suppress(httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._parser.feed_data(data[: self._head_bytes])

    def is_response_to(self, request_id: bytes, response: message.Response) -> bool:
        """Return whether a response belongs to the request in flight."""
        echoed = response.get_header(header.REQUEST_ID)
        if echoed is not None:
            self._names_requests = True
            return echoed == request_id
        stamp = response.get_header(header.SERVER_STAMP)
        if stamp in self._unnamed_stamps:
            return False
        if stamp is not None:
            self._unnamed_stamps.add(stamp)
        if stamp is None or len(self._unnamed_stamps) >= MAX_UNNAMED_STAMPS:
            self.is_reusable = False
        # A leaf that names requests leaves that out only where it turns one away.
        return not self._names_requests or classify(response) in _REJECTIONS


@attrs.define(eq=False)
class _Exchange:
    """An attempt in flight, with its request and connection."""

    attempt: effect.Send
    request: ingress.ForwardedRequest
    connection: _LeafConnection | None = None  # None until the request is written
    timer: asyncio.TimerHandle | None = None
    is_cancelled: bool = False
    is_last: bool = False  # its connection carries no further request


_Key = tuple[str, int]  # id and start time of a leaf: connections to one incarnation


def _key_of(attempt: effect.Send) -> _Key:
    return attempt.target_id, attempt.started_at_ms


class LeafClient:
    """Sends attempts to leaves and keeps a pool of idle connections to each leaf."""

    def __init__(
        self,
        post: typing.Callable[[typing.Any], None],
        limits: limit.ResponseLimits,
        account: buffer.Account,
    ) -> None:
        self._post = post
        self._limits = limits
        self._account = account
        self._idle: dict[_Key, list[_LeafConnection]] = {}  # most recently used last
        self._exchanges: dict[int, _Exchange] = {}
        self._in_flight: collections.Counter = collections.Counter()  # by key
        self._tasks: set[asyncio.Task] = set()

    def send(self, attempt: effect.Send, request: ingress.ForwardedRequest) -> None:
        """Send an attempt on an idle connection, or on a new one if there is none."""
        exchange = _Exchange(attempt, request)
        max_idle_s = FRESH_IDLE_S if attempt.needs_fresh_connection else float("inf")
        connection = self._acquire_idle(_key_of(attempt), max_idle_s)
        self._exchanges[attempt.attempt_no] = exchange
        self._in_flight[_key_of(attempt)] += 1
        if connection is not None:
            self._handle_connected(exchange, connection)
            return
        self._evict_idle(attempt)
        task = asyncio.get_running_loop().create_task(self._connect(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self, attempt_no: int, only_unsent: bool, ends_unsent: bool = False) -> None:
        """Cancel an attempt; a request that is not yet written is never sent.

        With `only_unsent`, a request that was written continues. With `ends_unsent`, one that was
        not ends as expired at once, otherwise once its connection is open.
        """
        exchange = self._exchanges.get(attempt_no)
        if exchange is None:
            return
        exchange.is_cancelled = True
        if exchange.connection is None and ends_unsent:
            exchange.is_last = True
            self._end_attempt(exchange, Outcome.EXPIRED)
        if exchange.connection is not None and not only_unsent:
            self._remove(attempt_no)
            exchange.timer.cancel()
            exchange.connection.close()

    def close_target(self, key: _Key) -> None:
        """Close the idle connections to a leaf, and those in use after their response."""
        for connection in self._idle.pop(key, ()):
            connection.close()
        for exchange in self._exchanges.values():
            if _key_of(exchange.attempt) == key:
                exchange.is_last = True

    def _acquire_idle(self, key: _Key, max_idle_s: float) -> _LeafConnection | None:
        now = clock.read()
        usable = []
        for connection in self._idle.pop(key, ()):
            if connection.is_usable(now):
                usable.append(connection)
            else:
                connection.close()
        if not usable:
            return None
        self._idle[key] = usable
        return usable.pop() if usable[-1].idle_s(now) <= max_idle_s else None

    def _evict_idle(self, attempt: effect.Send) -> None:
        """Close idle connections so that a new one stays within the daemon's share of the limit."""
        key = _key_of(attempt)
        idle = self._idle.get(key, [])
        while idle and len(idle) + self._in_flight[key] > attempt.max_connections:
            idle.pop(0).close()

    async def _connect(self, exchange: _Exchange) -> None:
        host, _, port = exchange.attempt.address.rpartition(":")
        loop = asyncio.get_running_loop()
        make_connection = functools.partial(self._make_connection, exchange.attempt)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(make_connection, host, int(port))
        except TimeoutError:
            self._end_attempt(exchange, Outcome.CONNECT)
        except OSError as error:
            is_local = error.errno in _LOCAL_ERRORS
            self._end_attempt(exchange, Outcome.LOCAL if is_local else Outcome.CONNECT)
        except Exception:  # any fault; the event loop logs it
            self._end_attempt(exchange, Outcome.RESET, detail="internal_error")
            raise
        else:
            self._handle_connected(exchange, connection)

    def _make_connection(self, attempt: effect.Send) -> _LeafConnection:
        report = functools.partial(self._report, attempt.target_id, attempt.started_at_ms)
        return _LeafConnection(self._limits, self._account, report)

    def _report(
        self, target_id: str, started_at_ms: int, status: int, headers: message.Headers
    ) -> None:
        """Post what a leaf states of itself."""
        stated = statement.parse(target_id, started_at_ms, status, headers)
        if stated is not None:
            self._post(stated)

    def _handle_connected(self, exchange: _Exchange, connection: _LeafConnection) -> None:
        now = clock.read()
        if exchange.is_cancelled or now > exchange.attempt.not_after:
            self._release(exchange, connection)
            self._end_attempt(exchange, Outcome.EXPIRED)
        elif connection.is_usable(now):
            self._write(exchange, connection)
        else:
            self._end_attempt(exchange, Outcome.CONNECT)

    def _write(self, exchange: _Exchange, connection: _LeafConnection) -> None:
        attempt = exchange.attempt
        request = exchange.request
        exchange.connection = connection
        loop = asyncio.get_running_loop()
        timeout_s = attempt.time_left_s + RESPONSE_GRACE_S
        exchange.timer = loop.call_later(timeout_s, self._time_out, exchange)
        attempt_headers = [
            (header.SEND_DEADLINE, b"%d" % max(1, int(attempt.time_left_s * 1000))),
            (header.SEND_EXPECTED_INSTANCE, attempt.target_id.encode("latin-1", "replace")),
        ]
        if attempt.organisation:
            attempt_headers.append((header.SEND_TENANT, attempt.organisation.encode("ascii")))
        data = request.head + message.encode_headers(attempt_headers) + b"\r\n" + request.body

        def is_expected(response: message.Response) -> bool:
            return connection.is_response_to(request.request_id, response)

        def finish(response: message.Response | None, failure: client.Failure | None) -> None:
            self._finish(exchange, response, failure)

        connection.send(data, finish, is_expected, not request.is_head_request)

    def _finish(
        self,
        exchange: _Exchange,
        response: message.Response | None,
        failure: client.Failure | None,
    ) -> None:
        exchange.timer.cancel()
        if response is None:
            self._end_attempt(exchange, _OUTCOME_BY_FAILURE[failure], detail=failure.value)
            return
        self._release(exchange, exchange.connection)
        outcome = classify(response)
        reply: message.Response | record.Part = response
        top_k = exchange.attempt.top_k
        if top_k is not None and outcome is Outcome.ANSWERED:
            stamp = response.get_header(header.SERVER_STAMP)
            reply = record.make_part(stamp, response.body, top_k)
            if not _can_be_listed(stamp):
                outcome = Outcome.GARBLED
        self._end_attempt(
            exchange,
            outcome,
            reply,
            retry_after_s=parse_seconds(response.get_header(header.RETRY_AFTER)),
            cold_left_s=parse_cold_left_s(response.get_header(header.WARMUP_REMAINING)),
        )

    def _time_out(self, exchange: _Exchange) -> None:
        exchange.connection.close()
        self._end_attempt(exchange, Outcome.TIMEOUT)

    def _release(self, exchange: _Exchange, connection: _LeafConnection) -> None:
        is_kept = connection.is_reusable and not exchange.is_last
        if is_kept and connection.is_usable(clock.read()):
            self._idle.setdefault(_key_of(exchange.attempt), []).append(connection)
        else:
            connection.close()

    def _remove(self, attempt_no: int) -> _Exchange | None:
        exchange = self._exchanges.pop(attempt_no, None)
        if exchange is not None:
            key = _key_of(exchange.attempt)
            self._in_flight[key] -= 1
            if self._in_flight[key] <= 0:
                del self._in_flight[key]
        return exchange

    def _end_attempt(
        self,
        exchange: _Exchange,
        outcome: Outcome,
        reply: message.Response | record.Part | None = None,
        **details: typing.Any,
    ) -> None:
        attempt_no = exchange.attempt.attempt_no
        if self._remove(attempt_no) is not None:
            self._post(event.AttemptEnded(attempt_no, outcome, reply, **details))


def classify(response: message.Response) -> Outcome:
    """Classify a complete response as the outcome of its attempt."""
    if response.status == 421:
        return Outcome.MISDIRECTED
    if response.get_header(header.NOT_EXECUTED) is not None:
        return Outcome.SHED
    if response.get_header(header.SERVER_STAMP) is None:
        return Outcome.GARBLED
    return Outcome.ANSWERED if 200 <= response.status < 300 else Outcome.FAILED


def _can_be_listed(stamp: bytes) -> bool:
    """Return whether a stamp can be an entry of a list whose entries commas separate."""
    return bool(stamp) and not any(separator in stamp for separator in b", \t")


def parse_cold_left_s(milliseconds: bytes | None) -> float | None:
    """Return the remaining cold start that a leaf states, in seconds; None if it states none."""
    if milliseconds is None or not milliseconds.isdigit():
        return None
    return min(int(milliseconds[:9]), MAX_COLD_LEFT_MS) / 1000


def parse_seconds(value: bytes | None) -> float:
    """Return a number of seconds; 0 if it is missing, negative or not a number."""
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        return 0.0
