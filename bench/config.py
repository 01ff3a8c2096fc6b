"""Measures how long a configuration change takes to be in force on all daemons."""

import random
import time
import tracemalloc
import typing

import msgspec

from bench import base
from bench import fleet as fleets
from bench import process
from hyssopproxy import configuration
from hyssopproxy import state as states

CHANGES = 5
SERVICES = 20  # number of services that the leaves are divided among


class ConfigPropagation(base.Measurement):
    """Propagation time on 8 and 40 daemons, platform reads, and the cost of accepting a value."""

    name = "config"
    title = (
        "time until a change is in force on all daemons; cost of accepting a configuration value"
    )
    requirement = "at most 17 s"

    def run(self) -> dict[str, typing.Any]:
        rows = [_measure(size) for size in (8, 40)]
        values = [measure_accept(targets) for targets in (100, 400, 1000)]
        return {"rows": rows, "values": values, "ok": max(row["worst_s"] for row in rows) <= 17.0}


def _measure(size: int) -> dict[str, typing.Any]:
    with fleets.running(fleets.make_layout(3, size)) as fleet:
        time.sleep(2.0)
        reads, started_at = fleet.call_platform()["reads"], time.monotonic()
        times = [_time_propagation_s(fleet) for _ in range(CHANGES)]
        reads = fleet.call_platform()["reads"] - reads
        seconds = time.monotonic() - started_at
    return {
        "daemons": size,
        "worst_s": round(max(times), 3),
        "mean_s": round(sum(times) / len(times), 3),
        "platform_reads_per_s": round(reads / seconds, 2),
    }


def _take_domain_out(value: dict) -> None:
    value["failure_domains"]["a"]["state"] = "out"


def _change_service(value: dict) -> None:
    value["services"]["service0"]["deadline"] = {"default_ms": 200}


def _time_accept_ms(state: states.State, value: dict, change: typing.Callable) -> float:
    """Apply a change to the value and return the CPU milliseconds of accepting it."""
    value["version"] += 1
    change(value)
    blob = msgspec.json.encode(value)
    started_at = time.process_time()
    assert configuration.accept(state, blob, 2.0, []), state.rejection
    return round((time.process_time() - started_at) * 1000, 1)


def _time_propagation_s(fleet: fleets.Fleet) -> float:
    started_at = time.monotonic()
    version = fleet.republish()
    for vm in fleet.layout.vms:
        process.wait_for(lambda vm=vm: fleet.state(vm)["version"] == version, "the new version")
    return time.monotonic() - started_at


def measure_accept(targets: int) -> dict[str, typing.Any]:
    """Return size and cost of accepting a value with three leaves per target and 410 VMs."""
    value = {"version": 1, "services": {}, "vms": {}, "failure_domains": {}}
    for number in range(SERVICES):
        layout = fleets.make_layout(
            targets // SERVICES,
            0,
            {"leaves": 3},
            shards=targets * 3 // 2 // SERVICES,
            domains=tuple("abcdefg"),
        )
        generated = fleets.make_configuration(layout)
        service = {**generated["services"][fleets.SERVICE], "name": f"service{number}"}
        value["services"][service["name"]] = service
        value["failure_domains"] = generated["failure_domains"]
    for number in range(410):
        value["vms"][f"vm{number}"] = {
            "address": "10.0.0.1:80",
            "peer_address": f"10.0.{number % 250}.{number // 250}:81",
            "failure_domain": "abcdefg"[number % 7],
        }
    blob = msgspec.json.encode(value)
    identity = states.Identity("vm0", "a", "10.0.0.0:81", 1)
    traced = states.State(identity, random.Random(1), 0.0)
    tracemalloc.start()
    configuration.accept(traced, blob, 1.0, [])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    state = states.State(identity, random.Random(1), 0.0)
    started_at = time.process_time()
    accepted = configuration.accept(state, blob, 1.0, [])
    seconds = time.process_time() - started_at
    assert accepted, state.rejection
    return {
        "leaves": targets * 3,
        "bytes": len(blob),
        "packed_bytes": len(state.packed_config),
        "accept_ms": round(seconds * 1000, 1),
        "domain_out_ms": _time_accept_ms(state, value, _take_domain_out),
        "one_service_ms": _time_accept_ms(state, value, _change_service),
        "state_mb": round(memory / 1e6, 2),
    }
