"""Measures the cost of gossip and platform reads, by fleet size."""

import time
import typing

from bench import base
from bench import fleet as fleets

SIZES = (4, 16, 48)
SECONDS = 6.0


class Control(base.Measurement):
    """CPU, memory, bytes per second and platform reads of idle daemons."""

    name = "control"
    title = "cost of the control traffic of an idle fleet, by fleet size"
    requirement = (
        "at most 2.9% of a core, 256 MB and 6 KB/s per daemon; "
        "platform reads do not grow with the fleet"
    )

    def run(self) -> dict[str, typing.Any]:
        rows = [_measure(size) for size in SIZES]
        last = rows[-1]
        ok = last["core"] <= 0.029 and last["memory_mb"] <= 256 and last["bytes_per_s"] <= 6000
        return {"rows": rows, "ok": ok}


def _measure(size: int) -> dict[str, typing.Any]:
    layout = fleets.make_layout(3, size, shards=6, replicas=2)
    with fleets.running(layout) as fleet:
        time.sleep(3.0)
        reads = fleet.call_platform()["reads"]
        before = fleet.states()
        cpu = sum(daemon.cpu_s() for daemon in fleet.daemons.values())
        started_at = time.monotonic()
        time.sleep(SECONDS)
        seconds = time.monotonic() - started_at
        cpu = sum(daemon.cpu_s() for daemon in fleet.daemons.values()) - cpu
        after = fleet.states()
        reads = fleet.call_platform()["reads"] - reads
        memory = max(daemon.memory_mb() for daemon in fleet.daemons.values())
    messages = _sum_increases(before, after, "peer_messages_sent", "peer_messages_received")
    payload = _sum_increases(before, after, "peer_bytes_sent", "peer_bytes_received")
    # TCP/IP, ZMTP and CURVE add about 120 bytes per message on the wire.
    wire_bytes = payload + 120 * messages
    return {
        "daemons": size,
        "core": round(cpu / seconds / size, 5),
        "memory_mb": round(memory, 1),
        "messages_per_s": round(messages / seconds / size, 2),
        "bytes_per_s": round(wire_bytes / seconds / size),
        "platform_reads_per_s": round(reads / seconds, 2),
    }


def _sum_increases(before: list[dict], after: list[dict], *names: str) -> int:
    total = 0
    for old, new in zip(before, after, strict=True):
        for name in names:
            total += new["counters"].get(name, 0) - old["counters"].get(name, 0)
    return total
