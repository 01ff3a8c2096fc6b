"""Server connections of callers that send without end, or do not read their responses."""

import asyncio
import socket
import struct
import threading
import time

import pytest

from bench import memory
from hyssopproxy import limit
from hyssopproxy.transport import buffer
from hyssopproxy.transport import message
from hyssopproxy.transport import server as servers

MAX_GROWTH_BYTES = 40 << 20
MAX_SENT_BYTES = 400 << 20
WAIT_S = 30.0
BLOCK = b"x" * 65536
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"

#: By name: what is sent once, what is then repeated, and the status of the response.
ENDLESS = {
    "target": (b"GET /", BLOCK, 431),
    "header": (b"GET / HTTP/1.1\r\nX: ", BLOCK, 431),
    "headers": (b"GET / HTTP/1.1\r\n", b"X: 1\r\n" * 1000, 431),
    "body": (POST + b"Content-Length: 1000000\r\n\r\n", BLOCK, 413),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n", 413),
    "small_chunks": (CHUNKED, b"1\r\nx\r\n" * 10000, 400),
    "extension": (CHUNKED + b"1;x=", BLOCK, 400),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX: ", BLOCK, 400),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: 1\r\n" * 1000, 400),
}


class Echo(servers.Handler):
    """Answers each request with its body, or with a long one."""

    limits = limit.Limits(header_bytes=8192, body_bytes=262144, idle_timeout_s=0.5)

    def __init__(self):
        self.requests = []
        self.response_bytes = 0

    def handle(self, request, connection):
        self.requests.append(request)
        body = b"r" * self.response_bytes or request.body
        connection.reply(message.Response(200, [], body))


