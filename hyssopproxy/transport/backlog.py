"""Connections that the kernel has accepted and the process has not."""

import asyncio
import socket
import typing


def accept_all(
    listener: socket.socket,
    make_protocol: typing.Callable[[], asyncio.BaseProtocol],
    tasks: set[asyncio.Task],
    maximum: int,
) -> None:
    """Accept what waits, at most `maximum` connections; `tasks` holds those being set up."""
    loop = asyncio.get_running_loop()
    for _ in range(maximum):
        try:
            accepted, _ = listener.accept()
        except OSError:  # the backlog is empty, or the caller has already closed
            break
        accepted.setblocking(False)
        task = loop.create_task(loop.connect_accepted_socket(make_protocol, accepted))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
