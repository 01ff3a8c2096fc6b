"""Daemons that restart while the store and their peers know different revisions."""

import asyncio
import signal

import pytest

from bench import site as sites
from hyssopproxy.emulator import replica as replicas


async def count_runs_after(site, daemon, leaf, requests=12):
    """Send requests; return how many a leaf has run meanwhile."""
    before = len(leaf.runs)
    for _ in range(requests):
        reply = await site.get(daemon, "/p/x")
        assert reply.status in (200, 404, 502, 503)
    return len(leaf.runs) - before


async def withdraw(site, daemon, leaf):
    """Remove a leaf, evacuate a zone and drop a route; wait until a daemon knows."""
    site.store.remove(f"servers/{leaf.name}")
    site.store.put("op/evacuate/b", {})
    site.publish(sites.plain_route())

    async def is_dropped():
        return (await site.get(daemon)).status == 404

    await sites.wait_for(is_dropped, "the dropped route")


@pytest.mark.parametrize("fault", ["", "refuse", "silent"])
def test_restarted_daemon_uses_nothing_that_was_withdrawn(fault):
    """The store is away, one peer is current and one was frozen while things were withdrawn."""

    async def scenario(site):
        current, stale, restarted = site.daemons
        first, evacuated, third = (leaf for leaf in site.leaves.values() if "-p-" in leaf.name)
        stale.signal(signal.SIGSTOP)
        await withdraw(site, current, first)
        site.store.fault = fault
        restarted.signal(signal.SIGKILL)
        await restarted.wait()
        stale.signal(signal.SIGCONT)
        await site.start_daemon(restarted)
        await site.wait_ready(restarted)

        async def is_current():
            return (await site.get(restarted)).status == 404

        await sites.wait_for(is_current, "the newest configuration")
        await asyncio.sleep(2.5)  # a removed leaf may be used for 2 s after its removal
        for leaf in (first, evacuated):
            assert await count_runs_after(site, restarted, leaf) == 0
        assert third.runs

    sites.run_scenario(scenario, daemons=3, leaves_per_pool=3)


def test_all_daemons_restarted_at_once_use_nothing_that_was_withdrawn():
    async def scenario(site):
        first, evacuated, _ = (leaf for leaf in site.leaves.values() if "-p-" in leaf.name)
        await withdraw(site, site.daemons[0], first)
        for daemon in site.daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in site.daemons:
            await daemon.wait()
            await site.start_daemon(daemon)
        for daemon in site.daemons:
            await site.wait_ready(daemon)
            assert (await site.get(daemon)).status == 404
            for leaf in (first, evacuated):
                assert await count_runs_after(site, daemon, leaf) == 0

    sites.run_scenario(scenario, daemons=3, leaves_per_pool=3)


def test_leaf_restarted_under_its_id_is_a_new_one():
    async def scenario(site):
        daemon = site.daemons[0]
        leaf = next(leaf for leaf in site.leaves.values() if "-p-" in leaf.name)
        assert await count_runs_after(site, daemon, leaf) > 0
        entry = replicas.make_entry(leaf, "other", "a", born=2)
        site.store.put(f"servers/{leaf.name}", entry)

        async def is_unused():
            return await count_runs_after(site, daemon, leaf, 6) == 0

        await sites.wait_for(is_unused, "the entry of another pool")

    sites.run_scenario(scenario, leaves_per_pool=2)
