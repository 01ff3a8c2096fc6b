"""Measures a daemon's CPU time per search and compares it with a bare fan-out in the same run."""

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
SHAPES = ((10, 1), (30, 1), (30, 3), (60, 6), (110, 11))  # (shards, requests) of a search


class Cost(base.Measurement):
    """CPU costs per shard and per request; ratio to bare aiohttp with the same batches."""

    name = "cost"
    title = (
        "CPU of a daemon by shards and requests per search, compared with a bare aiohttp fan-out"
    )
    requirement = "at most 1.5 times the CPU of the bare fan-out"

    def run(self) -> dict[str, typing.Any]:
        rows = [_measure(shards, requests) for shards, requests in SHAPES]
        worst = max(row["ratio_loop"] for row in rows)
        per_search, per_shard, per_request = fit_costs(rows)
        return {
            "rows": rows,
            "slopes_us": {"search": per_search, "shard": per_shard, "request": per_request},
            "worst_ratio_service": max(row["ratio_service"] for row in rows),
            "worst_ratio_loop": worst,
            "ok": worst <= 1.5,
        }


def fit_costs(rows: list[dict]) -> tuple[float, float, float]:
    """Return the least-squares costs of a search, a shard and a request, in microseconds."""
    factors = [[1.0, row["shards"], row["requests"]] for row in rows]
    measured = [row["cpu_us"] for row in rows]
    left = [[sum(f[i] * f[j] for f in factors) for j in range(3)] for i in range(3)]
    right = [sum(f[i] * m for f, m in zip(factors, measured, strict=True)) for i in range(3)]
    return tuple(round(value, 1) for value in _solve(left, right))


def _solve(left: list[list[float]], right: list[float]) -> list[float]:
    """Solve a small system of linear equations by Gaussian elimination."""
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
        daemon_us = _measure_cpu_us(layout, daemon)
        memory = daemon.memory_mb()
        bare_service = _start_bare(layout, by_address)
        try:
            service_us = _measure_cpu_us(layout, bare_service)
        finally:
            bare_service.kill()
        loop_us = asyncio.run(_measure_loop_us(by_address))
    return {
        "shards": shards,
        "requests": requests,
        "cpu_us": round(daemon_us),
        "bare_service_us": round(service_us),
        "bare_loop_us": round(loop_us),
        "ratio_service": base.divide(daemon_us, service_us),
        "ratio_loop": base.divide(daemon_us, loop_us),
        "us_a_shard": round(daemon_us / shards, 1),
        "memory_mb": round(memory, 1),
    }


def _measure_cpu_us(layout: fleets.Layout, server: process.Process) -> float:
    """Return the CPU microseconds per search of a process, less the CPU time it uses when idle."""
    base.send_load(layout, RATE, 1.0, 2000)
    idle, started_at = server.cpu_s(), time.monotonic()
    time.sleep(1.0)
    idle = (server.cpu_s() - idle) / (time.monotonic() - started_at)
    cpu, started_at = server.cpu_s(), time.monotonic()
    summary = base.send_load(layout, RATE, SEARCHES / RATE, 2000)
    used = server.cpu_s() - cpu - idle * (time.monotonic() - started_at)
    return used / summary["sent"] * 1e6


def _start_bare(layout: fleets.Layout, by_address: dict) -> process.Process:
    """Start the bare service and direct the load of the layout to it."""
    listen = process.free_address()
    flags = ("--listen", listen, "--by-address", json.dumps(by_address))
    bare_service = process.Process.start("bench.bare", *flags)
    layout.vms[0].listen = listen
    process.wait_for(
        lambda: process.send_request(f"http://{listen}/readyz")[0] == 200,
        "the bare service to start",
    )
    return bare_service


async def _measure_loop_us(by_address: dict[str, list[str]]) -> float:
    """Return the CPU microseconds per search of a closed loop that serves no callers."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await bare.fan_out(session, by_address, 0)
        started_at = time.process_time()
        for number in range(1, SEARCHES + 1):
            await bare.fan_out(session, by_address, number)
        return (time.process_time() - started_at) / SEARCHES * 1e6
