"""Measures how long daemons take to answer a readiness check: python -m soak.probe S IP:PORT ...

Runs as a process of its own, so that the load generator does not delay what it measures.
"""

import asyncio
import contextlib
import json
import sys
import time

from hyssopproxy import address

INTERVAL_S = 0.02
TIMEOUT_S = 10.0
REQUEST = b"GET /v1/ready HTTP/1.1\r\nHost: probe\r\n\r\n"


async def probe(text: str, until: float) -> list[float]:
    """Ask one daemon until a time; return the delays of its answers in milliseconds."""
    parsed = address.parse(text)
    delays = []
    while time.monotonic() < until:
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            reader, writer = await asyncio.open_connection(parsed.host, parsed.port)
            with contextlib.closing(writer):
                while time.monotonic() < until:
                    asked_at = time.monotonic()
                    writer.write(REQUEST)
                    async with asyncio.timeout(TIMEOUT_S):
                        await reader.readuntil(b"\r\n\r\n")
                    delays.append((time.monotonic() - asked_at) * 1000)
                    # The reason of a 503 is in the body, which is skipped with the next answer.
                    await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(INTERVAL_S)
    return delays


async def probe_all(seconds: float, addresses: list[str]) -> list[dict]:
    """Return the median, the 99th percentile and the longest delay of each daemon."""
    until = time.monotonic() + seconds
    results = []
    for delays in await asyncio.gather(*(probe(text, until) for text in addresses)):
        delays.sort()
        ranks = {"p50": 0.5, "p99": 0.99, "max": 1.0}
        last = len(delays) - 1
        figures = {key: round(delays[int(rank * last)], 1) for key, rank in ranks.items() if delays}
        results.append({"answers": len(delays), **figures})
    return results


if __name__ == "__main__":
    print(json.dumps(asyncio.run(probe_all(float(sys.argv[1]), sys.argv[2:]))))
