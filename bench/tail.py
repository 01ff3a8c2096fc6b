"""Measures hedging against stragglers, and whether answers meet their deadline."""

import signal
import typing

from bench import base
from bench import fleet as fleets

RATE = 12.0  # low, so that stragglers cause the tail and not the load on this machine
SECONDS = 16.0
WARM_UP_SECONDS = 5.0
SLOW_SERVICE_MS = 20.0  # long, so that stragglers cause the tail and not the load on this machine
STRAGGLER_TIMEOUT_MS = 1500
TARGET = {"leaves": 5, "slots": 8, "service_ms": 4.0}


class Stragglers(base.Measurement):
    """25 leaves, 1 in 100 sub-searches 20 times slower, with and without hedges."""

    name = "stragglers"
    title = "25 leaves, 1 in 100 sub-searches 20 times slower; hedges compared with none"
    requirement = "p99 at most half of the baseline's p99, extra target load at most 5%"

    def run(self) -> dict[str, typing.Any]:
        rows = [_run_stragglers(hedge) for hedge in ("none", "quantile")]
        ratio = base.divide(rows[1]["p99_ms"], rows[0]["p99_ms"])
        extra = rows[1]["extra_load"]
        return {
            "rows": rows,
            "p99_ratio": ratio,
            "extra_load": extra,
            "ok": ratio <= 0.5 and extra <= 0.05,
        }


def _run_stragglers(hedge: str) -> dict[str, typing.Any]:
    target = {**TARGET, "service_ms": SLOW_SERVICE_MS}
    service = {"policy": {"hedge": hedge}}
    layout = fleets.make_layout(5, 2, target, shards=25, replicas=2, service=service)
    with fleets.running(layout) as fleet:
        for target in layout.targets:
            fleet.set_behaviour(target.name, straggler_rate=0.01, straggler_factor=20.0)
        base.send_load(layout, RATE, WARM_UP_SECONDS, STRAGGLER_TIMEOUT_MS)
        before = base.sum_target_counts(fleet, "received")
        summary = base.send_load(layout, RATE, SECONDS, STRAGGLER_TIMEOUT_MS)
        received = base.sum_target_counts(fleet, "received") - before
    return {
        "hedge": hedge,
        **{key: summary[key] for key in ("p50_ms", "p99_ms", "p99.9_ms", "coverage", "late")},
        "extra_load": base.divide(received - summary["sent"] * 25, summary["sent"] * 25),
    }


class Deadline(base.Measurement):
    """One target frozen and one link lossy, with the wait policies of both users and a baseline."""

    name = "deadline"
    title = "one target frozen, one link lossy; both users' wait policies compared with wait_all"
    requirement = "no answer after its deadline"

    def run(self) -> dict[str, typing.Any]:
        rows = [_run_deadline(wait) for wait in ("wait_all", "coverage_first", "latency_first")]
        return {"rows": rows, "ok": all(row["late"] == 0 for row in rows[1:])}


def _run_deadline(wait: str) -> dict[str, typing.Any]:
    service = {"wait": {"policy": wait, "enough_coverage": 0.9}}
    layout = fleets.make_layout(
        5, 2, TARGET, shards=25, replicas=2, service=service, uses_fault_proxy=True
    )
    with fleets.running(layout) as fleet:
        base.send_load(layout, RATE, 3.0, 400)
        fleet.targets["t0"].signal(signal.SIGSTOP)
        fleet.set_faults("t1", loss=0.05, delay_ms=3, jitter_ms=3)
        try:
            summary = base.send_load(layout, RATE, 8.0, 400)
        finally:
            fleet.targets["t0"].signal(signal.SIGCONT)
    keys = ("answered", "late", "coverage", "p50_ms", "p99_ms", "refused", "missing")
    return {"wait": wait, **{key: summary[key] for key in keys}}