def run_with_server(scenario, account=None, limits=Echo.limits):
    async def run():
        handler = Echo()
        handler.limits = limits
        server = servers.Server(handler, account)
        await server.start("127.0.0.1", 0)
        try:
            async with asyncio.timeout(WAIT_S):
                await scenario(handler, server, server.port)
        finally:
            server.stop_accepting()

    asyncio.run(run())


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_request_without_end_is_rejected_and_leaves_memory_bounded(name):
    async def scenario(handler, server, port):
        opening, block, status = ENDLESS[name]
        before = memory.resident_bytes()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(opening)
        sent_bytes = 0
        response = asyncio.ensure_future(reader.readline())
        try:
            while not response.done() and sent_bytes < MAX_SENT_BYTES:
                writer.write(block)
                sent_bytes += len(block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass  # rejected and closed while it was still being sent
        assert b" %d " % status in await response
        assert memory.resident_bytes() - before < MAX_GROWTH_BYTES
        assert handler.requests == []
        writer.close()

    run_with_server(scenario)


def test_trailers_are_not_headers():
    async def scenario(handler, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CHUNKED + b"1\r\nx\r\n0\r\nRequest-Id: forged\r\n\r\n")
        assert b" 200 " in await reader.readline()
        assert handler.requests[0].get_header(b"request-id") is None
        writer.close()

    run_with_server(scenario)


def test_pipelined_requests_with_bodies_are_not_taken_for_framing():
    async def scenario(handler, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = POST + b"Content-Length: 100000\r\n\r\n" + b"b" * 100000
        small = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 4000 + b"\r\n\r\n"
        data = request + small * 20 + request + request
        for start in range(0, len(data), 50_000):
            writer.write(data[start : start + 50_000])
            await writer.drain()
        received = b""
        while received.count(b"HTTP/1.1 200") < 23:
            received += await reader.read(1 << 20)
        assert len(handler.requests) == 23
        writer.close()

    run_with_server(scenario)


def test_caller_that_does_not_read_its_response_is_aborted():
    async def scenario(handler, server, port):
        handler.response_bytes = 8 << 20
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        while server.connections:
            await asyncio.sleep(0.05)
        writer.close()

    run_with_server(scenario)


def test_largest_incomplete_request_is_rejected_when_all_together_are_too_large():
    async def scenario(handler, server, port):
        streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        for (_, writer), size in zip(streams, (90_000, 120_000, 60_000, 90_000), strict=True):
            writer.write(POST + b"Content-Length: 200000\r\n\r\n" + b"b" * size)
            await writer.drain()
            await asyncio.sleep(0.1)
        assert b" 503 " in await streams[1][0].readline()
        for index, rest in ((0, 110_000), (2, 140_000), (3, 110_000)):
            reader, writer = streams[index]
            writer.write(b"b" * rest)
            assert b" 200 " in await reader.readline()
        for _, writer in streams:
            writer.close()

    run_with_server(scenario, buffer.Account(300_000))


def send_from_thread(port, data, count, results):
    """Connect, send and read the response, from threads that the event loop does not block."""

    def run():
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as connection:
                connection.sendall(data)
                received = b""
                while chunk := connection.recv(65536):
                    received += chunk
                results.append(received)
        except OSError as error:
            results.append(error)

    threads = [threading.Thread(target=run) for _ in range(count)]
    for thread in threads:
        thread.start()
    return threads


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"])
def test_connections_in_the_backlog_are_served_when_accepting_stops(data):
    """A planned stop under load, while the event loop is behind: none is reset unanswered."""

    async def scenario(handler, server, port):
        results = []
        threads = send_from_thread(port, data, 30, results)
        time.sleep(0.5)  # the kernel accepts the connections, the event loop does not run
        server.stop_accepting()
        assert await server.drain(5.0) == 0
        assert not server.connections
        for thread in threads:
            thread.join()
        assert len(results) == 30
        assert all(isinstance(result, bytes) for result in results)
        assert all(result.startswith(b"HTTP/1.1 200") for result in results) or not data

    run_with_server(scenario)


def test_request_that_arrives_on_an_idle_connection_is_answered_before_it_is_closed():
    async def scenario(handler, server, port):
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        assert b" 200 " in await reader.readline()
        await asyncio.sleep(0.05)
        writer.get_extra_info("socket").dup().send(request)  # the server's loop has not read it
        server.stop_accepting()
        assert await server.drain(5.0) == 0
        assert len(handler.requests) == 2
        assert (await reader.read()).count(b"HTTP/1.1 200") == 1
        writer.close()

    run_with_server(scenario)


def test_drain_waits_for_callers_that_read_slowly():
    async def scenario(handler, server, port):
        handler.response_bytes = 8 << 20
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        server.stop_accepting()
        drained = asyncio.ensure_future(server.drain(WAIT_S))
        await asyncio.sleep(0.3)
        assert not drained.done()
        received_bytes = 0
        while chunk := await reader.read(1 << 20):
            received_bytes += len(chunk)
        writer.close()
        assert await drained == 0
        assert received_bytes > handler.response_bytes

    handler_limits = limit.Limits(idle_timeout_s=WAIT_S)
    run_with_server(scenario, limits=handler_limits)


def test_fault_at_one_connection_does_not_end_the_checks_of_the_others(monkeypatch):
    errors = []
    faulty = []
    check = servers.Connection.check_timeouts

    def check_or_fail(connection, now):
        if connection in faulty:
            raise KeyError("unexpected")
        check(connection, now)

    async def scenario(handler, server, port):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        _, kept = await asyncio.open_connection("127.0.0.1", port)
        while not server.connections:
            await asyncio.sleep(0.01)
        faulty.extend(server.connections)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert await reader.read() == b"", "the idle connection is closed"
        assert len(errors) > 1, "the checks go on"
        monkeypatch.undo()
        writer.close()
        kept.close()

    monkeypatch.setattr(servers.Connection, "check_timeouts", check_or_fail)
    run_with_server(scenario)


def test_fault_at_one_connection_does_not_end_the_drain(monkeypatch):
    errors = []

    def fail(connection, now):
        raise KeyError("unexpected")

    async def scenario(handler, server, port):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        while not server.connections:
            await asyncio.sleep(0.01)
        assert await server.drain(0.0) == 0
        assert errors
        monkeypatch.undo()
        writer.close()

    monkeypatch.setattr(servers.Connection, "close_if_idle", fail)
    run_with_server(scenario)


def test_caller_that_reads_its_last_response_slowly_gets_all_of_it():
    """A planned stop: the last response of a connection was cut a second after it was begun."""

    async def scenario(handler, server, port):
        handler.response_bytes = 8 << 20
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        received_bytes = len(await reader.read(1024))
        await asyncio.sleep(servers.LINGER_S + 2 * servers.TIMEOUT_CHECK_S)
        while chunk := await reader.read(1 << 20):
            received_bytes += len(chunk)
        writer.close()
        assert received_bytes > handler.response_bytes

    run_with_server(scenario, limits=limit.Limits(idle_timeout_s=WAIT_S))


def test_caller_that_does_not_read_its_last_response_is_aborted():
    async def scenario(handler, server, port):
        handler.response_bytes = 8 << 20
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        while server.connections:
            await asyncio.sleep(0.05)
        writer.close()

    run_with_server(scenario)


def test_idle_connections_are_closed_once_accepting_stops():
    """A planned stop: idle connections took requests as long as others were busy."""

    async def scenario(handler, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b" 200 " in await reader.readline()
        server.stop_accepting()
        assert (await reader.read()).endswith(b"\r\n\r\n")
        writer.close()

    run_with_server(scenario, limits=limit.Limits(idle_timeout_s=100 * WAIT_S))


def test_pipelined_requests_that_have_arrived_are_answered_before_the_close():
    """Requests that were sent far ahead of a response that closes the connection got none."""

    async def scenario(handler, server, port):
        connections = []
        handler.handle = lambda request, connection: connections.append(connection)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        sender = writer.get_extra_info("socket").dup()
        for _ in range(3 * servers.MAX_PIPELINED):
            sender.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
        answered = 0
        while connections:
            while connections:
                connections.pop().reply(message.Response(503, []), keep_alive=False)
                answered += 1
            await asyncio.sleep(0.1)
        assert answered == 3 * servers.MAX_PIPELINED
        assert (await reader.read()).count(b"HTTP/1.1 503") == answered
        writer.close()

    run_with_server(scenario)


def test_drain_does_not_count_callers_that_keep_their_connection_after_the_last_response():
    async def scenario(handler, server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        assert server.connections
        assert await server.drain(0.0) == 0
        writer.close()

    run_with_server(scenario)


def test_drain_counts_callers_that_have_not_read_their_response():
    async def scenario(handler, server, port):
        handler.response_bytes = 32 << 20
        _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        while not handler.requests:
            await asyncio.sleep(0.01)
        assert await server.drain(0.0) == 1
        writer.close()

    run_with_server(scenario)


def test_connections_are_bounded_and_those_in_use_stay():
    """Guards against callers that take all descriptors with connections that send nothing."""

    async def scenario(handler, server, port):
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        server._max_connections = 4
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        assert b" 200 " in await reader.readline()
        others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(8)]
        while server.refused < 5:
            await asyncio.sleep(0.01)
        assert len(server.connections) <= 4
        writer.write(request)
        await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in await reader.readline()
        for _, other in [(reader, writer), *others]:
            other.close()

    run_with_server(scenario, limits=limit.Limits(idle_timeout_s=100 * WAIT_S))


def test_reset_is_noticed_while_reading_is_paused():
    """Guards against descriptors and requests that stay after their callers have left."""

    async def scenario(handler, server, port):
        connections = []
        handler.handle = lambda request, connection: connections.append(connection)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 10_000)
        while not connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        linger = struct.pack("ii", 1, 0)  # closing resets the connection
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        while server.connections:
            await asyncio.sleep(0.01)

    run_with_server(scenario, limits=limit.Limits(idle_timeout_s=100 * WAIT_S))


def test_unread_responses_stop_further_requests():
    """Guards against responses that pile up for a caller that sends on and does not read."""

    async def scenario(handler, server, port):
        handler.response_bytes = 1 << 20
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        count = 40
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * count)
        while not handler.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert len(handler.requests) < count / 2
        received = 0
        while received < count * handler.response_bytes:
            received += len(await reader.read(1 << 20))
        assert len(handler.requests) == count
        writer.close()

    run_with_server(scenario, limits=limit.Limits(idle_timeout_s=100 * WAIT_S))
