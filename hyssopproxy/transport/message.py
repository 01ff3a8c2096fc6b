"""HTTP/1.1 messages and their encoding."""

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
_FRAMING = frozenset((b"content-length",))
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


@attrs.define(eq=False)
class Request:
    """A complete request, with the case of header names as received."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

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


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; `name` must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers, excluded: typing.Container[bytes] = ()) -> Headers:
    """Return the headers to forward, without hop-by-hop, framing and `excluded` ones."""
    hop_by_hop = set()
    for key, value in headers:
        if key.lower() == b"connection":
            hop_by_hop.update(part.strip().lower() for part in value.split(b","))
    forwarded = []
    for key, value in headers:
        lower = key.lower()
        if lower in HOP_BY_HOP or lower in _FRAMING or lower in hop_by_hop or lower in excluded:
            continue
        forwarded.append((key, value))
    return forwarded


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
