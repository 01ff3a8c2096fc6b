"""Planned stops: each request that was read is answered, and the process ends by itself."""

import asyncio
import signal

import pytest

from bench import site as sites

LONG_MS = 30_000
#: Routes whose requests take longer than the grace.
LONG = {"type": "non_idempotent", "timeoutMs": LONG_MS, "targetLatencyMs": 20_000}
NON_IDEMPOTENT = {"type": "non_idempotent", "timeoutMs": LONG_MS, "maxAttempts": 1}


def leaves_of(site, pool):
    return [leaf for name, leaf in site.leaves.items() if name.startswith(f"i-{pool}-")]


def runs_of(site, pool):
    return [run for leaf in leaves_of(site, pool) for run in leaf.runs]


def targets_of(site, pool):
    return sorted(run.target for run in runs_of(site, pool))


def set_leaves(site, pool, **fields):
    for leaf in leaves_of(site, pool):
        for name, value in fields.items():
            setattr(leaf, name, value)


async def restart(site, daemon, grace_s):
    """Restart a daemon with another grace."""
    daemon.signal(signal.SIGKILL)
    await daemon.wait()
    site.grace_s = grace_s
    site.write_settings(daemon)
    daemon.log.clear()
    await site.start_daemon(daemon)
    await site.wait_ready(daemon)


async def open_busy(site, daemon):
    """Open a connection with a request that leaves work on; return its reader and writer."""
    reader, writer = await site.connect(daemon)
    writer.write(site.make_request("/p/busy", LONG_MS))
    await sites.wait_for(lambda: "/p/busy" in targets_of(site, "p"), "the request at a leaf")
    return reader, writer


async def read_all(reader):
    """Read responses until the connection closes; return each and whether it was the last."""
    responses = []
    async with asyncio.timeout(sites.WAIT_S):
        while True:
            try:
                responses.append(await sites.read_response(reader))
            except asyncio.IncompleteReadError as error:
                assert not error.partial, "the connection ended within a response"
                return responses


async def assert_clean_end(daemon):
    assert await daemon.wait() == 0
    events = [line["event"] for line in daemon.log]
    assert "stopped" in events and events[-1] == "ended"
    assert "internal_error" not in events and "connections_cut" not in events


@pytest.mark.parametrize("grace_s", [0.7, 1, 2, 6])
def test_requests_on_a_connection_are_all_answered_before_the_end(grace_s):
    """Issue 25: requests that were read late in the grace were cut without an answer.

    The first is at work when the grace ends, the others wait behind it.
    """

    async def scenario(site):
        daemon = site.daemons[0]
        await restart(site, daemon, grace_s)
        set_leaves(site, "p", fault="silent")
        reader, writer = await open_busy(site, daemon)
        for number in range(20):
            writer.write(site.make_request(f"/p/{number}", LONG_MS))
        daemon.signal(signal.SIGTERM)
        responses = await read_all(reader)
        assert [response.status for response, _ in responses] == [502] + [503] * 20
        assert all(response.get_header(b"retry-after") for response, _ in responses[1:])
        assert not responses[-1][1]
        assert targets_of(site, "p") == ["/p/busy"]
        writer.close()
        await assert_clean_end(daemon)

    sites.run_scenario(scenario, **NON_IDEMPOTENT)


def test_grace_of_zero_ends_the_process_with_status_0():
    async def scenario(site):
        daemon = site.daemons[0]
        await restart(site, daemon, 0)
        set_leaves(site, "p", fault="silent")
        reader, _ = await open_busy(site, daemon)
        daemon.signal(signal.SIGTERM)
        assert [response.status for response, _ in await read_all(reader)] == [502]
        assert await daemon.wait() == 0

    sites.run_scenario(scenario, **NON_IDEMPOTENT)


