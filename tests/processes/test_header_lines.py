"""Memory of hyssopproxyd whose callers send many short or odd header lines.

Guards against a process that ends because it is out of memory. The crowd and the bounds are those
of the other daemon.
"""

import asyncio

import pytest

from bench import fleet as fleets
from tests import odd_callers

CALLERS_PATH = f"/v1/services/{fleets.SERVICE}/search"
CHUNKED = b"POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED %= CALLERS_PATH.encode()


@pytest.fixture
def fleet():
    with fleets.running(fleets.make_layout(targets=2, vms=1, replicas=1)) as running:
        yield running


async def send_from_crowd(fleet, address, data, cost):
    host, port = address.split(":")
    async with odd_callers.connected(host, int(port)) as writers:
        for writer in writers:
            writer.write(data)
        for _ in range(odd_callers.SETTLE_EXCHANGES):
            await asyncio.to_thread(fleet.wait_ready, fleet.layout.vms[0])
        cost.observe()
    await asyncio.sleep(odd_callers.CLOSE_WAIT_S)


def check_crowd(fleet, data, is_admin=False):
    vm = fleet.layout.vms[0]
    daemon = fleet.daemons[vm.name]
    assert fleet.search(vm)[0] == 200
    cost = odd_callers.Cost(daemon.popen.pid)
    asyncio.run(send_from_crowd(fleet, vm.admin if is_admin else vm.listen, data, cost))
    assert daemon.popen.poll() is None
    assert fleet.search(vm)[0] == 200
    cost.check()


@pytest.mark.parametrize("kind", sorted(odd_callers.LINES))
def test_heads_over_the_limit_leave_memory_bounded(fleet, kind):
    check_crowd(fleet, odd_callers.make_head(kind, odd_callers.OVER_BYTES, CALLERS_PATH.encode()))


@pytest.mark.parametrize("kind", ["short", "cookie"])
def test_pipelined_requests_leave_memory_bounded(fleet, kind):
    target = CALLERS_PATH.encode()
    check_crowd(fleet, odd_callers.make_requests(kind, odd_callers.LEGAL_BYTES, target))


def test_heads_that_do_not_end_leave_memory_bounded(fleet):
    check_crowd(fleet, odd_callers.make_head("short", 16_000))


@pytest.mark.parametrize("body", [b"1\r\nx\r\n" * 12_000, b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 15_000])
def test_odd_bodies_leave_memory_bounded(fleet, body):
    check_crowd(fleet, CHUNKED + body)


def test_small_pipelined_requests_leave_memory_bounded(fleet):
    check_crowd(fleet, b"GET /livez HTTP/1.1\r\n\r\n" * 12_000)


def test_heads_at_the_operators_address_leave_memory_bounded(fleet):
    data = odd_callers.make_head("short", odd_callers.OVER_BYTES)
    check_crowd(fleet, data, is_admin=True)
