"""Requests on their way from a caller to the targets."""

import asyncio

import hypothesis
from hypothesis import strategies as st

from hyssopproxy import limit
from hyssopproxy.platform import ingress as ingresses
from hyssopproxy.transport import buffer
from hyssopproxy.transport import message
from hyssopproxy.transport import receiver
from hyssopproxy.transport import server as servers
from tests.transport import test_server_framing as framing

LIMITS = limit.Limits(header_bytes=8192)
TOKEN = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
NOT_FORWARDED = {
    *message.HOP_BY_HOP,
    b"content-length",
    b"deadline-ms",
    b"expected-instance",
    b"host",
    b"request-id",
}
NAMES = (
    st.text(TOKEN, min_size=1, max_size=12)
    .map(str.encode)
    .filter(lambda name: name.lower() not in NOT_FORWARDED)
)
VALUES = st.binary(max_size=20).map(
    lambda value: bytes(byte for byte in value if byte >= 32 and byte != 127).strip()
)
SPACES = st.sampled_from([b"", b" ", b"\t", b" \t "])
LINES = st.lists(st.tuples(NAMES, SPACES, VALUES, SPACES, st.integers(1, 400)), max_size=8)


class Logger:
    """Keeps the lines of a log."""

    def __init__(self):
        self.lines = []

    def write(self, name, fields, now, is_urgent=False):
        self.lines.append((name, fields))


def receive(pieces):
    """Feed pieces to a new connection; return the ingress and the transport."""

    async def run():
        ingress = ingresses.Ingress([].append, iter(range(1000)).__next__)
        ingress.limits = LIMITS
        connection = servers.Connection(ingress, set(), buffer.Account(64 << 20))
        transport = framing.FakeTransport()
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
        while not ingress.requests and not transport.written:
            await asyncio.sleep(0)  # many lines wait for further turns of the event loop
        return ingress, transport

    return asyncio.run(run())


@hypothesis.given(LINES, st.lists(st.integers(0, 20_000), max_size=12))
def test_head_inside_the_limits_in_any_pieces_arrives_as_it_was_sent(lines, cuts):
    """Guards against lines that are lost, merged or reordered when a head is kept as bytes."""
    start = b"GET /p/x?q=1 HTTP/1.1\r\n"
    sent = start + b"Host: h\r\nRequest-Id: r\r\n"
    expected = start + b"Host: h\r\nRequest-Id: r\r\n"
    for name, before, value, after, count in lines:
        line = name + b":" + before + value + after + b"\r\n"
        count = min(count, (LIMITS.header_bytes - 2 - len(sent)) // len(line))
        sent += line * count
        expected += (name + b": " + value + b"\r\n") * count
    assert len(sent) + 2 <= LIMITS.header_bytes
    ingress, transport = receive(framing.split(sent + b"\r\n", cuts))
    assert transport.written == b""
    (forwarded,) = ingress.requests.values()
    assert forwarded.head == expected


def test_connection_options_among_many_lines_are_not_forwarded():
    filler = b"x: y\r\n" * (3 * receiver.LIST_LINES)
    head = b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: X-Mine\r\n" + filler
    ingress, _ = receive([head + b"x-mine: 1\r\nDeadline-Ms: 5\r\n\r\n"])
    (forwarded,) = ingress.requests.values()
    assert b"x-mine" not in forwarded.head.lower() and b"deadline" not in forwarded.head.lower()
    assert forwarded.head.endswith(b"\r\nHost: h\r\nRequest-Id: r\r\n" + filler)


def test_rejections_are_logged_once_a_second_with_the_number_of_others():
    """Guards against a log that a crowd of refused callers fills."""
    logger = Logger()
    log = ingresses.RejectionLog(logger)
    for now in (1.0, 1.1, 1.2, 2.1):
        log.write(431, "header fields too large", now)
    assert [fields["repeats"] for _, fields in logger.lines] == [0, 2]
