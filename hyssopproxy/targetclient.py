"""Clients for the protocol of targets."""

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
CONTROL_TIMEOUT_S = 1.0  # for cancel requests and status probes
TARGET_STATE_HEADER = "Target-State"


class TargetClient(abc.ABC):
    """Performs the effects that send requests to targets; results are posted as events."""

    #: Receives the events that result from a request.
    post: Post

    @abc.abstractmethod
    async def search(self, command: effect.SendSearch) -> None:
        """Send sub-searches; post `LinesArrived` for each chunk and `RequestEnded` at the end."""

    @abc.abstractmethod
    async def act(self, command: effect.SendAction) -> None:
        """Send an action; post `ActionEnded`."""

    @abc.abstractmethod
    async def cancel(self, command: effect.SendCancel) -> None:
        """Tell a target which sub-searches are no longer needed."""

    @abc.abstractmethod
    async def probe(self, command: effect.ProbeStatus) -> None:
        """Request the status of a target; post `StatusArrived`."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class ExpiredError(Exception):
    """`not_after` passed before the first byte was sent."""


async def _check_not_after(session, context, params) -> None:
    not_after = context.trace_request_ctx
    if not_after is not None and time.monotonic() > not_after:
        raise ExpiredError


def _expiry_trace_config() -> aiohttp.TraceConfig:
    """Return hooks that check `not_after` once a connection is ready, before a byte is sent."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_check_not_after)
    trace.on_connection_create_end.append(_check_not_after)
    return trace


class HttpTargetClient(TargetClient):
    """JSON over HTTP, searches on persistent connections; the reducer limits their number."""

    def __init__(self, post: Post) -> None:
        self.post = post
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[_expiry_trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # Actions use new connections: if the target closed a reused one, it would be unknown
        # whether the action ran.
        self._action_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            trace_configs=[_expiry_trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._cancels: dict[str, list[tuple[str, str]]] = {}

    async def search(self, command: effect.SendSearch) -> None:
        failure = await self._catch_failure(self._search(command))
        self.post(event.RequestEnded(command.request_no, failure))

    async def _search(self, command: effect.SendSearch) -> event.Failure | None:
        async with self._session.post(
            f"http://{command.address}/v1/search",
            data=msgspec.json.encode(command.searches),
            headers={
                "Content-Type": "application/json",
                "Flush-Interval-Ms": str(command.flush_interval_ms),
            },
            timeout=aiohttp.ClientTimeout(total=command.timeout_s),
            trace_request_ctx=command.not_after,
        ) as response:
            if response.status != 200:
                return event.Failure.GARBLED
            state = parse_target_state(response.headers.get(TARGET_STATE_HEADER))
            partial_line = b""
            async for chunk in response.content.iter_any():
                *lines, partial_line = (partial_line + chunk).split(b"\n")
                parsed = tuple(_parse_line(line) for line in lines if line)
                if parsed:
                    self.post(event.LinesArrived(command.request_no, parsed, state))
            return event.Failure.GARBLED if partial_line else None

    async def act(self, command: effect.SendAction) -> None:
        ended: list[event.ActionEnded] = []
        failure = await self._catch_failure(self._act(command, ended))
        if failure is not None:
            ended = [event.ActionEnded(command.action_no, failure)]
        self.post(ended[0])

    async def _act(self, command: effect.SendAction, ended: list[event.ActionEnded]) -> None:
        async with self._action_session.post(
            f"http://{command.address}/v1/actions",
            data=msgspec.json.encode(command.body),
            headers={"Content-Type": "application/json", "Idempotency-Key": command.key},
            timeout=aiohttp.ClientTimeout(total=command.timeout_s),
            trace_request_ctx=command.not_after,
        ) as response:
            body = await response.read()
            if response.headers.get("Idempotency-Key") != command.key:
                raise aiohttp.ClientPayloadError("the reply has a different Idempotency-Key")
            ended.append(
                event.ActionEnded(
                    action_no=command.action_no,
                    failure=None,
                    status=response.status,
                    body=body,
                    not_run=response.status == 503 and _states_not_run(body),
                    target_state=parse_target_state(response.headers.get(TARGET_STATE_HEADER)),
                )
            )

    async def cancel(self, command: effect.SendCancel) -> None:
        """Send one cancel request at a time to a target; items added meanwhile go into the next."""
        if command.address in self._cancels:
            self._cancels[command.address].extend(command.items)
            return
        self._cancels[command.address] = list(command.items)
        while self._cancels[command.address]:
            items, self._cancels[command.address] = self._cancels[command.address], []
            await self._catch_failure(self._cancel(command.address, items))
        del self._cancels[command.address]

    async def _cancel(self, address: str, items: list[tuple[str, str]]) -> None:
        body = [{"request_id": request_id, "shard": shard} for request_id, shard in items]
        async with self._session.post(
            f"http://{address}/v1/cancel",
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
        ) as response:
            await response.read()

    async def probe(self, command: effect.ProbeStatus) -> None:
        states: list[event.TargetState] = []
        await self._catch_failure(self._probe(command.address, states))
        self.post(event.StatusArrived(command.address, states[0] if states else None))

    async def _probe(self, address: str, states: list[event.TargetState]) -> None:
        async with self._session.get(
            f"http://{address}/v1/status", timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        ) as response:
            await response.read()
            states.append(parse_target_state(response.headers.get(TARGET_STATE_HEADER)))

    async def _catch_failure(self, request: typing.Awaitable) -> event.Failure | None:
        """Await a request; return its result, or the failure if it raised an error."""
        try:
            return await request
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


def parse_target_state(header: str | None) -> event.TargetState:
    """Return the state in a Target-State header; warm if it is absent or unknown."""
    if header == "cold":
        return event.TargetState.COLD
    if header == "draining":
        return event.TargetState.DRAINING
    return event.TargetState.WARM


def _states_not_run(body: bytes) -> bool:
    try:
        value = msgspec.json.decode(body)
    except wire.DECODE_ERRORS:
        return False
    return isinstance(value, dict) and value.get("execution") == "not_run"
