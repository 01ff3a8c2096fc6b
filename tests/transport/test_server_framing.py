"""Where a request ends: what runs is what the caller sent, or nothing."""

import asyncio

import hypothesis
import hypothesis.strategies as st
import pytest

from hyssopproxy import limit
from hyssopproxy.transport import buffer
from hyssopproxy.transport import message
from hyssopproxy.transport import server as servers

OFFERS = (
    (),
    (b"Connection: Upgrade", b"Upgrade: h2c"),
    (b"connection: upgrade, HTTP2-Settings", b"UPGRADE: h2c", b"HTTP2-Settings: AAMAAABkAAQ"),
    (b"Connection: keep-alive, Upgrade", b"Upgrade: websocket"),
    (b"Upgrade: websocket",),
    (b"Connection: Upgrade",),
)
EXPECTATIONS = ((), (b"Expect: 100-continue",))
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: h\r\nRequest-Id: forged\r\n\r\n"


class Recorder(servers.Handler):
    """Records the requests and answers each one."""

    limits = limit.Limits(header_bytes=8192, body_bytes=3 << 20)

    def __init__(self):
        self.requests = []

    def handle(self, request, connection):
        self.requests.append(request)
        connection.reply(message.Response(200, []))


class FakeTransport(asyncio.Transport):
    """Collects what a connection writes."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.is_reading_paused = False

    def write(self, data):
        self.written += data

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def pause_reading(self):
        self.is_reading_paused = True

    def resume_reading(self):
        self.is_reading_paused = False


def receive(pieces):
    """Feed pieces to a new connection; return the handler and the transport."""
    handler = Recorder()
    connection = servers.Connection(handler, set(), buffer.Account(64 << 20))
    transport = FakeTransport()
    connection.connection_made(transport)
    for piece in pieces:
        connection.data_received(piece)
    return handler, transport


def split(data, cuts):
    positions = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in zip(positions, positions[1:], strict=False)]


def encode(number, method, offer, expectation, is_chunked, body):
    lines = [b"%s /r/%d HTTP/1.1" % (method, number), b"Host: h", *offer, *expectation]
    if is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body,) if part)
        body += b"0\r\n\r\n"
    elif body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE"]),
        st.sampled_from(OFFERS),
        st.sampled_from(EXPECTATIONS),
        st.booleans(),
        st.one_of(st.just(b""), st.just(SMUGGLED), st.binary(max_size=60)),
    ),
    min_size=1,
    max_size=4,
)


@hypothesis.given(REQUESTS, st.lists(st.integers(0, 10_000), max_size=12))
def test_requests_in_any_pieces_run_as_they_were_sent(requests, cuts):
    data = b"".join(encode(number, *request) for number, request in enumerate(requests))
    handler, _ = receive(split(data, cuts))
    assert [(r.method, r.target, r.body) for r in handler.requests] == [
        (method, b"/r/%d" % number, body) for number, (method, _, _, _, body) in enumerate(requests)
    ]


@pytest.mark.parametrize("offer", OFFERS)
def test_request_with_an_upgrade_offer_keeps_its_body_and_other_headers(offer):
    head = b"\r\n".join([b"POST /r HTTP/1.1", b"Host: h", *offer, b"Request-Id: q1"])
    handler, _ = receive([head + b"\r\nContent-Length: %d\r\n\r\n" % len(SMUGGLED), SMUGGLED])
    (request,) = handler.requests
    assert request.body == SMUGGLED
    assert request.get_header(b"request-id") == b"q1"


@pytest.mark.parametrize("rest", [b"", SMUGGLED])
def test_tunnel_is_refused_and_what_follows_is_no_request(rest):
    data = b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n"
    handler, transport = receive([data + rest, SMUGGLED])
    assert handler.requests == []
    assert transport.written.startswith(b"HTTP/1.1 501 ")
    assert b"Connection: close" in transport.written


def test_white_space_after_a_header_value_does_not_belong_to_it():
    handler, _ = receive([b"GET / HTTP/1.1\r\nHost: h \t\r\nRequest-Id: q2 \r\n\r\n"])
    (request,) = handler.requests
    assert request.headers == [(b"Host", b"h"), (b"Request-Id", b"q2")]


def test_body_of_over_a_mebibyte_is_read_to_its_end():
    body = b"b" * (2 << 20)
    pieces = [body[start : start + 65536] for start in range(0, len(body), 65536)]
    handler = Recorder()
    connection = servers.Connection(handler, set(), buffer.Account(64 << 20))
    transport = FakeTransport()
    connection.connection_made(transport)
    connection.data_received(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body))
    for piece in pieces:
        assert not transport.is_reading_paused
        connection.data_received(piece)
    assert handler.requests[0].body == body
