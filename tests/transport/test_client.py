"""Client connections to servers whose responses are cut, doubled, garbled or without end."""

import asyncio
import gc
import tracemalloc

import pytest

from bench import memory
from hyssopproxy import limit
from hyssopproxy.emulator import endless
from hyssopproxy.transport import buffer
from hyssopproxy.transport import client
from hyssopproxy.transport import message

MAX_GROWTH_BYTES = 40 << 20
WAIT_S = 30.0
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
STAMP = b"Server-Stamp: s\r\n"


async def serve(respond):
    """Start a server that answers each request by `respond(writer)`; return it and its port."""

    async def handle(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if not await respond(writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


async def connect(port, **fields):
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: client.Connection(**fields), "127.0.0.1", port
    )
    return connection


def send(connection, **fields):
    """Send a request; return a future of its response or failure."""
    future = asyncio.get_running_loop().create_future()
    connection.send(
        REQUEST, lambda response, failure: future.set_result(response or failure), **fields
    )
    return asyncio.wait_for(future, WAIT_S)


async def exchange(respond, **fields):
    server, port = await serve(respond)
    connection = await connect(port)
    result = await send(connection, **fields)
    connection.close()
    server.close()
    return result, connection


@pytest.mark.parametrize("name", sorted(endless.RESPONSES))
def test_response_without_end_fails_and_leaves_memory_bounded(name):
    async def respond(writer):
        await endless.send(writer, name, STAMP)

    before = memory.resident_bytes()
    result, connection = asyncio.run(exchange(respond))
    assert result in (client.Failure.TOO_LARGE, client.Failure.GARBLED)
    assert not connection.is_open()
    assert memory.resident_bytes() - before < MAX_GROWTH_BYTES


def test_large_response_within_limits_is_complete():
    body = b"y" * (4 << 20)

    async def respond(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True

    result, _ = asyncio.run(exchange(respond))
    assert result.body == body


def test_many_headers_fail_the_exchange():
    async def respond(writer):
        lines = b"A: b\r\n" * (limit.ResponseLimits().header_count + 1)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines + b"\r\n")
        return True

    result, _ = asyncio.run(exchange(respond))
    assert result is client.Failure.TOO_LARGE


def test_trailers_are_not_headers():
    async def respond(writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nServer-Stamp: forged\r\n\r\n"
        )
        return True

    result, _ = asyncio.run(exchange(respond))
    assert result.body == b"x" and result.get_header(b"server-stamp") is None


def test_largest_of_many_endless_responses_is_dropped_first():
    """Many connections below their own limit together exceed the limit of the process."""

    async def scenario():
        async def respond(writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n")
            writer.write(b"x" * held[0])
            return True

        held = [200_000]
        server, port = await serve(respond)
        account = buffer.Account(700_000)
        connections = [await connect(port, account=account) for _ in range(4)]
        results = []
        for connection, size in zip(connections, (200_000, 250_000, 100_000, 200_000), strict=True):
            held[0] = size
            results.append(asyncio.ensure_future(send(connection)))
            await asyncio.sleep(0.3)
        assert [future.done() for future in results] == [False, True, False, False]
        assert results[1].result() is client.Failure.TOO_LARGE
        assert account.total_bytes == 500_000 and account.drops == 1
        for connection in connections:
            connection.close()
        for future in results:
            future.cancel()
        assert account.total_bytes == 0
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_response_cut_at_any_byte_never_looks_complete(framing):
    """A server stops in the middle of its response's head or body and closes."""
    if framing == "length":
        whole = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 20\r\n\r\n" + b"r" * 20
    else:
        chunks = b"a\r\n" + b"r" * 10 + b"\r\na\r\n" + b"r" * 10 + b"\r\n0\r\n\r\n"
        whole = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Transfer-Encoding: chunked\r\n\r\n" + chunks

    async def scenario():
        sent = [b""]

        async def respond(writer):
            writer.write(sent[0])
            return False

        server, port = await serve(respond)
        for cut in range(len(whole)):
            for opening in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
                sent[0] = opening + whole[:cut]
                connection = await connect(port)
                assert isinstance(await send(connection), client.Failure), cut
        sent[0] = whole
        assert (await send(await connect(port))).body == b"r" * 20
        server.close()

    asyncio.run(scenario())


def test_second_response_on_an_idle_connection_closes_it():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"

    async def scenario():
        async def respond(writer):
            writer.write(response)
            await asyncio.sleep(0.1)
            writer.write(response)
            return True

        server, port = await serve(respond)
        connection = await connect(port)
        assert (await send(connection)).status == 200
        await asyncio.sleep(0.3)
        assert not connection.is_open()
        server.close()

    asyncio.run(scenario())


def test_copy_of_an_earlier_response_is_skipped():
    async def scenario():
        count = [0]

        async def respond(writer):
            count[0] += 1
            numbers = [count[0] - 1, count[0]] if count[0] > 1 else [1]
            for number in numbers:
                writer.write(b"HTTP/1.1 200 OK\r\nId: %d\r\nContent-Length: 0\r\n\r\n" % number)
            return True

        def accepts(response: message.Response) -> bool:
            return response.get_header(b"id") == b"%d" % count[0]

        server, port = await serve(respond)
        connection = await connect(port)
        for number in (1, 2):
            response = await send(connection, accepts=accepts)
            assert response.get_header(b"id") == b"%d" % number
        assert not connection.is_open()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("line", ["000 -", "000", "099 Odd", "600 Odd", "999 Odd"])
@pytest.mark.parametrize("fields", [{}, {"has_response_body": False}])
def test_response_with_a_status_out_of_range_ends_the_exchange(line, fields):
    """Guards against callers that get status 000 as an answer, or wait for a second response."""

    async def respond(writer):
        head = f"HTTP/1.1 {line}\r\nContent-Length: 2\r\n".encode()
        writer.write(head + STAMP + b"\r\n" + b"ok" * fields.get("has_response_body", True))
        return True  # the connection stays open

    result, connection = asyncio.run(exchange(respond, **fields))
    assert result is client.Failure.GARBLED
    assert not connection.is_open()


def test_response_to_head_request_has_no_body():
    async def respond(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        return True

    result, connection = asyncio.run(exchange(respond, has_response_body=False))
    assert (result.status, result.body) == (200, b"")
    assert not connection.is_open()


class NullTransport(asyncio.Transport):
    """Transport that discards what is written."""

    def write(self, data):
        pass

    def abort(self):
        pass


@pytest.mark.parametrize("end", ["failure", "close", "drop", "lost"])
def test_ended_exchange_holds_no_memory_until_the_next_garbage_collection(end):
    """Bodies of many ended exchanges, which no limit counted any more, filled the memory."""
    limits = limit.ResponseLimits(body_bytes=1 << 20)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n"
    results = []
    ended = []
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(40):
            connection = client.Connection(limits)
            connection.connection_made(NullTransport())
            connection.send(REQUEST, lambda response, failure: results.append(failure))
            connection.data_received(head + bytes(0xF0000))
            if end == "failure":
                connection.data_received(b"\r\nno chunk")
            elif end == "close":
                connection.close()
            elif end == "drop":
                connection.drop_buffer()
            connection.connection_lost(None)
            ended.append(connection)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held_bytes < 4 << 20
    assert len(results) == (0 if end == "close" else 40)
