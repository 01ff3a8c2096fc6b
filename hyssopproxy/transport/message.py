"""HTTP/1.1 messages and their encoding."""

import itertools
import typing

import attrs

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_NOT_FORWARDED = HOP_BY_HOP | {b"content-length"}  # which the daemon writes itself
_BLOCK_LINES = 64  # header lines that are held as pairs while a head of many is forwarded
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    410: b"Gone",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CompactHeaders:
    """Many header lines in one bytes object; iterates over the pairs like a list of them."""

    __slots__ = ("_lines",)

    def __init__(self, lines: bytes) -> None:
        self._lines = b"\r\n" + lines  # as `encode_headers` returns them

    def __iter__(self) -> typing.Iterator[tuple[bytes, bytes]]:
        lines = self._lines
        start = 2
        while start < len(lines):
            name_end = lines.index(b": ", start)
            end = lines.index(b"\r\n", name_end)
            yield lines[start:name_end], lines[name_end + 2 : end]
            start = end + 2

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; `name` must be in lower case."""
        position = self._lines.lower().find(b"\r\n" + name + b": ")
        if position < 0:
            return None
        start = position + len(name) + 4
        return self._lines[start : self._lines.index(b"\r\n", start)]


@attrs.define(eq=False)
class Request:
    """A complete request, with the case of header names as received."""

    method: bytes
    target: bytes
    headers: Headers | CompactHeaders
    body: bytes = b""
    cost_bytes: int = 0  # memory that the request takes

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; `name` must be in lower case."""
        return get_header(self.headers, name)


@attrs.define(eq=False)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes = b""

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None; `name` must be in lower case."""
        return get_header(self.headers, name)


def get_header(headers: Headers | CompactHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; `name` must be in lower case."""
    if type(headers) is CompactHeaders:
        return headers.find(name)
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(
    headers: Headers | CompactHeaders, excluded: typing.Container[bytes] = ()
) -> Headers:
    """Return the headers to forward, without hop-by-hop, framing and `excluded` ones."""
    return _select(headers, _find_hop_by_hop(headers), excluded)


def encode_end_to_end(
    headers: Headers | CompactHeaders, excluded: typing.Container[bytes] = ()
) -> bytes:
    """Encode the headers to forward; of many lines, only some are held as pairs at a time."""
    if type(headers) is not CompactHeaders:
        return encode_headers(end_to_end_headers(headers, excluded))
    hop_by_hop = _find_hop_by_hop(headers)
    pairs = iter(headers)
    encoded = bytearray()
    while block := list(itertools.islice(pairs, _BLOCK_LINES)):
        encoded += encode_headers(_select(block, hop_by_hop, excluded))
    return bytes(encoded)


def _select(
    headers: typing.Iterable[tuple[bytes, bytes]],
    hop_by_hop: set[bytes],
    excluded: typing.Container[bytes],
) -> Headers:
    return [
        pair
        for pair in headers
        if (lower := pair[0].lower()) not in _NOT_FORWARDED
        and lower not in hop_by_hop
        and lower not in excluded
    ]


def _find_hop_by_hop(headers: Headers | CompactHeaders) -> set[bytes]:
    """Return the names, in lower case, that `Connection` headers list."""
    hop_by_hop: set[bytes] = set()
    if type(headers) is CompactHeaders and headers.find(b"connection") is None:
        return hop_by_hop
    for key, value in headers:
        if key.lower() == b"connection":
            hop_by_hop.update(part.strip().lower() for part in value.split(b","))
    return hop_by_hop


def encode_headers(headers: typing.Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode headers as lines that end with CRLF.

    >>> encode_headers([(b"A", b"1")])
    b'A: 1\\r\\n'
    """
    return b"".join([key + b": " + value + b"\r\n" for key, value in headers])


def encode_response(response: Response, keep_alive: bool, has_body: bool = True) -> bytes:
    """Encode a response with a Content-Length header."""
    reason = _REASONS.get(response.status, b"-")
    head = b"HTTP/1.1 %d %s\r\n" % (response.status, reason)
    extra = b"Content-Length: %d\r\n" % len(response.body)
    if not keep_alive:
        extra += b"Connection: close\r\n"
    body = response.body if has_body else b""
    return head + encode_headers(response.headers) + extra + b"\r\n" + body
