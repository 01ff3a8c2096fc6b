"""Daemons as processes, whose store returns from an older copy and gives revisions out again."""

import asyncio
import base64
import signal

import pytest

from bench import site as sites
from hyssopproxy.emulator import replica as replicas

AWAY_S = 1.0
DAEMONS = 4  # in two failure domains: readers and followers


def log_lines(daemon, event):
    return [line for line in daemon.log if line["event"] == event]


async def wait_for_all(site, event, **fields):
    """Wait until each daemon has logged a line with these fields."""
    for daemon in site.daemons:
        await sites.wait_for(
            lambda daemon=daemon: any(
                fields.items() <= line.items() for line in log_lines(daemon, event)
            ),
            f"{event} {fields} at {daemon.host}",
        )


async def return_from_older_copy(site, while_away=None):
    """Let the store lose several writes, of which only some are written again."""
    older = site.store.make_copy()
    for number in range(6):
        site.store.put(f"notes/{number}", b"{}")
    site.publish(sites.plain_route())
    await wait_for_all(site, "configuration", version=site.version)
    rewritten = base64.b64decode(site.store.items["op/config"]["value"])
    site.store.fault = "refuse"
    await asyncio.sleep(AWAY_S)
    if while_away is not None:
        await while_away()
    site.store.restore(older)
    site.store.fault = ""
    site.store.put("op/config", rewritten)


@pytest.mark.parametrize("kind", ["configuration", "evacuation", "entry", "removal", "draining"])
def test_write_after_the_store_returned_from_an_older_copy_reaches_all_daemons(kind):
    """Guards against daemons that ignore what is written at revisions given out before.

    After the return, no configuration (review 11) and no evacuation (review 15) took effect.
    """

    async def scenario(site):
        name = next(name for name in site.leaves if name.startswith("i-p-"))
        await return_from_older_copy(site)
        if kind == "configuration":
            site.publish(sites.plain_route(pathPrefix="/q/"))
            await wait_for_all(site, "configuration", version=site.version)
        elif kind == "evacuation":
            site.store.put("op/evacuate/unused", b"{}")
            await wait_for_all(site, "domain_out", failure_domain="unused")
            site.store.remove("op/evacuate/unused")
            await wait_for_all(site, "domain_back")
        elif kind == "entry":
            leaf = await site.add_leaf("p")
            await wait_for_all(site, "target_found", target=leaf.name)
        elif kind == "removal":
            site.store.remove(f"servers/{name}")
            await wait_for_all(site, "target_gone", target=name)
        else:
            address = site.published_addresses[name]
            entry = replicas.make_entry(
                site.leaves[name], "p", "a", state="draining", address=address
            )
            site.store.put(f"servers/{name}", entry)
            await wait_for_all(site, "target_draining", target=name)

    sites.run_scenario(scenario, daemons=DAEMONS)


@pytest.mark.parametrize("trouble", ["restart", "freeze", "twice", "history", "no_era"])
def test_daemons_agree_with_the_store_after_a_return_beside_other_trouble(trouble):
    """Guards against a daemon that stays in the era before, and others that go back to its data."""

    async def scenario(site):
        async def restart():
            daemon = site.daemons[0]
            daemon.signal(signal.SIGKILL)
            await daemon.wait()
            await site.start_daemon(daemon)

        async def freeze():
            for daemon in site.daemons[:2]:  # of both failure domains, readers or followers
                daemon.signal(signal.SIGSTOP)

        async def drop_history():
            site.store.compact()

        if trouble == "no_era":
            site.store.states_era = False
        steps = {"restart": restart, "freeze": freeze, "history": drop_history}
        await return_from_older_copy(site, steps.get(trouble))
        if trouble == "twice":
            await return_from_older_copy(site)
        if trouble == "freeze":
            for number in range(20):  # the store passes the revisions that the frozen ones know
                site.store.put(f"notes/later-{number}", b"{}")
            await asyncio.sleep(AWAY_S)
            for daemon in site.daemons[:2]:
                daemon.signal(signal.SIGCONT)
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        leaf = await site.add_leaf("p")
        name = next(name for name in site.leaves if name.startswith("i-p-"))
        site.store.remove(f"servers/{name}")
        site.store.put("op/evacuate/unused", b"{}")
        site.publish(sites.plain_route(pathPrefix="/q/"))
        await wait_for_all(site, "target_found", target=leaf.name)
        await wait_for_all(site, "target_gone", target=name)
        await wait_for_all(site, "domain_out", failure_domain="unused")
        await wait_for_all(site, "configuration", version=site.version)
        for daemon in site.daemons:
            assert (await site.get(daemon, "/q/x")).status == 200

    sites.run_scenario(scenario, daemons=DAEMONS)
