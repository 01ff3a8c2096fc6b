"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import typing

Headers = dict[str, str]


class Request(typing.NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes


class Response(typing.NamedTuple):
    """A complete response; header names are in lower case when received."""

    status: int
    headers: Headers
    body: bytes = b""


#: Returns the response, or None if the connection is to be closed without one.
Handler = typing.Callable[[Request], typing.Awaitable[Response | None]]


class Server:
    """Listens on one address; a request that is being handled is cancelled with its connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                response = await self._handler(request)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(encode_response(response))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only as the script ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None if the connection has ended between two requests."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, headers = _parse_head(head)
    method, target, _ = line.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Return the next response, which must state its length."""
    line, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers["content-length"]))
    return Response(int(line.split(" ")[1]), headers, body)


def _parse_head(head: bytes) -> tuple[str, Headers]:
    line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (text.partition(":") for text in lines if text)
    return line, {name.strip().lower(): value.strip() for name, _, value in pairs}


def encode_request(method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    fields = dict(headers)
    if body or method not in ("GET", "HEAD"):
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response with its length."""
    fields = {**response.headers, "Content-Length": str(len(response.body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {response.status} -\r\n{lines}\r\n".encode() + response.body


async def exchange(host: str, port: int, data: bytes, timeout_s: float) -> Response:
    """Send a request on a new connection and return the response.

    Raise OSError or asyncio.IncompleteReadError if there is none, TimeoutError if it is late.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(data)
            return await read_response(reader)
        finally:
            writer.close()
