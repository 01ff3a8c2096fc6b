"""Clients that nobody controls: requests of legal size, made of many odd header lines.

`python3 -m review.standins3.crowd HOST PORT COUNT` runs until it is ended, with COUNT connections.
Each sends a request for a route that does not exist, of which the head is complete after `HEAD_S`,
reads the answer and sends the next one; it connects again if it is refused.
"""

import asyncio
import resource
import sys

from review.standins3 import http

ODD_LINES = b"".join(b"x%03d: ;=;\r\n" % index for index in range(1000))
ODD_LINES += b"x: y\r\n" * 400  # in all 14,400 bytes; `maxHeaderBytes` is 16,384
HEAD_S = 2.0  # until a head is complete; `headerTimeoutMs` is 3,000
START_S = 1.0  # in which all of them come
RECONNECT_S = 0.5
SPARE_DESCRIPTORS = 100
MAX_S = 100.0  # after which the crowd ends by itself


async def run_client(host: str, port: int, index: int, count: int) -> None:
    """Send requests until cancelled."""
    await asyncio.sleep(START_S * index / count)
    while True:
        try:
            await _send_requests(host, port, index)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(RECONNECT_S)


async def _send_requests(host: str, port: int, index: int) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        number = 0
        while True:
            number += 1
            head = f"GET /none/ HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: c{index}-{number}\r\n"
            writer.write(head.encode() + ODD_LINES)
            await asyncio.sleep(HEAD_S)
            writer.write(b"\r\n")
            await http.read_response(reader)
    finally:
        writer.transport.abort()


async def _run(host: str, port: int, count: int) -> None:
    clients = [run_client(host, port, index, count) for index in range(count)]
    async with asyncio.timeout(MAX_S):
        await asyncio.gather(*clients)


def main() -> None:
    """Run the crowd that the command line describes."""
    host, port, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count + SPARE_DESCRIPTORS, hard))
    asyncio.run(_run(host, port, count))


if __name__ == "__main__":
    main()
