"""Clients that speak a target's protocol."""

import abc
import errno
import time
import typing

import aiohttp
import msgspec

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import wire

Post = typing.Callable[[typing.Any], None]
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.EADDRNOTAVAIL)
CONTROL_TIMEOUT_S = 1.0  # of cancel calls and status probes
STATE_HEADER = "Target-State"


class TargetClient(abc.ABC):
    """Carries out the effects that speak to targets; results come back as events."""

    #: Takes the events that a call leads to.
    post: Post

    @abc.abstractmethod
    async def search(self, sent: effect.SendSearch) -> None:
        """Send sub-searches; post `LinesArrived` for each piece and `RequestEnded` at the end."""

    @abc.abstractmethod
    async def act(self, sent: effect.SendAction) -> None:
        """Send an action; post `ActionEnded`."""

    @abc.abstractmethod
    async def cancel(self, sent: effect.SendCancel) -> None:
        """Tell a target which sub-searches nobody waits for."""

    @abc.abstractmethod
    async def probe(self, sent: effect.ProbeStatus) -> None:
        """Ask for the status; post `StatusArrived`."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ExpiredError(Exception):
    """The clock passed `not_after` before the first byte."""


async def _check_clock(session, context, params) -> None:
    not_after = context.trace_request_ctx
    if not_after is not None and time.monotonic() > not_after:
        raise ExpiredError


def _clock_check() -> aiohttp.TraceConfig:
    """Return hooks that check the clock once a connection is at hand."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_check_clock)
    trace.on_connection_create_end.append(_check_clock)
    return trace


class HttpTargetClient(TargetClient):
    """HTTP and JSON over kept connections; the reducer bounds how many there are."""

    def __init__(self, post: Post) -> None:
        self.post = post
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[_clock_check()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # An action on a kept connection that the target closes would end unknown.
        self._action_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            trace_configs=[_clock_check()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._cancels: dict[str, list[tuple[str, str]]] = {}

    async def search(self, sent: effect.SendSearch) -> None:
        failure = await self._guard(self._search(sent))
        self.post(event.RequestEnded(sent.request_no, failure))

    async def _search(self, sent: effect.SendSearch) -> event.Failure | None:
        async with self._session.post(
            f"http://{sent.address}/v1/search",
            data=msgspec.json.encode(sent.searches),
            headers={
                "Content-Type": "application/json",
                "Flush-Interval-Ms": str(sent.flush_interval_ms),
            },
            timeout=aiohttp.ClientTimeout(total=sent.timeout_s),
            trace_request_ctx=sent.not_after,
        ) as response:
            if response.status != 200:
                return event.Failure.GARBLED
            state = read_state(response.headers.get(STATE_HEADER))
            rest = b""
            async for piece in response.content.iter_any():
                *lines, rest = (rest + piece).split(b"\n")
                parsed = tuple(_parse_line(line) for line in lines if line)
                if parsed:
                    self.post(event.LinesArrived(sent.request_no, parsed, state))
            return event.Failure.GARBLED if rest else None

    async def act(self, sent: effect.SendAction) -> None:
        ended: list[event.ActionEnded] = []
        failure = await self._guard(self._act(sent, ended))
        if failure is not None:
            ended = [event.ActionEnded(sent.action_no, failure)]
        self.post(ended[0])

    async def _act(self, sent: effect.SendAction, ended: list[event.ActionEnded]) -> None:
        async with self._action_session.post(
            f"http://{sent.address}/v1/actions",
            data=msgspec.json.encode(sent.body),
            headers={"Content-Type": "application/json", "Idempotency-Key": sent.key},
            timeout=aiohttp.ClientTimeout(total=sent.timeout_s),
            trace_request_ctx=sent.not_after,
        ) as response:
            body = await response.read()
            if response.headers.get("Idempotency-Key") != sent.key:
                raise aiohttp.ClientPayloadError("the reply names another key")
            ended.append(
                event.ActionEnded(
                    action_no=sent.action_no,
                    failure=None,
                    status=response.status,
                    body=body,
                    not_run=response.status == 503 and _says_not_run(body),
                    target_state=read_state(response.headers.get(STATE_HEADER)),
                )
            )

    async def cancel(self, sent: effect.SendCancel) -> None:
        """Send one cancel call at a time to a target; later items join the next one."""
        if sent.address in self._cancels:
            self._cancels[sent.address].extend(sent.items)
            return
        self._cancels[sent.address] = list(sent.items)
        while self._cancels[sent.address]:
            items, self._cancels[sent.address] = self._cancels[sent.address], []
            await self._guard(self._cancel(sent.address, items))
        del self._cancels[sent.address]

    async def _cancel(self, address: str, items: list[tuple[str, str]]) -> None:
        body = [{"request_id": request_id, "shard": shard} for request_id, shard in items]
        async with self._session.post(
            f"http://{address}/v1/cancel",
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
        ) as response:
            await response.read()

    async def probe(self, sent: effect.ProbeStatus) -> None:
        states: list[event.TargetState] = []
        await self._guard(self._probe(sent.address, states))
        self.post(event.StatusArrived(sent.address, states[0] if states else None))

    async def _probe(self, address: str, states: list[event.TargetState]) -> None:
        async with self._session.get(
            f"http://{address}/v1/status", timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        ) as response:
            await response.read()
            states.append(read_state(response.headers.get(STATE_HEADER)))

    async def _guard(self, call: typing.Awaitable) -> event.Failure | None:
        """Return the failure of a call, or what it returns itself."""
        try:
            return await call
        except ExpiredError:
            return event.Failure.EXPIRED
        except aiohttp.ConnectionTimeoutError:
            return event.Failure.CONNECT
        except aiohttp.ClientConnectorError as error:
            is_local = error.os_error.errno in LOCAL_ERRNOS
            return event.Failure.LOCAL if is_local else event.Failure.CONNECT
        except TimeoutError:
            return event.Failure.TIMEOUT
        except (aiohttp.ClientError, OSError):
            return event.Failure.RESET

    async def close(self) -> None:
        await self._session.close()
        await self._action_session.close()


def _parse_line(line: bytes) -> wire.Line | None:
    try:
        return wire.LINE_DECODER.decode(line)
    except wire.DECODE_ERRORS:
        return None


def read_state(header: str | None) -> event.TargetState:
    """Return what a Target-State header says; warm when it is absent or unknown."""
    if header == "cold":
        return event.TargetState.COLD
    if header == "draining":
        return event.TargetState.DRAINING
    return event.TargetState.WARM


def _says_not_run(body: bytes) -> bool:
    try:
        value = msgspec.json.decode(body)
    except wire.DECODE_ERRORS:
        return False
    return isinstance(value, dict) and value.get("execution") == "not_run"
