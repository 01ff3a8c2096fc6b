"""HTTP helpers that the emulators share."""

import typing

import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import uvicorn

from hyssopproxy import address


def serve(
    app: starlette.applications.Starlette, listen: str, max_connections: int | None = None
) -> None:
    """Serve until a signal; respond with 503 above the maximum number of connections."""
    parsed = address.parse(listen)
    uvicorn.run(
        app,
        host=parsed.host,
        port=parsed.port,
        http="httptools",
        loop="asyncio",
        ws="none",
        lifespan="off",
        log_level="critical",
        access_log=False,
        limit_concurrency=max_connections,
        timeout_graceful_shutdown=1,
    )


async def read_json(request: starlette.requests.Request) -> typing.Any:
    """Return the JSON body."""
    return msgspec.json.decode(await request.body())


def respond(value: typing.Any, status: int = 200) -> starlette.responses.Response:
    """Return a JSON response."""
    body = msgspec.json.encode(value)
    return starlette.responses.Response(body, status, media_type="application/json")
