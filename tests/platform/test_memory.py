"""Memory of a daemon whose callers break off what they send."""

import asyncio

from bench import memory
from bench import site as sites

CALLERS = 50  # few at a time, as what they send is held meanwhile
ROUNDS = 12
BODY_BYTES = 64_000
MAX_GROWTH_BYTES = 12 << 20  # the bodies are 38 MB in total


def test_uploads_that_are_broken_off_do_not_stay_in_memory():
    async def break_off(site, daemon):
        request = site.make_request("/p/x", method="POST", body=b"x" * BODY_BYTES)
        _, writer = await site.connect(daemon)
        writer.write(request[:-1])
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()

    async def scenario(site):
        daemon = site.daemons[0]
        before = memory.resident_bytes(daemon.process.pid)
        for _ in range(ROUNDS):
            await asyncio.gather(*(break_off(site, daemon) for _ in range(CALLERS)))
        assert (await site.get(daemon)).status == 200
        growth = memory.resident_bytes(daemon.process.pid) - before
        assert growth < MAX_GROWTH_BYTES

    sites.run_scenario(scenario)
