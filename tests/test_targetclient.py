"""Target client against servers whose responses have no end."""

import asyncio

import pytest

from bench import memory
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import platformclient
from hyssopproxy import targetclient
from hyssopproxy import wire
from hyssopproxy.emulator import endless

MAX_GROWTH_BYTES = 40 << 20
TIMEOUT_S = 2.0
HEADERS = b"Content-Type: application/x-ndjson\r\nIdempotency-Key: k\r\n"


def run_against(name, scenario):
    """Run a scenario against a server with an endless response; return the events posted."""

    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await endless.send(writer, name, HEADERS)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    async def run():
        posted = []
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        await scenario(address, posted.append)
        server.close()
        return posted

    before = memory.resident_bytes()
    posted = asyncio.run(run())
    assert memory.resident_bytes() - before < MAX_GROWTH_BYTES
    return posted


@pytest.mark.parametrize("name", sorted(endless.RESPONSES))
def test_endless_search_response_fails_and_leaves_memory_bounded(name):
    async def scenario(address, post):
        client = targetclient.HttpTargetClient(post)
        search = wire.SubSearch("id", 1000, "s1", "shard", "x", 3)
        now = asyncio.get_running_loop().time()
        await client.search(effect.SendSearch(1, address, (search,), 0, now + 9.0, TIMEOUT_S))
        await client.close()

    posted = run_against(name, scenario)
    assert isinstance(posted[-1], event.RequestEnded)
    assert posted[-1].failure is not None and not posted[-1].failure.is_not_run


@pytest.mark.parametrize("name", ["endless_body", "endless_chunks", "endless_head"])
def test_endless_action_response_leaves_the_outcome_unknown(name):
    async def scenario(address, post):
        client = targetclient.HttpTargetClient(post)
        now = asyncio.get_running_loop().time()
        await client.act(effect.SendAction(1, address, "k", {}, now + 9.0, TIMEOUT_S))
        await client.probe(effect.ProbeStatus(address))
        await client.close()

    posted = run_against(name, scenario)
    assert posted[0].failure is not None and not posted[0].failure.is_not_run
    assert posted[1].target_state is None


@pytest.mark.parametrize("name", ["endless_body", "endless_length", "endless_headers"])
def test_endless_platform_response_leaves_memory_bounded(name):
    async def scenario(address, post):
        client = platformclient.HttpPlatformClient(address, post)
        await client.read_vms()
        await client.close()

    assert run_against(name, scenario) == []


@pytest.mark.parametrize("line", ["000 -", "099 Odd", "101 Odd", "600 Odd", "999 Odd"])
def test_status_out_of_range_is_no_outcome_of_an_action(line):
    """Guards against callers that get status 000 as an answer; it also stands for a running one."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 {line}\r\nContent-Length: 2\r\n".encode()
        writer.write(head + HEADERS + b"\r\nok")
        writer.close()

    async def run():
        posted = []
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = targetclient.HttpTargetClient(posted.append)
        now = asyncio.get_running_loop().time()
        await client.act(effect.SendAction(1, address, "k", {}, now + 9.0, TIMEOUT_S))
        await client.close()
        server.close()
        return posted

    (ended,) = asyncio.run(run())
    assert ended.failure is event.Failure.GARBLED and not ended.failure.is_not_run
