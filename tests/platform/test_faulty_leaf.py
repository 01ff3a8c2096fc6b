"""The daemon as a process, with leaves whose responses are cut, copied or without end."""

import asyncio
import itertools

import pytest

from bench import memory
from bench import site as sites
from hyssopproxy.emulator import endless
from hyssopproxy.engine import membership

MAX_GROWTH_BYTES = 40 << 20
MAX_RESIDENT_BYTES = 200 << 20  # well below what a process may use


def leaves_of(site, pool):
    return [leaf for name, leaf in site.leaves.items() if name.startswith(f"i-{pool}-")]


@pytest.mark.parametrize("name", sorted(endless.RESPONSES))
def test_endless_responses_cost_bounded_memory_and_no_other_request(name):
    async def scenario(site):
        daemon = site.daemons[0]
        await asyncio.sleep(membership.SETTLE_S + 0.2)  # until then the retry budget has no slack
        await site.get(daemon)
        before = memory.resident_bytes(daemon.process.pid)
        leaves_of(site, "p")[0].fault = leaves_of(site, "s0")[0].fault = name
        peak = before
        for _ in range(8):
            replies = await asyncio.gather(
                site.get(daemon, "/p/x", 2500), site.get(daemon, "/s/x", 2500)
            )
            assert [reply.status for reply in replies] == [200, 200]
            assert replies[0].body.startswith(leaves_of(site, "p")[1].name.encode())
            peak = max(peak, memory.resident_bytes(daemon.process.pid))
        assert peak - before < MAX_GROWTH_BYTES
        metrics = await site.metrics(daemon)
        assert metrics["hyssopproxy_attempts_garbled_total"] >= 1
        lines = [line for line in daemon.log if line["event"] == "answer_garbled"]
        assert {line["reason"] for line in lines} <= {"too_large", "garbled"} and lines

    sites.run_scenario(scenario, timeoutMs=2500)


def answer_lines(daemon):
    return [line for line in daemon.log if line["event"] == "answer_garbled"]


@pytest.mark.parametrize("name", [*sorted(endless.ANSWERS), endless.AFTER])
def test_answers_without_end_belong_to_no_request_and_end_the_attempt(name):
    """Complete responses to no request, or any bytes after the response."""

    async def scenario(site):
        daemon = site.daemons[0]
        await asyncio.sleep(membership.SETTLE_S + 0.2)  # until then the retry budget has no slack
        await site.get(daemon)
        before = memory.resident_bytes(daemon.process.pid)
        faulty = [leaves_of(site, "p")[0], leaves_of(site, "s0")[0]]
        for leaf in faulty:
            leaf.fault = name
        peak = before
        for _ in range(8):
            replies = await asyncio.gather(
                site.get(daemon, "/p/x", 2500), site.get(daemon, "/s/x", 2500)
            )
            assert [reply.status for reply in replies] == [200, 200]
            assert b"x.none" not in (replies[1].get_header(b"part-stamps") or b"")
            peak = max(peak, memory.resident_bytes(daemon.process.pid))
        assert peak - before < MAX_GROWTH_BYTES
        if name != endless.AFTER:
            # A request to a faulty leaf ends by the count of its answers, not by its timeout.
            lines = await sites.wait_for(lambda: answer_lines(daemon), "the end of the attempt")
            assert {line["reason"] for line in lines} == {"garbled"}
            assert "hyssopproxy_attempts_timeout_total" not in await site.metrics(daemon)

        def has_closed():
            return sum(leaf.counters["connections_broken"] for leaf in faulty)

        await sites.wait_for(has_closed, "the end of a connection")

    sites.run_scenario(scenario, timeoutMs=2500)


@pytest.mark.parametrize("callers", [240])
def test_endless_responses_of_sixty_leaves_leave_the_others_served(callers):
    """Each of sixty leaves sends without end, each kind of bytes, on many connections at once."""

    async def scenario(site):
        daemon = site.daemons[0]
        await asyncio.sleep(membership.SETTLE_S + 0.2)  # until then the retry budget has no slack
        await site.get(daemon)
        names = [*sorted(endless.RESPONSES), *sorted(endless.ANSWERS), endless.AFTER]
        for leaf, name in zip(leaves_of(site, "p"), itertools.cycle(names), strict=False):
            leaf.fault = name
        peak = 0
        is_over = asyncio.Event()

        async def search():
            """Send requests to the other leaves until the faulty ones have been called."""
            statuses = []
            while not is_over.is_set():
                statuses.append((await site.get(daemon, "/s/x", 10000)).status)
            return statuses

        async def watch_memory():
            nonlocal peak
            while not is_over.is_set():
                peak = max(peak, memory.resident_bytes(daemon.process.pid))
                await asyncio.sleep(0.005)

        others = [asyncio.create_task(search()) for _ in range(4)]
        watcher = asyncio.create_task(watch_memory())
        for _ in range(3):
            replies = await asyncio.gather(
                *(site.get(daemon, "/p/x", 3000) for _ in range(callers))
            )
            assert {reply.status for reply in replies} <= {200, 502, 503, 504}
        is_over.set()
        await watcher
        statuses = [status for task in others for status in await task]
        assert set(statuses) == {200} and len(statuses) >= 4
        assert peak < MAX_RESIDENT_BYTES
        assert daemon.process.returncode is None
        metrics = await site.metrics(daemon)
        assert metrics["hyssopproxy_attempts_garbled_total"] >= 60
        assert not [line for line in daemon.log if line["event"] == "internal_error"]

    async def run():
        async with sites.running(timeoutMs=3000) as site:
            for _ in range(58):
                await site.add_leaf("p", zone="a")
            await scenario(site)

    asyncio.run(run())


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_answer_with_a_status_out_of_range_is_not_delivered(status):
    """Guards against callers that get status 000 as an answer, or nothing until their deadline."""

    async def scenario(site):
        daemon = site.daemons[0]
        faulty = leaves_of(site, "p")
        for leaf in [*faulty, leaves_of(site, "s0")[0]]:
            leaf.fault = f"status_{status}"
        reply = await site.get(daemon, "/p/x", 20000)
        assert reply.status == 502 and not reply.get_header(b"server-stamp")
        assert sum(len(leaf.runs) for leaf in faulty) >= 1
        for _ in range(6):
            assert (await site.get(daemon, "/s/x", 20000)).status == 200
        assert {line["reason"] for line in answer_lines(daemon)} == {"garbled"}
        faulty[1].fault = ""

        async def is_served():
            return (await site.get(daemon, "/p/x", 20000)).status == 200

        await sites.wait_for(is_served, "an answer of the sound leaf")

    sites.run_scenario(scenario, timeoutMs=3000)


