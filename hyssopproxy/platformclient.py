"""Clients that read what the platform publishes."""

import abc
import time
import typing

import aiohttp
import msgspec

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import model

READ_TIMEOUT_S = 3.0  # over the time of the watch itself


class PlatformClient(abc.ABC):
    """Reads the platform; results come back as events."""

    #: Takes the events that a read leads to.
    post: typing.Callable[[typing.Any], None]

    @abc.abstractmethod
    async def read_config(self, sent: effect.ReadConfig) -> None:
        """Watch the configuration; post how the watch ended."""

    @abc.abstractmethod
    async def read_vms(self) -> None:
        """Read the list of VMs; post `VMListArrived` when it comes."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpPlatformClient(PlatformClient):
    """The platform's HTTP service."""

    def __init__(self, address: str, post: typing.Callable[[typing.Any], None]) -> None:
        self.post = post
        self._base = f"http://{address}/v1"
        self._session = aiohttp.ClientSession()

    async def read_config(self, sent: effect.ReadConfig) -> None:
        requested_at = time.monotonic()
        try:
            self.post(await self._watch(sent, requested_at))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.post(event.ConfigReadFailed(f"{type(error).__name__}: {error}"))

    async def _watch(self, sent: effect.ReadConfig, requested_at: float) -> typing.Any:
        async with self._session.get(
            f"{self._base}/config",
            params={"after": sent.after, "wait_ms": sent.wait_ms},
            timeout=aiohttp.ClientTimeout(total=sent.wait_ms / 1000 + READ_TIMEOUT_S),
        ) as response:
            if response.status == 304:
                return event.ConfigUnchanged(requested_at)
            if response.status != 200:
                return event.ConfigReadFailed(f"status {response.status}")
            blob = await response.content.read(model.MAX_CONFIG_BYTES + 1)
            while not response.content.at_eof() and len(blob) <= model.MAX_CONFIG_BYTES:
                blob += await response.content.read(model.MAX_CONFIG_BYTES + 1 - len(blob))
            return event.ConfigArrived(blob, requested_at)

    async def read_vms(self) -> None:
        try:
            async with self._session.get(
                f"{self._base}/vms", timeout=aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
            ) as response:
                listed = msgspec.json.decode(await response.read(), type=dict)
            leaving = listed.get("leaving", [])
            self.post(event.VMListArrived(frozenset(str(vm) for vm in leaving)))
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return

    async def close(self) -> None:
        await self._session.close()
