"""Heads of many lines, and what is kept of them."""

import gc
import sys
import weakref

import pytest

from hyssopproxy import limit
from hyssopproxy.transport import message
from hyssopproxy.transport import receiver as receivers

LIMITS = limit.Limits(header_bytes=16384)
START = b"GET / HTTP/1.1\r\n"


def feed(receiver, data):
    while data and receiver.error is None:
        size = receiver.piece_bytes
        receiver.feed(data[:size])
        data = data[size:]


def test_head_of_many_lines_is_kept_as_bytes():
    """Guards against heads that take thirty times their size."""
    receiver = receivers.Receiver(LIMITS)
    data = START + b"a:\r\n" * 4000 + b"Host: h\r\n"
    feed(receiver, data)
    assert receiver.held_bytes < 2 * len(data)
    feed(receiver, b"\r\n")
    request = receiver.take()
    assert type(request.headers) is message.CompactHeaders
    assert request.get_header(b"host") == b"h" and request.get_header(b"a") == b""
    assert request.get_header(b"b") is None
    assert list(request.headers) == [(b"a", b"")] * 4000 + [(b"Host", b"h")]


def test_cost_of_a_typical_request_is_no_less_than_its_objects():
    receiver = receivers.Receiver(LIMITS)
    feed(receiver, START + b"".join(b"X-%d: value\r\n" % i for i in range(20)) + b"\r\n")
    request = receiver.requests[0]
    size = sum(map(sys.getsizeof, (request, request.headers, request.target, *request.headers)))
    size += sum(sys.getsizeof(text) for pair in request.headers for text in pair)
    assert request.cost_bytes >= size


@pytest.mark.parametrize(("max_lines", "is_refused"), [(0, False), (1999, True), (2000, False)])
def test_lines_are_limited_by_the_setting_and_else_by_the_bytes(max_lines, is_refused):
    receiver = receivers.Receiver(LIMITS, max_lines)
    feed(receiver, START + b"a:\r\n" * 2000 + b"\r\n")
    expected = (431, "too many header fields") if is_refused else None
    assert receiver.error == expected
    assert len(receiver.requests) == (not is_refused)


@pytest.mark.parametrize("data", [b"a:\r\n" * 20_000, b"a:" + b"b" * 60_000, b":\r\n" * 20_000])
def test_parser_is_freed_at_the_refusal(data):
    """Guards against parsed lines that stay in a reference cycle until a collection."""
    gc.collect()
    gc.disable()
    try:
        receiver = receivers.Receiver(LIMITS)
        parsed = len(data)
        feed(receiver, START + data)
        assert receiver.error[0] in (400, 431)
        assert receiver.held_bytes == 0 < parsed
        freed = weakref.ref(receiver)
        del receiver
        assert freed() is None
    finally:
        gc.enable()
