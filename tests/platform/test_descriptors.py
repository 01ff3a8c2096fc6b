"""Daemon whose callers take all of its descriptors."""

import asyncio
import contextlib
import resource
import signal
import time

from bench import site as sites

MAX_DESCRIPTORS = 40
CALLERS = 100
WAIT_S = 4.0
OUT_OF_DESCRIPTORS = "socket.accept() out of system resource"


async def take_all_descriptors(site, daemon):
    """Return connections of callers, more than the daemon can accept."""
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, limits)
    connections = [await site.connect(daemon) for _ in range(CALLERS)]
    await asyncio.sleep(WAIT_S)
    return connections


def count_failed_accepts(daemon):
    """Return how often the daemon failed to accept, including lines that the log left out."""
    lines = [line for line in daemon.log if line.get("message") == OUT_OF_DESCRIPTORS]
    return len(lines) + sum(line.get("suppressed_before", 0) for line in daemon.log)


def test_daemon_out_of_descriptors_retries_rarely_and_serves_again():
    async def scenario(site):
        daemon = site.daemons[0]
        connections = await take_all_descriptors(site, daemon)
        assert 1 <= count_failed_accepts(daemon) <= 3 * WAIT_S
        for _, writer in connections:
            writer.close()

        async def is_serving():
            with contextlib.suppress(OSError, TimeoutError):
                return (await site.get(daemon)).status == 200
            return False

        await sites.wait_for(is_serving, "answers once descriptors are free")

    sites.run_scenario(scenario)


def test_daemon_out_of_descriptors_stops_within_its_grace():
    async def scenario(site):
        daemon = site.daemons[0]
        await take_all_descriptors(site, daemon)
        asked_at = time.monotonic()
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0
        assert time.monotonic() - asked_at < 6.0  # graceS of the site
        assert daemon.log[-1]["event"] == "ended"

    sites.run_scenario(scenario)
