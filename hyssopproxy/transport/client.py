"""HTTP/1.1 client connection that carries one request at a time and never retries.

The callback of a request receives the complete response, or the reason why there is none. Bytes
that belong to no request make the connection unusable for further requests.

Handles servers in trouble: responses that are cut, doubled or garbled, and bytes that arrive
without end, in a head, a body or its framing, or as complete responses to no request.
"""

import asyncio
import enum
import typing

import httptools

from hyssopproxy import limit
from hyssopproxy.transport import buffer
from hyssopproxy.transport import clock
from hyssopproxy.transport import message

DEFAULT_IDLE_S = 8.0  # idle timeout assumed when the server's Keep-Alive header states none
STATUSES = range(100, 600)  # valid status codes (RFC 9110, section 15); the parser takes any
MAX_OVERHEAD_FRACTION = 0.5  # of a body, for the framing of its chunks
MAX_SKIPPED = 8  # responses to earlier requests that are dropped while a request is in flight
MAX_IDLE_S = 3600.0
IDLE_MARGIN_S = 0.6  # reuse ends this long before the server's idle timeout (network delay)


class Failure(enum.Enum):
    """Why a request got no valid response."""

    RESET = "reset"
    GARBLED = "garbled"
    TOO_LARGE = "too_large"  # the response exceeds a limit


#: Called with either the response or the failure.
Callback = typing.Callable[[message.Response | None, Failure | None], None]


