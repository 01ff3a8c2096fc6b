"""The daemon as a process, with leaves that leave or close themselves."""

import asyncio
import signal
import time

from bench import site as sites
from hyssopproxy.emulator import replica as replicas

DRAIN_MS = 1500


def leaves_of(site, pool):
    return [leaf for name, leaf in site.leaves.items() if name.startswith(f"i-{pool}-")]


async def shorten_drain_time(site):
    site.drain_ms = DRAIN_MS
    for daemon in site.daemons:
        site.write_settings(daemon)
        daemon.signal(signal.SIGHUP)
        await sites.wait_for(
            lambda daemon=daemon: [line for line in daemon.log if line["event"] == "settings"],
            "the settings",
        )


def early_arrivals(leaf, since):
    """Return the requests that reached a leaf before the end of its time although it is known."""
    refused = [item.at for item in leaf.arrivals if item.closed_until and item.at >= since]
    assert refused
    return [at for at in refused if at > refused[0] + 0.5]


async def send_load(site, seconds, target="/p/x"):
    """Send requests to all daemons; return their ids, start times and responses."""
    sent = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for daemon in site.daemons:
            at, request_id = time.monotonic(), site.next_request_id()
            headers = {"Request-Id": request_id}
            sent.append((request_id, at, await site.get(daemon, target, headers=headers)))
        await asyncio.sleep(0.01)
    return sent


def late_arrivals(leaf, sent):
    """Return the requests that reached a leaf although it had left when they were sent."""
    sent_at = {request_id: at for request_id, at, _ in sent}
    told = [sent_at[item.request_id] for item in leaf.arrivals if item.says_leaving]
    if not told:
        return []
    # Each answer precedes the next request, so the second request was sent after the first answer.
    return [at for at in told[1:] if at > told[1] + DRAIN_MS / 1000]


def test_leaf_that_leaves_gets_no_request_after_the_drain_time():
    """Its entry still says ready, and the daemon has lost the store."""

    async def scenario(site):
        await shorten_drain_time(site)
        site.store.fault = "refuse"
        sent = []
        for leaf in [*leaves_of(site, "p"), *leaves_of(site, "s1")]:
            sent += await send_load(site, 0.1)
            leaf.leave()
        for _ in range(3):  # alternately, so that both kinds of statement are seen
            sent += await send_load(site, 0.8, "/p/x") + await send_load(site, 0.3, "/s/x")
        for leaf in [*leaves_of(site, "p"), *leaves_of(site, "s1")]:
            assert any(item.says_leaving for item in leaf.arrivals)
            assert late_arrivals(leaf, sent) == []
        reply = await site.get(site.daemons[0], "/p/x")
        assert reply.status == 503 and reply.get_header(b"retry-after")
        reply = await site.get(site.daemons[0], "/s/x")
        assert reply.status == 200 and reply.get_header(b"missing-parts") == b"1"
        kept = [leaf._writers for leaf in leaves_of(site, "p")]
        await sites.wait_for(lambda: not any(kept), "the end of kept connections")
        site.store.fault = ""
        leaf = leaves_of(site, "p")[0]
        leaf.restart()
        site.store.put(f"servers/{leaf.name}", replicas.make_entry(leaf, "p", "a"))

        async def serves():
            return (await site.get(site.daemons[0], "/p/x")).status == 200

        await sites.wait_for(serves, "requests to the second incarnation")

    sites.run_scenario(scenario)


def test_late_answer_that_is_discarded_tells_that_a_leaf_leaves():
    async def scenario(site):
        daemon = site.daemons[0]
        await asyncio.sleep(3.0)  # until then there is no budget for hedges
        await send_load(site, 0.3)
        slow, other = leaves_of(site, "p")
        while not any(line["event"] == "target_leaving" for line in daemon.log):
            slow.delay_s = 0.5
            at = len(slow.runs)
            reply = await site.get(daemon, "/p/x")
            slow.is_leaving = len(slow.runs) > at and reply.body.startswith(other.name.encode())
            await asyncio.sleep(0.6)
            slow.is_leaving, slow.delay_s = False, 0.0
            if not any(line["event"] == "target_leaving" for line in daemon.log):
                await send_load(site, 0.1)
        at = len(slow.arrivals)
        await send_load(site, 0.5)
        assert len(slow.arrivals) == at, "the other leaf serves all requests"

    async def bounded(site):
        async with asyncio.timeout(sites.WAIT_S):
            await scenario(site)

    sites.run_scenario(bounded)


def test_leaf_that_closes_itself_gets_no_more_than_two_requests_before_its_time():
    async def scenario(site):
        first, second = leaves_of(site, "p")
        await asyncio.sleep(3.0)  # until then there is no budget for retries
        await send_load(site, 0.3)
        since = time.monotonic()
        first.close_itself(2.0)
        sent = await send_load(site, 2.0)
        assert {reply.status for _, _, reply in sent} == {200}, "the other leaf serves"
        assert len(early_arrivals(first, since)) <= 2 * len(site.daemons)
        await send_load(site, 1.5)  # both leaves serve again
        since = time.monotonic()
        for leaf in (first, second):
            leaf.close_itself(4.0)
        end = first.closed_until
        sent = await send_load(site, 3.0)
        for leaf in (first, second):
            assert len(early_arrivals(leaf, since)) <= 2 * len(site.daemons)
        for _, at, reply in sent[4 * len(site.daemons) :]:  # both daemons have met both leaves
            assert reply.status == 503
            assert at + float(reply.get_header(b"retry-after")) >= end - 0.01
        first.close_itself(0.0)
        second.close_itself(0.0)

        async def serves():
            return (await site.get(site.daemons[0], "/p/x")).status == 200

        await sites.wait_for(serves, "the return of the leaves")

    sites.run_scenario(scenario, daemons=2)
