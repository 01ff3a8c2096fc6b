"""One HTTP/1.1 client connection, with one request at a time and nothing hidden.

It tells whether a request was written, whether its answer is complete, and whether bytes came that
belong to no request; it never sends anything twice.
"""

import asyncio
import enum
import typing

import httptools

from hyssopproxy.transport import clock
from hyssopproxy.transport import message

DEFAULT_IDLE_S = 8.0  # where the server states no keep-alive timeout
IDLE_MARGIN_S = 0.6  # before the server's own timeout, for the way there


class Failure(enum.Enum):
    """Why an exchange has no answer."""

    RESET = "reset"
    GARBLED = "garbled"


#: Called with the response, or with the failure.
Callback = typing.Callable[[message.Response | None, Failure | None], None]


class Connection(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._callback: Callback | None = None
        self._accepts: typing.Callable[[message.Response], bool] | None = None
        self._headers: message.Headers = []
        self._body: list[bytes] = []
        self._has_headers = False
        self._is_in_message = False
        self._is_spoilt = False  # bytes came that belong to no request
        self._expires_at = 0.0
        self._used_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._used_at = clock.read()
        self._expires_at = self._used_at + DEFAULT_IDLE_S

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent on the kept connection."""
        return self.is_open() and now < self._expires_at

    def idle_s(self, now: float) -> float:
        """Return how long ago the connection was opened or last used."""
        return now - self._used_at

    def is_open(self) -> bool:
        """Return whether the connection stands and nothing is in progress on it."""
        is_gone = self._transport is None or self._transport.is_closing()
        return not is_gone and not self._is_spoilt and self._callback is None

    def send(
        self,
        data: bytes,
        callback: Callback,
        accepts: typing.Callable[[message.Response], bool] | None = None,
    ) -> None:
        """Write a request; `accepts` tells its own answer from one of an earlier request."""
        self._callback = callback
        self._accepts = accepts
        self._transport.write(data)

    def close(self) -> None:
        """Close at once; no callback follows."""
        self._callback = None
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        if self._callback is None:
            self._is_spoilt = True
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_spoilt = True
            self._end(None, Failure.GARBLED)
        if self._is_spoilt and self._callback is None:
            self.close()

    def eof_received(self) -> bool:
        if self._callback is not None and self._ends_with_connection():
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._end(None, Failure.RESET)

    def _ends_with_connection(self) -> bool:
        """Whether the answer has no length, so that the orderly end of the connection ends it."""
        if not (self._has_headers and self._is_in_message):
            return False
        if message.get_header(self._headers, b"content-length") is not None:
            return False
        return message.get_header(self._headers, b"transfer-encoding") is None

    # httptools

    def on_message_begin(self) -> None:
        if self._callback is None:
            self._is_spoilt = True
        self._headers = []
        self._body = []
        self._has_headers = False
        self._is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._has_headers = True

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete()

    def _complete(self) -> None:
        self._is_in_message = False
        status = self._parser.get_status_code()
        if status < 200:
            return
        if self._callback is None:
            self._is_spoilt = True
            return
        response = message.Response(status, self._headers, b"".join(self._body))
        if not self._parser.should_keep_alive() or self._transport.get_write_buffer_size():
            self._is_spoilt = True
        if self._accepts is not None and not self._accepts(response):
            self._is_spoilt = True  # the answer of an earlier request; the own one follows
            if not self._parser.should_keep_alive():
                self._end(None, Failure.GARBLED)
            return
        self._note_timeout(response)
        self._end(response, None)

    def _note_timeout(self, response: message.Response) -> None:
        idle_s = DEFAULT_IDLE_S
        stated = response.get_header(b"keep-alive") or b""
        for part in stated.split(b","):
            key, _, value = part.partition(b"=")
            if key.strip().lower() == b"timeout" and value.strip().isdigit():
                idle_s = int(value)
        self._used_at = clock.read()
        self._expires_at = self._used_at + max(0.2, idle_s - IDLE_MARGIN_S)

    def _end(self, response: message.Response | None, failure: Failure | None) -> None:
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(response, failure)
