"""HTTP servers of the own interface while they stop."""

import asyncio
import socket
import threading
import time

import pytest
import starlette.responses
import starlette.routing

from hyssopproxy import server as servers

WAIT_S = 30.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def respond(request):
    await asyncio.sleep(0.1)
    return starlette.responses.PlainTextResponse("x", headers={"Connection": "close"})


def send_from_thread(port, results):
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=WAIT_S) as connection:
            connection.sendall(REQUEST)
            results.append(connection.recv(65536))
    except OSError as error:
        results.append(error)


def test_connections_in_the_backlog_are_served_when_the_server_stops():
    async def scenario():
        app = starlette.routing.Router(routes=[starlette.routing.Route("/", respond)])
        server = servers.make_server(app, "127.0.0.1", 0)
        listener = server.bind()
        task = asyncio.create_task(server.serve([listener]))
        while not server.started:
            await asyncio.sleep(0.01)
        results = []
        port = listener.getsockname()[1]
        threads = [
            threading.Thread(target=send_from_thread, args=(port, results)) for _ in range(20)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)  # the kernel accepts the connections, the event loop does not run
        stop = asyncio.create_task(server.shutdown([listener]))
        await asyncio.sleep(0)
        server.should_exit = True
        await stop
        for thread in threads:
            thread.join()
        await asyncio.wait([task], timeout=WAIT_S)
        assert len(results) == 20
        assert all(bytes(result).startswith(b"HTTP/1.1 200") for result in results)

    asyncio.run(scenario())


def test_address_in_use_is_an_error():
    app = starlette.routing.Router(routes=[])
    with servers.make_server(app, "127.0.0.1", 0).bind() as taken:
        taken.listen()
        other = servers.make_server(app, "127.0.0.1", taken.getsockname()[1])
        with pytest.raises(OSError):
            other.bind()
