"""Memory of a daemon whose callers send many short or odd header lines.

Guards against a process that ends because it is out of memory: each line costs many times its
size once it is parsed.
"""

import functools

import pytest

from tests import odd_callers

CHUNKED = (
    b"POST /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: odd\r\nDeadline-Ms: 1200\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
OPENINGS = {
    "extensions": CHUNKED + b"1;" + b"a;" * 30_000,
    "tiny_chunks": CHUNKED + b"1\r\nx\r\n" * 12_000,
    "trailers": CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 15_000,
    "small_requests": b"GET /p/x HTTP/1.1\r\n\r\n" * 12_000,
    "refused_requests": odd_callers.make_requests("short", 8_000).replace(b"Request-Id", b"b"),
    "absolute_target": odd_callers.make_requests("short", 8_000, b"http://h.example/p/x"),
    "long_target": odd_callers.make_requests("short", 12_000, b"/p/" + b"x" * 8_000),
    "endless_target": b"GET /p/" + b"x" * odd_callers.OVER_BYTES,
}


def run_crowd(data, **options):
    odd_callers.run(functools.partial(odd_callers.check_crowd, data=data, **options))


@pytest.mark.parametrize("kind", sorted(odd_callers.LINES))
def test_heads_over_the_limit_leave_memory_bounded(kind):
    run_crowd(odd_callers.make_head(kind, odd_callers.OVER_BYTES))


@pytest.mark.parametrize("kind", sorted(odd_callers.LINES))
def test_pipelined_requests_leave_memory_bounded(kind):
    run_crowd(odd_callers.make_requests(kind, odd_callers.LEGAL_BYTES))


@pytest.mark.parametrize("kind", ["short", "cookie"])
def test_pipelined_searches_leave_memory_bounded(kind):
    run_crowd(odd_callers.make_requests(kind, odd_callers.LEGAL_BYTES, b"/s/x"))


@pytest.mark.parametrize("name", sorted(OPENINGS))
def test_odd_requests_leave_memory_bounded(name):
    run_crowd(OPENINGS[name])


def test_heads_that_do_not_end_leave_memory_bounded():
    run_crowd(odd_callers.make_head("short", 16_000), dripped=b"b:\r\n")


def test_crowds_that_return_leave_memory_bounded():
    run_crowd(odd_callers.make_head("short", odd_callers.OVER_BYTES), rounds=3)


@pytest.mark.parametrize("port", ["ready", "control", "metrics"])
def test_heads_at_other_addresses_leave_memory_bounded(port):
    run_crowd(odd_callers.make_head("short", odd_callers.OVER_BYTES), port=port)


@pytest.mark.parametrize("port", ["ready", "control", "metrics"])
def test_pipelined_requests_at_other_addresses_leave_memory_bounded(port):
    run_crowd(odd_callers.make_requests("short", odd_callers.LEGAL_BYTES, b"/metrics"), port=port)


@pytest.mark.parametrize("target", ["/p/x", "/s/x"])
def test_request_of_many_lines_within_the_limits_is_served(target):
    """Guards against a limit that a caller inside the published limits meets."""

    async def scenario(site):
        request = site.make_request(target, deadline_ms=3000)
        lines = b"a:\r\n" * ((odd_callers.MAX_HEADER_BYTES - len(request)) // 4)
        response = await odd_callers.sites.exchange(
            site.daemons[0].host, site.ports["front"], request[:-2] + lines + b"\r\n"
        )
        assert response.status == 200

    odd_callers.run(scenario)
