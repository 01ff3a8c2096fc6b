"""Daemons as processes, whose store returns from an older copy and gives revisions out again."""

import asyncio
import base64

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


async def return_from_older_copy(site):
    """Let the store lose several writes, of which only some are written again."""
    older = site.store.make_copy()
    for number in range(6):
        site.store.put(f"notes/{number}", b"{}")
    site.publish(sites.plain_route())
    await wait_for_all(site, "configuration", version=site.version)
    rewritten = base64.b64decode(site.store.items["op/config"]["value"])
    site.store.fault = "refuse"
    await asyncio.sleep(AWAY_S)
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
