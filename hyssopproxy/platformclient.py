"""Clients that read the configuration and the VM list from the platform."""

import abc
import time
import typing

import aiohttp
import msgspec

from hyssopproxy import effect as effects
from hyssopproxy import event as events
from hyssopproxy import model
from hyssopproxy import payload

READ_TIMEOUT_S = 3.0  # in addition to the wait time of a long poll


class PlatformClient(abc.ABC):
    """Reads from the platform; results are posted as events."""

    #: Receives the events that result from a read.
    post: typing.Callable[[typing.Any], None]

    @abc.abstractmethod
    async def read_config(self, effect: effects.ReadConfig) -> None:
        """Long-poll the configuration; post the outcome."""

    @abc.abstractmethod
    async def read_vms(self) -> None:
        """Read the list of VMs; post `VMListArrived` on success."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpPlatformClient(PlatformClient):
    """Client of the platform's HTTP service."""

    def __init__(self, address: str, post: typing.Callable[[typing.Any], None]) -> None:
        self.post = post
        self._base = f"http://{address}/v1"
        self._session = aiohttp.ClientSession(**payload.SESSION_ARGUMENTS)

    async def read_config(self, effect: effects.ReadConfig) -> None:
        requested_at = time.monotonic()
        try:
            self.post(await self._poll(effect, requested_at))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.post(events.ConfigReadFailed(f"{type(error).__name__}: {error}"))

    async def _poll(self, effect: effects.ReadConfig, requested_at: float) -> typing.Any:
        async with self._session.get(
            f"{self._base}/config",
            params={"after": effect.after, "wait_ms": effect.wait_ms},
            timeout=aiohttp.ClientTimeout(total=effect.wait_ms / 1000 + READ_TIMEOUT_S),
        ) as response:
            if response.status == 304:
                return events.ConfigUnchanged(requested_at)
            if response.status != 200:
                return events.ConfigReadFailed(f"status {response.status}")
            blob = await response.content.read(model.MAX_CONFIG_BYTES + 1)
            while not response.content.at_eof() and len(blob) <= model.MAX_CONFIG_BYTES:
                blob += await response.content.read(model.MAX_CONFIG_BYTES + 1 - len(blob))
            return events.ConfigArrived(blob, requested_at)

    async def read_vms(self) -> None:
        try:
            async with self._session.get(
                f"{self._base}/vms", timeout=aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
            ) as response:
                vm_list = msgspec.json.decode(await payload.read(response), type=dict)
            leaving = vm_list.get("leaving", [])
            self.post(events.VMListArrived(frozenset(str(vm) for vm in leaving)))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
            payload.InvalidBodyError,
        ):
            return

    async def close(self) -> None:
        await self._session.close()
