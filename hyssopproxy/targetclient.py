"""Clients for the protocol of targets."""

import abc
import errno
import time
import typing

import aiohttp
import msgspec

from hyssopproxy import effect as effects
from hyssopproxy import event as events
from hyssopproxy import payload
from hyssopproxy import wire

Post = typing.Callable[[typing.Any], None]
LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.EADDRNOTAVAIL)
FINAL_STATUSES = range(200, 600)  # status codes of a final response (RFC 9110, section 15)
CONTROL_TIMEOUT_S = 1.0  # for cancel requests and status probes
TARGET_STATE_HEADER = "Target-State"


class TargetClient(abc.ABC):
    """Executes the effects that send requests to targets; results are posted as events."""

    #: Receives the events that result from a request.
    post: Post

    @abc.abstractmethod
    async def search(self, effect: effects.SendSearch) -> None:
        """Send sub-searches; post `LinesArrived` for each chunk and `RequestEnded` at the end."""

    @abc.abstractmethod
    async def act(self, effect: effects.SendAction) -> None:
        """Send an action; post `ActionEnded`."""

    @abc.abstractmethod
    async def cancel(self, effect: effects.SendCancel) -> None:
        """Cancel sub-searches whose results are no longer needed."""

    @abc.abstractmethod
    async def probe(self, effect: effects.ProbeStatus) -> None:
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
    """Sends JSON over HTTP; searches reuse connections, whose number the reducer limits."""

    def __init__(self, post: Post) -> None:
        self.post = post
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[_expiry_trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
            **payload.SESSION_ARGUMENTS,
        )
        # Actions use new connections: if the target closed a reused one, it would be unknown
        # whether the action ran.
        self._action_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            trace_configs=[_expiry_trace_config()],
            cookie_jar=aiohttp.DummyCookieJar(),
            **payload.SESSION_ARGUMENTS,
        )
        self._cancels: dict[str, list[tuple[str, str]]] = {}

    async def search(self, effect: effects.SendSearch) -> None:
        failure = await self._catch_failure(self._search(effect))
        self.post(events.RequestEnded(effect.request_no, failure))

    async def _search(self, effect: effects.SendSearch) -> events.Failure | None:
        async with self._session.post(
            f"http://{effect.address}/v1/search",
            data=msgspec.json.encode(effect.searches),
            headers={
                "Content-Type": "application/json",
                "Flush-Interval-Ms": str(effect.flush_interval_ms),
            },
            timeout=aiohttp.ClientTimeout(total=effect.timeout_s),
            trace_request_ctx=effect.not_after,
        ) as response:
            if response.status != 200:
                return events.Failure.GARBLED
            state = parse_target_state(response.headers.get(TARGET_STATE_HEADER))
            async for lines in payload.read_lines(response):
                if lines:
                    parsed = tuple(_parse_line(line) for line in lines)
                    self.post(events.LinesArrived(effect.request_no, parsed, state))
            return None

    async def act(self, effect: effects.SendAction) -> None:
        ended: list[events.ActionEnded] = []
        failure = await self._catch_failure(self._act(effect, ended))
        if failure is not None:
            ended = [events.ActionEnded(effect.action_no, failure)]
        self.post(ended[0])

    async def _act(
        self, effect: effects.SendAction, ended: list[events.ActionEnded]
    ) -> events.Failure | None:
        async with self._action_session.post(
            f"http://{effect.address}/v1/actions",
            data=msgspec.json.encode(effect.body),
            headers={"Content-Type": "application/json", "Idempotency-Key": effect.key},
            timeout=aiohttp.ClientTimeout(total=effect.timeout_s),
            trace_request_ctx=effect.not_after,
        ) as response:
            if response.status not in FINAL_STATUSES:
                return events.Failure.GARBLED
            body = await payload.read(response)
            if response.headers.get("Idempotency-Key") != effect.key:
                raise aiohttp.ClientPayloadError("the reply has a different Idempotency-Key")
            ended.append(
                events.ActionEnded(
                    action_no=effect.action_no,
                    failure=None,
                    status=response.status,
                    body=body,
                    not_run=response.status == 503 and _states_not_run(body),
                    target_state=parse_target_state(response.headers.get(TARGET_STATE_HEADER)),
                )
            )
            return None

    async def cancel(self, effect: effects.SendCancel) -> None:
        """Send one cancel request at a time to a target; items added meanwhile go into the next."""
        if effect.address in self._cancels:
            self._cancels[effect.address].extend(effect.items)
            return
        self._cancels[effect.address] = list(effect.items)
        while self._cancels[effect.address]:
            items, self._cancels[effect.address] = self._cancels[effect.address], []
            await self._catch_failure(self._cancel(effect.address, items))
        del self._cancels[effect.address]

    async def _cancel(self, address: str, items: list[tuple[str, str]]) -> None:
        body = [{"request_id": request_id, "shard": shard} for request_id, shard in items]
        async with self._session.post(
            f"http://{address}/v1/cancel",
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S),
        ) as response:
            await payload.read(response)

    async def probe(self, effect: effects.ProbeStatus) -> None:
        states: list[events.TargetState] = []
        await self._catch_failure(self._probe(effect.address, states))
        self.post(events.StatusArrived(effect.address, states[0] if states else None))

    async def _probe(self, address: str, states: list[events.TargetState]) -> None:
        async with self._session.get(
            f"http://{address}/v1/status", timeout=aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        ) as response:
            await payload.read(response)
            states.append(parse_target_state(response.headers.get(TARGET_STATE_HEADER)))

    async def _catch_failure(self, request: typing.Awaitable) -> events.Failure | None:
        """Await a request; return its result, or the failure if it raised an error."""
        try:
            return await request
        except ExpiredError:
            return events.Failure.EXPIRED
        except aiohttp.ConnectionTimeoutError:
            return events.Failure.CONNECT
        except aiohttp.ClientConnectorError as error:
            is_local = error.os_error.errno in LOCAL_ERRNOS
            return events.Failure.LOCAL if is_local else events.Failure.CONNECT
        except TimeoutError:
            return events.Failure.TIMEOUT
        except payload.InvalidBodyError:
            return events.Failure.GARBLED
        except (aiohttp.ClientError, OSError):
            return events.Failure.RESET

    async def close(self) -> None:
        await self._session.close()
        await self._action_session.close()


def _parse_line(line: bytes) -> wire.Line | None:
    try:
        return wire.LINE_DECODER.decode(line)
    except wire.DECODE_ERRORS:
        return None


def parse_target_state(header: str | None) -> events.TargetState:
    """Return the state in a Target-State header; warm if it is absent or unknown."""
    if header == "cold":
        return events.TargetState.COLD
    if header == "draining":
        return events.TargetState.DRAINING
    return events.TargetState.WARM


def _states_not_run(body: bytes) -> bool:
    try:
        value = msgspec.json.decode(body)
    except wire.DECODE_ERRORS:
        return False
    return isinstance(value, dict) and value.get("execution") == "not_run"
