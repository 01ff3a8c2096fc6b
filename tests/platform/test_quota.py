"""Quotas with daemons as processes: what targets run in a window, whatever happens to daemons."""

import asyncio
import contextlib
import signal
import time

from bench import site as sites

WINDOW_S = 5.0
RATE_PER_S, BURST = 4.0, 10.0
BOUND = (RATE_PER_S * WINDOW_S + BURST) * 1.25 + 20  # with the settings of `Site`
CALLERS = 40
ROUND_S = 0.4  # each caller sends a request, so 100 a second in all
LOAD_S = 20.0


def count_runs(site):
    return sum(len(leaf.runs) for leaf in site.leaves.values() if "-p-" in leaf.name)


async def call(site, number, until, replies):
    """Send requests in turn to the daemons; note those that got an answer."""
    while time.monotonic() < until:
        number += 1
        daemon = site.daemons[number % len(site.daemons)]
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(1.5):
                reply = await site.get(daemon, f"/p/{number}", headers={"Key": "k-1"})
                replies.append((reply, f"/p/{number}"))
        number += CALLERS - 1
        await asyncio.sleep(ROUND_S)


async def sample_runs(site, until):
    """Return times and numbers of requests that the targets had run by then."""
    samples = []
    while time.monotonic() < until:
        samples.append((time.monotonic(), count_runs(site)))
        await asyncio.sleep(0.02)
    return samples


def most_in_window(samples):
    first = most = 0
    for at, count in samples:
        while samples[first][0] < at - WINDOW_S:
            first += 1
        most = max(most, count - samples[first][1])
    return most


def test_targets_run_no_more_than_the_bound_while_daemons_die_and_freeze():
    """Guards against daemons that each admit the organisation's quota, or twice after a fault."""

    async def scenario(site):
        site.tenants = [
            {"name": "acme", "apiKeys": ["k-1"], "ratePerS": RATE_PER_S, "burst": BURST}
        ]
        site.publish(sites.plain_route())
        first = site.daemons[0]

        async def is_served():
            return (await site.get(first, "/p/x", headers={"Key": "k-1"})).status == 200

        async def is_key_required():
            replies = [await site.get(daemon, "/p/x") for daemon in site.daemons]
            return all(reply.status == 401 for reply in replies)

        await sites.wait_for(is_key_required, "the quota at all daemons")
        await sites.wait_for(is_served, "a credit")
        until = time.monotonic() + LOAD_S
        replies = []
        tasks = [
            asyncio.create_task(call(site, number, until, replies)) for number in range(CALLERS)
        ]
        sampler = asyncio.create_task(sample_runs(site, until))
        await asyncio.sleep(0.25 * LOAD_S)
        site.daemons[1].signal(signal.SIGKILL)
        await asyncio.sleep(0.1 * LOAD_S)
        site.daemons[2].signal(signal.SIGSTOP)
        await asyncio.sleep(0.3 * LOAD_S)
        site.daemons[2].signal(signal.SIGCONT)
        samples = await sampler
        await asyncio.gather(*tasks)
        assert most_in_window(samples) <= BOUND
        ran = {run.target for leaf in site.leaves.values() for run in leaf.runs}
        refused = [(reply, target) for reply, target in replies if reply.status == 429]
        assert refused and not any(target in ran for _, target in refused)
        assert all(float(reply.get_header(b"retry-after")) >= 0.1 for reply, _ in refused)
        await sites.wait_for(is_served, "a token after the load")
        shown = await site.metrics(first)
        assert shown['hyssopproxy_quota_refused{organisation="acme"}'] > 0
        lines = [line for line in first.log if line.get("reason") == "over_quota"]
        assert lines[0]["organisation"] == "acme" and lines[0]["rate_per_s"] == RATE_PER_S

    sites.run_scenario(scenario, daemons=4)