class Connection(asyncio.Protocol, buffer.Holder):
    """A client connection to a server.

    `account` limits what all connections that share it buffer together.
    """

    def __init__(
        self,
        limits: limit.ResponseLimits | None = None,
        account: buffer.Account | None = None,
    ) -> None:
        self._limits = limits or limit.ResponseLimits()
        self._account = account or buffer.Account(self._limits.body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._callback: Callback | None = None
        self._accepts: typing.Callable[[message.Response], bool] | None = None
        self._has_response_body = True
        self._headers: message.Headers = []
        self._header_bytes = 0
        self._overhead_bytes = 0  # heads and framing of the response, apart from its body
        self._skipped = 0  # responses to earlier requests, since the request was sent
        self._body = bytearray()
        self._received_body_bytes = 0  # of all responses on this connection
        self._has_headers = False
        self._is_in_message = False
        self._is_too_large = False
        self._must_close = False  # not reusable, e.g. after bytes that belong to no request
        self._expires_at = 0.0
        self._last_used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._last_used_at = clock.read()
        self._expires_at = self._last_used_at + DEFAULT_IDLE_S

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent on this idle connection."""
        return self.is_open() and now < self._expires_at

    def idle_s(self, now: float) -> float:
        """Return the seconds since the connection was opened or last used."""
        return now - self._last_used_at

    def is_open(self) -> bool:
        """Return whether the connection is open and reusable and has no request in flight."""
        is_closed = self._transport is None or self._transport.is_closing()
        return not is_closed and not self._must_close and self._callback is None

    def send(
        self,
        data: bytes,
        callback: Callback,
        accepts: typing.Callable[[message.Response], bool] | None = None,
        has_response_body: bool = True,
    ) -> None:
        """Write a request.

        `accepts` returns whether a response belongs to this request; a response to an earlier
        request is dropped. The response to a HEAD request has no body, whatever length it states.
        """
        self._callback = callback
        self._accepts = accepts
        self._has_response_body = has_response_body
        self._overhead_bytes = 0
        self._skipped = 0
        self._transport.write(data)

    def close(self) -> None:
        """Abort the connection without calling the callback."""
        self._callback = None
        self._release_buffer()
        if self._transport is not None:
            self._transport.abort()

    def skip(self, data: bytes) -> None:
        """Handle bytes that belong to no request; the connection is closed afterwards."""

    def handle_head(self, status: int, headers: message.Headers) -> None:
        """Handle the complete head of a response, whichever request it belongs to."""

    def drop_buffer(self) -> None:
        """End the exchange because all connections together buffer too much."""
        self._must_close = True
        self._finish(None, Failure.TOO_LARGE)
        self.close()

    # asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        if self._callback is None:
            self._must_close = True
            self.skip(data)
            self.close()
            return
        body_bytes = self._received_body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._must_close = True
            self._finish(None, Failure.TOO_LARGE if self._is_too_large else Failure.GARBLED)
        if self._callback is not None:
            self._overhead_bytes += len(data) - (self._received_body_bytes - body_bytes)
            self._check_growth()
        if self._must_close and self._callback is None:
            self.close()

    def _check_growth(self) -> None:
        """End the exchange if the incomplete response exceeds a limit.

        Heads, trailers and the framing of chunks may take as much as a head, and in addition a
        fraction of the body: parsing tiny chunks costs far more time than their bytes suggest.
        """
        body_bytes = len(self._body)
        if self._overhead_bytes > self._limits.head_bytes + MAX_OVERHEAD_FRACTION * body_bytes:
            self._must_close = True
            self._finish(None, Failure.TOO_LARGE)
        else:
            self._account.update(self, body_bytes)

    def eof_received(self) -> bool:
        if self._callback is not None and self._is_close_delimited():
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # ends the reference cycle, so that the memory is freed at once
        self._finish(None, Failure.RESET)

    def _is_close_delimited(self) -> bool:
        """Return whether the response has no length and ends when the connection closes."""
        if not (self._has_headers and self._is_in_message):
            return False
        if message.get_header(self._headers, b"content-length") is not None:
            return False
        return message.get_header(self._headers, b"transfer-encoding") is None

    # httptools

    def on_message_begin(self) -> None:
        if self._callback is None:
            self._must_close = True
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_headers = False
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if (
            len(self._headers) >= self._limits.header_count
            or self._header_bytes > self._limits.head_bytes
        ):
            self._reject_size()
        if not self._has_headers:  # otherwise it is a trailer
            self._headers.append((name, value.rstrip(b" \t")))  # the parser keeps trailing space

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise ValueError(f"invalid status {status}")
        self._has_headers = True
        self.handle_head(status, self._headers)
        if not self._has_response_body and status >= 200:
            self._must_close = True  # the parser waits for a body that does not follow
            self._complete()

    def on_body(self, body: bytes) -> None:
        if self._callback is None:
            return
        if len(self._body) + len(body) > self._limits.body_bytes:
            self._reject_size()
        self._body += body
        self._received_body_bytes += len(body)

    def _reject_size(self) -> typing.NoReturn:
        """Make the parser stop, because the response exceeds a limit."""
        self._is_too_large = True
        raise ValueError("the response exceeds a limit")

    def on_message_complete(self) -> None:
        self._complete()

    def _complete(self) -> None:
        self._is_in_message = False
        status = self._parser.get_status_code()
        if status < 200:
            return
        if self._callback is None:
            self._must_close = True
            return
        response = message.Response(status, self._headers, bytes(self._body))
        if not self._parser.should_keep_alive() or self._transport.get_write_buffer_size():
            self._must_close = True
        if self._accepts is not None and not self._accepts(response):
            self._must_close = True  # response to an earlier request; the expected one follows
            self._skipped += 1
            if not self._parser.should_keep_alive() or self._skipped > MAX_SKIPPED:
                self._finish(None, Failure.GARBLED)
            return
        self._update_expiry(response)
        self._finish(response, None)

    def _update_expiry(self, response: message.Response) -> None:
        idle_s = DEFAULT_IDLE_S
        keep_alive = response.get_header(b"keep-alive") or b""
        for part in keep_alive.split(b","):
            key, _, value = part.partition(b"=")
            if key.strip().lower() == b"timeout" and value.strip().isdigit():
                idle_s = min(MAX_IDLE_S, float(value))
        self._last_used_at = clock.read()
        self._expires_at = self._last_used_at + max(0.2, idle_s - IDLE_MARGIN_S)

    def _release_buffer(self) -> None:
        """Free what is buffered: the connection itself is freed only by the garbage collector."""
        self._account.release(self)
        self._headers = []
        self._body = bytearray()

    def _finish(self, response: message.Response | None, failure: Failure | None) -> None:
        self._release_buffer()
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(response, failure)