@pytest.mark.parametrize("type", ["idempotent", "non_idempotent"])
def test_request_that_cannot_finish_is_refused_on_kept_and_new_connections(type):
    """Issue 25: such requests were passed on and given up at the end of the grace."""

    async def scenario(site):
        daemon = site.daemons[0]
        kept_reader, kept_writer = await site.connect(daemon)
        kept_writer.write(site.make_request("/p/kept", LONG_MS))
        response, stays_open = await sites.read_response(kept_reader)
        assert response.status == 200 and stays_open
        unused_reader, unused_writer = await site.connect(daemon)
        set_leaves(site, "p", delay_s=sites.WAIT_S)
        daemon.signal(signal.SIGTERM)
        await site.wait_ready(daemon, 503)
        new_reader, new_writer = await site.connect(daemon)
        connections = (
            (kept_reader, kept_writer),
            (unused_reader, unused_writer),
            (new_reader, new_writer),
        )
        for reader, writer in connections:
            writer.write(site.make_request("/p/late", LONG_MS))
            ((response, stays_open),) = await read_all(reader)
            assert response.status == 503 and not stays_open
            assert float(response.get_header(b"retry-after")) > 0
            writer.close()
        await assert_clean_end(daemon)
        assert targets_of(site, "p") == ["/p/kept"]
        refused = [line for line in daemon.log if line["event"] == "request_refused"]
        assert [line["reason"] for line in refused] == ["stopping"] * 3

    sites.run_scenario(scenario, **{**LONG, "type": type})


def test_idle_connection_is_closed_while_another_request_is_at_work():
    """Issue 25: idle connections took requests until the end of the grace."""

    async def scenario(site):
        daemon = site.daemons[0]
        idle_reader, idle_writer = await site.connect(daemon)
        idle_writer.write(site.make_request("/p/first", LONG_MS))
        assert (await sites.read_response(idle_reader))[0].status == 200
        set_leaves(site, "p", fault="silent")
        busy_reader, busy_writer = await open_busy(site, daemon)
        daemon.signal(signal.SIGTERM)
        answered = asyncio.create_task(read_all(busy_reader))
        assert await read_all(idle_reader) == []
        assert not answered.done()
        assert [response.status for response, _ in await answered] == [502]
        idle_writer.close()
        busy_writer.close()
        await assert_clean_end(daemon)

    sites.run_scenario(scenario, **NON_IDEMPOTENT)


def test_grace_that_grows_during_the_stop_does_not_delay_the_end():
    async def scenario(site):
        daemon = site.daemons[0]
        set_leaves(site, "p", fault="silent")
        reader, writer = await open_busy(site, daemon)
        daemon.signal(signal.SIGTERM)
        await site.wait_ready(daemon, 503)
        site.grace_s = 10 * sites.WAIT_S
        site.write_settings(daemon)
        daemon.signal(signal.SIGHUP)
        assert [response.status for response, _ in await read_all(reader)] == [502]
        writer.close()
        await assert_clean_end(daemon)
        assert "settings" in [line["event"] for line in daemon.log]

    sites.run_scenario(scenario, **NON_IDEMPOTENT)


@pytest.mark.parametrize("heeds_close", [True, False])
def test_callers_that_go_on_until_the_process_is_gone_lose_no_request(heeds_close):
    """Every request that a leaf has run is answered completely, and no other is cut midway."""

    async def scenario(site):
        daemon = site.daemons[0]
        for delay_s, leaf in zip((0.05, 0.4), leaves_of(site, "p"), strict=True):
            leaf.delay_s = delay_s
        answered = []

        async def use_connection(caller):
            reader, writer = await site.connect(daemon)
            try:
                stays_open = True
                while stays_open or not heeds_close:
                    target = f"/p/{caller}-{site.next_request_id()}"
                    writer.write(site.make_request(target, LONG_MS))
                    response, stays_open = await sites.read_response(reader)
                    assert response.status in (200, 502, 503)
                    answered.append(target)
            except asyncio.IncompleteReadError as error:
                assert not error.partial, "the connection ended within a response"
            except ConnectionResetError:
                pass  # the request crossed the close
            finally:
                writer.close()

        async def call(caller):
            while True:
                try:
                    await use_connection(caller)
                except OSError:
                    return  # the listener is closed

        async with asyncio.timeout(sites.WAIT_S):
            callers = [asyncio.create_task(call(number)) for number in range(8)]
            await sites.wait_for(lambda: len(answered) > 30, "requests")
            daemon.signal(signal.SIGTERM)
            await asyncio.gather(*callers)
        await assert_clean_end(daemon)
        assert len(answered) > 30
        assert set(targets_of(site, "p")) <= set(answered)

    sites.run_scenario(scenario, **NON_IDEMPOTENT)
