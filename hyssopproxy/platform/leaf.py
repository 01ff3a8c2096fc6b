"""Sends requests to leafs over kept connections and tells how each ended."""

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

CONNECT_TIMEOUT_S = 0.35  # a lost opening packet is sent again only after a second
ANSWER_GRACE_S = 0.3  # a leaf answers at the deadline it was given; later it is silent
FRESH_S = 0.5  # a connection used this lately is not about to be closed as idle
_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
Outcome = model.Outcome


@attrs.define(eq=False)
class _Exchange:
    """One attempt on its way."""

    wanted: effect.Send
    request: ingress.Forwarded
    connection: client.Connection | None = None  # None until it is written
    timer: asyncio.TimerHandle | None = None
    is_withdrawn: bool = False


class LeafClient:
    """Connections to all leafs."""

    def __init__(self, post: typing.Callable[[typing.Any], None]) -> None:
        self._post = post
        self._idle: dict[str, list[client.Connection]] = {}  # by target id, newest last
        self._exchanges: dict[int, _Exchange] = {}
        self._busy: collections.Counter = collections.Counter()  # exchanges by target id
        self._tasks: set[asyncio.Task] = set()

    def send(self, wanted: effect.Send, request: ingress.Forwarded) -> None:
        """Send one attempt on a kept connection, or on a new one."""
        exchange = _Exchange(wanted, request)
        longest_idle_s = FRESH_S if wanted.needs_fresh_connection else float("inf")
        connection = self._take_idle(wanted.target_id, longest_idle_s)
        self._exchanges[wanted.attempt_no] = exchange
        self._busy[wanted.target_id] += 1
        if connection is not None:
            self._write(exchange, connection)
            return
        self._make_room(wanted)
        task = asyncio.get_running_loop().create_task(self._open(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self, attempt_no: int, only_unsent: bool) -> None:
        """End an attempt; one that is not yet written is never sent."""
        exchange = self._exchanges.get(attempt_no)
        if exchange is None:
            return
        exchange.is_withdrawn = True
        if exchange.connection is not None and not only_unsent:
            self._forget(attempt_no)
            exchange.timer.cancel()
            exchange.connection.close()

    def close_target(self, target_id: str) -> None:
        """Close the idle connections to a leaf."""
        for connection in self._idle.pop(target_id, ()):
            connection.close()

    def _take_idle(self, target_id: str, longest_idle_s: float) -> client.Connection | None:
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
        return usable.pop() if usable[-1].idle_s(now) <= longest_idle_s else None

    def _make_room(self, wanted: effect.Send) -> None:
        """Close idle connections that a new one would take over the daemon's part of the cap."""
        idle = self._idle.get(wanted.target_id, [])
        while idle and len(idle) + self._busy[wanted.target_id] > wanted.max_connections:
            idle.pop(0).close()

    async def _open(self, exchange: _Exchange) -> None:
        host, _, port = exchange.wanted.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(client.Connection, host, int(port))
        except TimeoutError:
            self._end(exchange, Outcome.CONNECT)
        except OSError as error:
            is_local = error.errno in _LOCAL_ERRORS
            self._end(exchange, Outcome.LOCAL if is_local else Outcome.CONNECT)
        else:
            self._use(exchange, connection)

    def _use(self, exchange: _Exchange, connection: client.Connection) -> None:
        now = clock.read()
        if exchange.is_withdrawn or now > exchange.wanted.not_after:
            self._keep(exchange.wanted.target_id, connection)
            self._end(exchange, Outcome.EXPIRED)
        elif connection.is_usable(now):
            self._write(exchange, connection)
        else:
            self._end(exchange, Outcome.CONNECT)

    def _write(self, exchange: _Exchange, connection: client.Connection) -> None:
        wanted = exchange.wanted
        request = exchange.request
        exchange.connection = connection
        loop = asyncio.get_running_loop()
        timeout_s = wanted.time_left_s + ANSWER_GRACE_S
        exchange.timer = loop.call_later(timeout_s, self._time_out, exchange)
        own = (
            (header.SEND_DEADLINE, b"%d" % max(1, int(wanted.time_left_s * 1000))),
            (header.SEND_EXPECTED_INSTANCE, wanted.target_id.encode("latin-1", "replace")),
        )
        data = request.head + message.encode_headers(own) + b"\r\n" + request.body

        def accepts(response: message.Response) -> bool:
            echoed = response.get_header(header.REQUEST_ID)
            return echoed is None or echoed == request.request_id

        def finish(response: message.Response | None, failure: client.Failure | None) -> None:
            self._finish(exchange, response, failure)

        connection.send(data, finish, accepts)

    def _finish(
        self,
        exchange: _Exchange,
        response: message.Response | None,
        failure: client.Failure | None,
    ) -> None:
        exchange.timer.cancel()
        if response is None:
            is_reset = failure is client.Failure.RESET
            self._end(exchange, Outcome.RESET if is_reset else Outcome.GARBLED)
            return
        self._keep(exchange.wanted.target_id, exchange.connection)
        retry_after_s = _read_seconds(response.get_header(header.RETRY_AFTER))
        self._end(exchange, judge(response), response, retry_after_s)

    def _time_out(self, exchange: _Exchange) -> None:
        exchange.connection.close()
        self._end(exchange, Outcome.TIMEOUT)

    def _keep(self, target_id: str, connection: client.Connection) -> None:
        if connection.is_usable(clock.read()):
            self._idle.setdefault(target_id, []).append(connection)
        else:
            connection.close()

    def _forget(self, attempt_no: int) -> _Exchange | None:
        exchange = self._exchanges.pop(attempt_no, None)
        if exchange is not None:
            target_id = exchange.wanted.target_id
            self._busy[target_id] -= 1
            if self._busy[target_id] <= 0:
                del self._busy[target_id]
        return exchange

    def _end(
        self,
        exchange: _Exchange,
        outcome: Outcome,
        response: message.Response | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        number = exchange.wanted.attempt_no
        if self._forget(number) is None:
            return
        self._post(event.AttemptEnded(number, outcome, response, retry_after_s))


def judge(response: message.Response) -> Outcome:
    """Return what a complete response says."""
    if response.status == 421:
        return Outcome.MISDIRECTED
    if response.get_header(header.NOT_EXECUTED) is not None:
        return Outcome.SHED
    if response.get_header(header.SERVER_STAMP) is None:
        return Outcome.GARBLED
    return Outcome.ANSWERED if 200 <= response.status < 300 else Outcome.FAILED


def _read_seconds(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        return 0.0