def test_response_of_one_byte_a_second_ends_at_the_route_timeout():
    async def scenario(site):
        for leaf in leaves_of(site, "p"):
            leaf.fault = endless.TRICKLE
        reply = await site.get(site.daemons[0], "/p/x", 20000)
        assert reply.status == 504
        for leaf in leaves_of(site, "s0"):
            leaf.fault = endless.TRICKLE
        reply = await site.get(site.daemons[0], "/s/x", 20000)
        assert reply.status == 200 and reply.get_header(b"missing-parts") == b"1"

    sites.run_scenario(scenario, timeoutMs=900)


def test_cut_response_is_never_delivered_as_complete():
    """A leaf stops in the middle of the head or the body of its response and closes."""

    async def scenario(site):
        daemon = site.daemons[0]
        plain, shard = leaves_of(site, "p")[0], leaves_of(site, "s0")[0]
        plain.fault = shard.fault = "cut"
        for cut_bytes in itertools.chain(range(0, 95, 9), range(-40, 0, 3)):
            plain.cut_bytes = shard.cut_bytes = cut_bytes

            async def has_run():
                """Send requests until each leaf has answered one; a faulty leaf is backed off."""
                reply = await site.get(daemon, "/p/x")
                assert reply.status in (502, 503) and not reply.get_header(b"server-stamp")
                reply = await site.get(daemon, "/s/x")
                stamps = reply.get_header(b"part-stamps") or b""
                assert shard.name.encode() not in stamps
                assert reply.status != 200 or reply.get_header(b"missing-parts") == b"1"
                return plain.runs and shard.runs

            plain.runs.clear()
            shard.runs.clear()
            await sites.wait_for(has_run, f"a response cut at {cut_bytes}")

    sites.run_scenario(scenario, leaves_per_pool=1, maxAttempts=1)


@pytest.mark.parametrize("copy_delay", [0, 1, 5])
@pytest.mark.parametrize("echoes_id", [True, False])
def test_second_copy_of_a_response_reaches_no_other_caller(echoes_id, copy_delay):
    """A leaf sends an earlier response again when the next or a later request is in flight."""

    async def scenario(site):
        daemon = site.daemons[0]
        leaves = [*leaves_of(site, "p"), *leaves_of(site, "s0")]
        for leaf in leaves:
            leaf.fault, leaf.echoes_id, leaf.copy_delay = "copy", echoes_id, copy_delay
        for number in range(12 + 6 * copy_delay):
            target = f"/p/{number}"
            reply = await site.get(daemon, target)
            assert reply.status == 200 and reply.body.endswith(f" {target}".encode())
            request_id = site.last_request_id
            assert reply.get_header(b"server-stamp").endswith(b"." + request_id)
            reply = await site.get(daemon)
            assert reply.status == 200
            for stamp in reply.get_header(b"part-stamps").split(b", "):
                assert stamp.endswith(b"." + site.last_request_id)
        assert sum(leaf.copies_sent for leaf in leaves) >= 4

    sites.run_scenario(scenario, leaves_per_pool=1)


def test_second_copy_of_a_shed_response_does_not_deny_a_run():
    """The copy names no request; taken for the answer, it would have the request run twice."""

    async def scenario(site):
        daemon = site.daemons[0]
        leaves = leaves_of(site, "p")
        for leaf in leaves:
            leaf.fault = "copy_shed"
        for number in range(12):
            for leaf in leaves:
                leaf.runs.clear()
            reply = await site.get(daemon, f"/p/{number}")
            runs = sum(len(leaf.runs) for leaf in leaves)
            assert runs <= 1
            assert runs == 0 or reply.status not in (429, 503)

    sites.run_scenario(scenario, type="non_idempotent", maxAttempts=3)
