"""HTTP client for daemons, used by the command-line tool."""

import asyncio
import typing
import uuid

import aiohttp
import msgspec

from hyssopproxy import problem

TIMEOUT_S = 30.0


async def search(
    address: str, service: str, query: typing.Any, limit: int | None, timeout_ms: int | None
) -> tuple[int, dict]:
    """Send a search; return the status and the body of the response."""
    body = {"query": query} | ({} if limit is None else {"limit": limit})
    headers = {} if timeout_ms is None else {"Request-Timeout-Ms": str(timeout_ms)}
    return await _post(f"http://{address}/v1/services/{service}/search", body, headers)


async def act(
    address: str, service: str, body: dict, key: str | None, timeout_ms: int | None
) -> tuple[int, dict]:
    """Send an action, with a generated key if None; return status and body of the response."""
    headers = {"Idempotency-Key": key or uuid.uuid4().hex}
    if timeout_ms is not None:
        headers["Request-Timeout-Ms"] = str(timeout_ms)
    return await _post(f"http://{address}/v1/services/{service}/actions", body, headers)


async def read_state(address: str) -> dict:
    """Return the state dump that a daemon serves at its operator address."""
    return (await _request("GET", f"http://{address}/state", None, {}))[1]


async def read_states(addresses: list[str]) -> list[dict | str]:
    """Return the state dump of each daemon, or the error message if it could not be read."""
    results = await asyncio.gather(*map(read_state, addresses), return_exceptions=True)
    return [str(result) if isinstance(result, BaseException) else result for result in results]


async def _post(url: str, body: dict, headers: dict) -> tuple[int, dict]:
    headers = {"Content-Type": "application/json", **headers}
    return await _request("POST", url, msgspec.json.encode(body), headers)


async def _request(method: str, url: str, body: bytes | None, headers: dict) -> tuple[int, dict]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(method, url, data=body, headers=headers) as response:
                return response.status, msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
        remedy = "check the address and that the daemon runs there"
        raise problem.UserError([f"{url}: {error or type(error).__name__}: {remedy}"]) from None
