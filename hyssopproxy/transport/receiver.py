"""Parses the requests of a connection within the limits of its heads, bodies and framing.

Handles callers that nobody controls: heads of very many short lines, or of lines without end. Once
parsed, such a line costs some thirty times its size, so a head of many lines is kept as bytes.
"""

import collections

import httptools

from hyssopproxy import limit
from hyssopproxy.transport import message

# Bytes that are parsed between two checks of the limits. A typical head fits, and no more than some
# 50 of the shortest requests do.
PIECE_BYTES = 1 << 10
BODY_PIECE_BYTES = 256 << 10  # of a body whose length is stated; it costs no more than its bytes
CHUNKS_PIECE_BYTES = 4 << 10  # of another body
MIN_LINE_BYTES = 4  # of the shortest legal header line, `a:` with CRLF
LINE_END_BYTES = 3  # a colon and CRLF; white space around a value is not counted
ENCODED_END_BYTES = 4  # a colon, a space and CRLF, as `message.encode_headers` writes them
LIST_LINES = 64  # header lines that are kept as a list of pairs; a typical request has fewer
# Memory of a pair in a list: the tuple with its place (72 bytes) and two bytes objects (2 x 33), as
# `sys.getsizeof` states them on CPython 3.11, apart from the text.
PAIR_COST_BYTES = 140
REQUEST_COST_BYTES = 400  # of a request's objects, apart from its header lines and body
# Bytes read at once, which bounds the time that one connection takes from the event loop per turn:
# some 4,000 of the shortest header lines, or 5 ms with their forwarding.
READ_BYTES = 16 << 10
# Shared by all connections, since the bytes are parsed or copied before another one reads.
READ_BUFFER = memoryview(bytearray(BODY_PIECE_BYTES))
_SHORT_READ_BUFFER = READ_BUFFER[:READ_BYTES]
MAX_OVERHEAD_FRACTION = 0.5  # of a body, for the framing of its chunks


