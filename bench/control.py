"""What the daemons spend on each other and on the platform, by fleet size."""

import time
import typing

from bench import base
from bench import fleet as fleets

SIZES = (4, 16, 48)
SECONDS = 6.0


class Control(base.Measurement):
    """Idle daemons: CPU, memory and bytes a second, and platform reads."""

    name = "control"
    title = "control of an idle fleet by its size"
    target = "at most 2.9% of a core, 256 MB and 6 KB/s a daemon; reads that do not grow"

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
        began = time.monotonic()
        time.sleep(SECONDS)
        seconds = time.monotonic() - began
        cpu = sum(daemon.cpu_s() for daemon in fleet.daemons.values()) - cpu
        after = fleet.states()
        reads = fleet.call_platform()["reads"] - reads
        memory = max(daemon.memory_mb() for daemon in fleet.daemons.values())
    messages = _grown(before, after, "peer_messages_sent", "peer_messages_received")
    payload = _grown(before, after, "peer_bytes_sent", "peer_bytes_received")
    # TCP/IP, ZMTP and CURVE add about 120 bytes to a message on the wire.
    carried = payload + 120 * messages
    return {
        "daemons": size,
        "core": round(cpu / seconds / size, 5),
        "memory_mb": round(memory, 1),
        "messages_per_s": round(messages / seconds / size, 2),
        "bytes_per_s": round(carried / seconds / size),
        "platform_reads_per_s": round(reads / seconds, 2),
    }


def _grown(before: list[dict], after: list[dict], *names: str) -> int:
    total = 0
    for old, new in zip(before, after, strict=True):
        for name in names:
            total += new["counters"].get(name, 0) - old["counters"].get(name, 0)
    return total
