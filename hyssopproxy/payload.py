"""Reads the bodies of HTTP responses up to a limit.

Handles servers that send a body without end: reading stops at the limit and the connection is
closed.
"""

import typing

import aiohttp

from hyssopproxy import limit

MAX_BODY_BYTES = 1 << 20  # of a response that is read as a whole
MAX_LINE_BYTES = 1 << 20  # of one line of a streamed response
MAX_STREAM_BYTES = 32 << 20  # of all lines of a streamed response

#: Arguments of client sessions: limits on heads, and no decompression, which has no limit.
SESSION_ARGUMENTS: dict[str, typing.Any] = {
    "auto_decompress": False,
    "headers": {"Accept-Encoding": "identity"},
    "max_line_size": limit.ResponseLimits().head_bytes,
    "max_field_size": limit.ResponseLimits().head_bytes,
}


class InvalidBodyError(Exception):
    """A body exceeds its limit or ends within a line."""


async def read(response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the body; raise InvalidBodyError if it is larger than `max_bytes`."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise InvalidBodyError(f"the body is over {max_bytes} bytes")
    return bytes(body)


async def read_lines(response: aiohttp.ClientResponse) -> typing.AsyncIterator[list[bytes]]:
    """Yield the complete lines of each chunk of a body.

    Raise `InvalidBodyError` if a line or the body is too large, or the last line has no
    end.
    """
    partial_line = b""
    received_bytes = 0
    async for chunk in response.content.iter_any():
        received_bytes += len(chunk)
        if received_bytes > MAX_STREAM_BYTES or len(partial_line) > MAX_LINE_BYTES:
            raise InvalidBodyError("the body or a line of it is too large")
        *lines, partial_line = (partial_line + chunk).split(b"\n")
        yield [line for line in lines if line]
    if partial_line:
        raise InvalidBodyError("the body ends within a line")