class Receiver:
    """Parser of one connection's requests; `requests` are those that are complete."""

    def __init__(self, limits: limit.Limits, max_lines: int = 0) -> None:
        self.limits = limits
        self.max_lines = max_lines  # of a head; 0: as many as `limits.header_bytes` allows
        self.requests: collections.deque[message.Request] = collections.deque()
        self.requests_cost = 0  # memory of `requests` in bytes
        self.error: tuple[int, str] | None = None  # why nothing more is parsed
        self.is_reading = False  # a request is partly received
        self.has_headers = False  # the head of that request is complete
        self.keep_alive = True
        self.wants_continue = False  # the caller waits for an informational response
        self.message_no = 0  # of the request that is being received
        self.head_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._headers: message.Headers = []
        self._lines = bytearray()  # earlier header lines of a head of many
        self._line_count = 0  # of `_lines`
        self._blocks = 0  # of `LIST_LINES` header lines, of all heads
        self._line_bytes = 0  # of a complete head: its header lines, as they were sent at least
        self._target = b""
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._body_left = 0  # bytes of a body whose length is stated
        self._offers_upgrade = False  # the request that is being received
        self._overhead_bytes = 0  # framing and trailers of the body

    @property
    def held_bytes(self) -> int:
        """Memory of the incomplete request and of the complete ones."""
        cost = self.requests_cost + len(self._body) + self.head_bytes
        return cost + PAIR_COST_BYTES * LIST_LINES if self.is_reading else cost

    @property
    def body_bytes(self) -> int:
        """Size of the incomplete body."""
        return self._body_bytes

    @property
    def effort(self) -> int:
        """What was parsed so far, in typical requests; many header lines count as several."""
        return self.message_no + self._blocks

    @property
    def piece_bytes(self) -> int:
        """How many bytes may be fed at once."""
        if self._body_left > PIECE_BYTES:
            return min(self._body_left, BODY_PIECE_BYTES)
        return CHUNKS_PIECE_BYTES if self.has_headers else PIECE_BYTES

    @property
    def read_buffer(self) -> memoryview:
        """Where the next bytes are read to."""
        return READ_BUFFER if self._body_left > READ_BYTES else _SHORT_READ_BUFFER

    def feed(self, piece: bytes | memoryview) -> None:
        """Parse bytes; complete requests are added to `requests`."""
        if not self.is_reading:
            self.head_bytes = 0
        body_bytes = self._body_bytes
        message_no = self.message_no if self.has_headers else None
        if not self.has_headers:
            self.head_bytes += len(piece)
        self._parse(piece)
        if not self.has_headers and self.head_bytes > self.limits.header_bytes:
            self.reject(431, "header fields too large")
        if message_no == self.message_no:
            self._overhead_bytes += len(piece) - (self._body_bytes - body_bytes)
        if self.is_reading and self.has_headers:
            self._check_overhead()
        if self.error is not None:
            self._drop_incomplete()

    def take(self) -> message.Request:
        """Remove and return the next complete request."""
        request = self.requests.popleft()
        self.requests_cost -= request.cost_bytes
        return request

    def reject(self, status: int, reason: str) -> None:
        """Refuse what is being received; the first reason counts."""
        if self.error is None:
            self.error = (status, reason)

    def drop(self) -> None:
        """Free everything that is held."""
        self.requests.clear()
        self.requests_cost = 0
        self._drop_incomplete()

    def _drop_incomplete(self) -> None:
        self._parser = None  # ends the reference cycle, so that the memory is freed at once
        self.is_reading = False
        self._headers = []
        self._lines = bytearray()
        self._line_count = 0
        self._line_bytes = 0
        self._target = b""
        self._body = b""
        self._body_bytes = 0
        self._body_left = 0
        self.head_bytes = 0

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; a request that offers an upgrade is parsed again as an ordinary one.

        The parser stops at the end of a head with such an offer. A server may ignore the offer
        (RFC 9110, 7.8); the request then has its body as usual.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                if self._parser.get_method() == b"CONNECT":
                    self.reject(501, "tunnels are not supported")
                if self.error is not None:
                    return
                head = self._encode_head_without_offer()
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as error:
                self.reject(400, str(error)[:80])
                return

    def _encode_head_without_offer(self) -> bytes:
        headers = []
        for name, value in self._take_headers():
            if name.lower() == b"connection":
                options = [option.strip() for option in value.split(b",")]
                value = b", ".join(option for option in options if option.lower() != b"upgrade")
            if name.lower() != b"upgrade":
                headers.append((name, value))
        version = self._parser.get_http_version().encode()
        line = b"%s %s HTTP/%s\r\n" % (self._parser.get_method(), self._target, version)
        return line + message.encode_headers(headers) + b"\r\n"

    def _check_overhead(self) -> None:
        """Reject the incomplete request if its framing or trailers grow without end."""
        max_overhead = self.limits.header_bytes + MAX_OVERHEAD_FRACTION * self._body_bytes
        if self._overhead_bytes > max_overhead:
            self.reject(400, "framing or trailers too large")

    # httptools

    def on_message_begin(self) -> None:
        self.message_no += 1
        self.is_reading = True
        self.has_headers = False
        self._headers = []
        self._line_count = 0
        self._line_bytes = 0
        self._target = b""
        self._body = b""
        self._body_bytes = 0
        self._body_left = 0
        self._overhead_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.has_headers or self.error is not None:  # a trailer, or nothing more is needed
            return
        headers = self._headers
        headers.append((name, value.rstrip(b" \t")))  # the parser keeps trailing space
        if len(headers) >= LIST_LINES:
            self._check_head()
            self._lines += message.encode_headers(headers)
            self._line_count += len(headers)
            self._blocks += 1
            self._headers = []

    def _check_head(self) -> None:
        """Reject a head that exceeds a limit."""
        count = self._line_count + len(self._headers)
        size = LINE_END_BYTES * count + sum(
            [len(name) + len(value) for name, value in self._headers]
        )
        if self._line_count:
            size += len(self._lines) - ENCODED_END_BYTES * self._line_count
        self._line_bytes = size
        header_bytes = self.limits.header_bytes
        if len(self._target) + size > header_bytes:
            self.reject(431, "header fields too large")
        elif count > (self.max_lines or header_bytes // MIN_LINE_BYTES):
            self.reject(431, "too many header fields")

    def _take_headers(self) -> message.Headers | message.CompactHeaders:
        """Return the header lines that were received, as bytes if they are many."""
        headers, self._headers = self._headers, []
        if not self._lines:
            return headers
        self._lines += message.encode_headers(headers)
        lines, self._lines = bytes(self._lines), bytearray()
        return message.CompactHeaders(lines)

    def on_headers_complete(self) -> None:
        self._offers_upgrade = self._parser.should_upgrade()
        self._check_head()
        if self._offers_upgrade:
            return
        self.has_headers = True
        self._headers = self._take_headers()
        expected = message.get_header(self._headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self.wants_continue = True
        length = message.get_header(self._headers, b"content-length")
        if length is not None:
            self._body_left = int(length)
            if self._body_left > self.limits.body_bytes:
                self.reject(413, "body too large")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        self._body_left -= len(body)
        if self._body_bytes > self.limits.body_bytes:
            self.reject(413, "body too large")
        elif self.error is None:
            if not self._body:
                self._body = body
                return
            if type(self._body) is bytes:
                self._body = bytearray(self._body)
            self._body += body

    def on_message_complete(self) -> None:
        if self._offers_upgrade:
            return
        self.is_reading = False
        self.has_headers = False
        self.head_bytes = 0
        self._body_left = 0
        if self.error is not None:
            return
        if not self._parser.should_keep_alive():
            self.keep_alive = False
        request = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            cost_bytes=REQUEST_COST_BYTES
            + len(self._target)
            + self._line_bytes
            + (0 if self._line_count else PAIR_COST_BYTES * len(self._headers))
            + self._body_bytes,
        )
        self._headers = []
        self._body = b""
        self._body_bytes = 0
        self.requests.append(request)
        self.requests_cost += request.cost_bytes
