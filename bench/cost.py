"""What a daemon's processor time goes to, against a bare fan-out in the same run."""

import asyncio
import json
import time
import typing

import aiohttp

from bench import bare
from bench import base
from bench import fleet as fleets
from bench import process

SEARCHES = 160
RATE = 40.0
SHAPES = ((10, 1), (30, 1), (30, 3), (60, 6), (110, 11))  # shards, requests


class Cost(base.Measurement):
    """Slopes by shards and by requests; ratio to bare aiohttp, equally batched."""

    name = "cost"
    title = "CPU of a daemon by shards and by requests a search, against a bare aiohttp fan-out"
    target = "at most 1.5 times the bare fan-out's CPU"

    def run(self) -> dict[str, typing.Any]:
        rows = [_measure(shards, requests) for shards, requests in SHAPES]
        worst = max(row["ratio_loop"] for row in rows)
        fixed, per_shard, per_request = fit(rows)
        return {
            "rows": rows,
            "slopes_us": {"search": fixed, "shard": per_shard, "request": per_request},
            "worst_ratio_service": max(row["ratio_service"] for row in rows),
            "worst_ratio_loop": worst,
            "ok": worst <= 1.5,
        }


def fit(rows: list[dict]) -> tuple[float, float, float]:
    """Return the least-squares costs of a search, a shard and a request, in microseconds."""
    columns = [[1.0, row["shards"], row["requests"]] for row in rows]
    wanted = [row["cpu_us"] for row in rows]
    left = [[sum(c[i] * c[j] for c in columns) for j in range(3)] for i in range(3)]
    right = [sum(c[i] * w for c, w in zip(columns, wanted, strict=True)) for i in range(3)]
    return tuple(round(value, 1) for value in _solve(left, right))


def _solve(left: list[list[float]], right: list[float]) -> list[float]:
    """Solve a small linear system by elimination."""
    size = len(right)
    rows = [[*left[i], right[i]] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(rows[k][i]))
        rows[i], rows[pivot] = rows[pivot], rows[i]
        for k in range(size):
            if k != i:
                factor = rows[k][i] / rows[i][i]
                rows[k] = [a - factor * b for a, b in zip(rows[k], rows[i], strict=True)]
    return [rows[i][size] / rows[i][i] for i in range(size)]


def _measure(shards: int, requests: int) -> dict[str, typing.Any]:
    target = {"leaves": max(1, shards // requests), "slots": 64, "service_ms": 2.0}
    layout = fleets.make_layout(requests, 1, target, shards=shards, replicas=1, domains=("d1",))
    with fleets.running(layout) as fleet:
        by_address = bare.group_shards(fleet.configuration["services"][fleets.SERVICE])
        daemon = fleet.daemons["vm0"]
        ours = _load(layout, daemon)
        memory = daemon.memory_mb()
        service = _start_bare(layout, by_address)
        try:
            served = _load(layout, service)
        finally:
            service.kill()
        loop_us = asyncio.run(_run_loop(by_address))
    return {
        "shards": shards,
        "requests": requests,
        "cpu_us": round(ours),
        "bare_service_us": round(served),
        "bare_loop_us": round(loop_us),
        "ratio_service": base.divide(ours, served),
        "ratio_loop": base.divide(ours, loop_us),
        "us_a_shard": round(ours / shards, 1),
        "memory_mb": round(memory, 1),
    }


def _load(layout: fleets.Layout, running: process.Process) -> float:
    """Return the CPU microseconds of a search, the process's own idle work taken off."""
    base.send_load(layout, RATE, 1.0, 2000)
    idle, began = running.cpu_s(), time.monotonic()
    time.sleep(1.0)
    idle = (running.cpu_s() - idle) / (time.monotonic() - began)
    cpu, began = running.cpu_s(), time.monotonic()
    sent = base.send_load(layout, RATE, SEARCHES / RATE, 2000)
    used = running.cpu_s() - cpu - idle * (time.monotonic() - began)
    return used / sent["sent"] * 1e6


def _start_bare(layout: fleets.Layout, by_address: dict) -> process.Process:
    """Start the bare service and let the layout's load go to it."""
    listen = process.free_address()
    flags = ("--listen", listen, "--by-address", json.dumps(by_address))
    started = process.Process.start("bench.bare", *flags)
    layout.vms[0].listen = listen
    process.wait_for(
        lambda: process.send_request(f"http://{listen}/readyz")[0] == 200, "the bare service"
    )
    return started


async def _run_loop(by_address: dict[str, list[str]]) -> float:
    """Return the CPU microseconds of a search sent in a closed loop, with no caller to serve."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await bare.fan_out(session, by_address, 0)
        began = time.process_time()
        for number in range(1, SEARCHES + 1):
            await bare.fan_out(session, by_address, number)
        return (time.process_time() - began) / SEARCHES * 1e6
