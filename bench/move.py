"""Measures cold starts, changes of a failure domain and a rolling restart, all under load."""

import concurrent.futures
import multiprocessing
import time
import typing

from bench import base
from bench import fleet as fleets
from bench import process

RATE = 25.0
TARGET = {"leaves": 2, "slots": 8, "service_ms": 4.0}


def make_layout(**fields: typing.Any) -> fleets.Layout:
    """Return a layout of three domains, each with a daemon, a target and replicas of all shards."""
    return fleets.make_layout(3, 3, TARGET, shards=8, replicas=3, **fields)


class BackgroundLoad:
    """Load that a separate process sends during the measurement."""

    def __init__(self, layout: fleets.Layout, seconds: float, timeout_ms: int = 500) -> None:
        context = multiprocessing.get_context("spawn")
        self._pool = concurrent.futures.ProcessPoolExecutor(1, mp_context=context)
        self._future = self._pool.submit(base.send_load, layout, RATE, seconds, timeout_ms)

    def result(self) -> dict:
        """Wait for the end of the load and return its summary."""
        summary = self._future.result()
        self._pool.shutdown()
        return summary


class ColdStart(base.Measurement):
    """Restart of a target under load, with and without reports of its cold start."""

    name = "cold"
    title = "a target restarted behind 3 daemons, with and without reports that it is cold"
    requirement = "work in flight from all daemons together never exceeds the cold-start curve"

    def run(self) -> dict[str, typing.Any]:
        rows = [_restart_target(silent) for silent in (False, True)]
        return {"rows": rows, "ok": all(row["excess"] == 0 for row in rows)}


def _restart_target(silent: bool) -> dict[str, typing.Any]:
    layout = make_layout()
    with fleets.running(layout) as fleet:
        load = BackgroundLoad(layout, 12.0)
        process.wait_for(
            lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
        )
        time.sleep(2.0)
        fleet.targets["t0"].kill()
        time.sleep(0.5)
        layout.targets[0].cold = True
        fleet.start_target(layout.targets[0])
        process.wait_for(lambda: fleet.target_report("t0"), "t0 to restart")
        fleet.set_behaviour("t0", silent=silent)
        started_at = time.monotonic()
        process.wait_for(lambda: _is_warm(fleet), "t0 to be warm")
        cold_start_s = time.monotonic() - started_at
        summary = load.result()
        report = fleet.target_report("t0")
    return {
        "silent": silent,
        "excess": report["cold_excess"],
        "full_service_s": round(cold_start_s, 2),
        **{key: summary[key] for key in ("coverage", "late", "cut", "refused", "p99_ms")},
    }


def _is_warm(fleet: fleets.Fleet) -> bool:
    """Return whether the target is warm and every daemon treats it as warm."""
    address = fleet.layout.targets[0].address
    targets = [target for state in fleet.states() for target in state["targets"]]
    is_cold = any(target["cold"] for target in targets if target["address"] == address)
    return not is_cold and not fleet.target_report("t0")["is_cold"]


class DomainChange(base.Measurement):
    """A failure domain taken out under load, then put back."""

    name = "domain"
    title = "a failure domain taken out under load, then put back"
    requirement = "no new work there after 3 s, full coverage, p99 at most twice the steady p99"

    def run(self) -> dict[str, typing.Any]:
        layout = make_layout()
        with fleets.running(layout) as fleet:
            base.send_load(layout, RATE, 4.0)
            steady = BackgroundLoad(layout, 6.0).result()
            load = BackgroundLoad(layout, 14.0)
            time.sleep(2.0)
            changed_at = time.time()
            fleet.republish(domains_out=("d2",))
            time.sleep(6.0)
            last_work_s = fleet.target_report("t1")["last_received_at"] - changed_at
            fleet.set_behaviour("t1", cold=True)
            fleet.republish()
            summary = load.result()
            excess = fleet.target_report("t1")["cold_excess"]
        ratio = base.divide(summary["p99_ms"], steady["p99_ms"])
        is_complete = summary["full"] == summary["sent"] and summary["late"] == 0
        return {
            "steady_p99_ms": steady["p99_ms"],
            "move_p99_ms": summary["p99_ms"],
            "p99_ratio": ratio,
            "last_work_after_s": round(last_work_s, 2),
            "full": base.divide(summary["full"], summary["sent"]),
            "late": summary["late"],
            "refused": summary["refused"],
            "cold_excess": excess,
            "ok": last_work_s <= 3.0 and is_complete and ratio <= 2.0 and excess == 0,
        }


class RollingRestart(base.Measurement):
    """All daemons replaced one by one under load."""

    name = "restart"
    title = "all daemons replaced one by one under load"
    requirement = "no request cut or refused"

    def run(self) -> dict[str, typing.Any]:
        layout = make_layout()
        with fleets.running(layout) as fleet:
            load = BackgroundLoad(layout, 18.0, 2000)
            time.sleep(2.0)
            for vm in layout.vms:
                fleet.daemons[vm.name].stop()
                fleet.start_daemon(vm)
                fleet.wait_ready(vm)
            summary = load.result()
        keys = ("sent", "full", "cut", "late", "refused", "p50_ms", "p99_ms")
        figures = {key: summary[key] for key in keys}
        return {**figures, "ok": summary["cut"] == 0 and not summary["refused"]}
