"""Responses without end, as servers in trouble send them until the client closes."""

import asyncio

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n%b\r\n"
_BLOCK = b"x" * 65536
_LINES = b"X-Filler: 1\r\n" * 1000

#: By name: what is sent once, with a place for the headers of the response, and what is repeated.
RESPONSES = {
    "endless_head": (_OK + b"%bX-Filler: ", _BLOCK),
    "endless_headers": (_OK + b"%b", _LINES),
    "endless_short_headers": (_OK + b"%b", b"a:\r\n" * 4000),
    "endless_informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "endless_garbage": (b"", b"\x00" * 65536),
    "endless_body": (_OK + b"%b\r\n", _BLOCK),
    "endless_length": (_OK + b"Content-Length: 1000000000000\r\n%b\r\n", _BLOCK),
    "endless_chunks": (_CHUNKED, b"10000\r\n" + _BLOCK + b"\r\n"),
    "endless_small_chunks": (_CHUNKED, b"1\r\nx\r\n" * 10000),
    "endless_extension": (_CHUNKED + b"1;x=", _BLOCK),
    "endless_trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", _LINES),
    "endless_short_trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n" * 4000),
    "endless_trailer": (_CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", _BLOCK),
}
#: By name: complete responses to no request, repeated without end.
ANSWERS = {
    f"endless_answers_{body_bytes}": _OK
    + b"Server-Stamp: x.none\r\nRequest-Id: none\r\nContent-Length: %d\r\n\r\n" % body_bytes
    + b"x" * body_bytes
    for body_bytes in (0, 100, 1 << 20)
}
#: The valid response, followed by bytes without end.
AFTER = "endless_after"
#: The same at one byte a second, which no limit on size ends.
TRICKLE = "trickle"


async def send(writer: asyncio.StreamWriter, name: str, headers: bytes) -> None:
    """Send a response without end; raise ConnectionError once the client has closed."""
    if name == TRICKLE:
        writer.write(_OK + b"Content-Length: 1000000\r\n" + headers + b"\r\n")
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(1.0)
    opening, block = (b"", ANSWERS[name]) if name in ANSWERS else RESPONSES[name]
    writer.write(opening % headers if b"%b" in opening else opening)
    while True:
        writer.write(block)
        await writer.drain()
