"""Cold starts, a failure domain out and back, and all daemons replaced, under load."""

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
    """Return three domains with a daemon and a target each, every shard in every domain."""
    return fleets.make_layout(3, 3, TARGET, shards=8, replicas=3, **fields)


class Beside:
    """Load from a process of its own while the measurement acts."""

    def __init__(self, layout: fleets.Layout, seconds: float, timeout_ms: int = 500) -> None:
        context = multiprocessing.get_context("spawn")
        self._pool = concurrent.futures.ProcessPoolExecutor(1, mp_context=context)
        self._sent = self._pool.submit(base.send_load, layout, RATE, seconds, timeout_ms)

    def result(self) -> dict:
        """Return the summary."""
        sent = self._sent.result()
        self._pool.shutdown()
        return sent


class Cold(base.Measurement):
    """A target restarted, told and silent, under three daemons."""

    name = "cold"
    title = "a target restarted under 3 daemons, saying that it is cold or not"
    target = "work in flight never over the cold-start curve, all daemons together"

    def run(self) -> dict[str, typing.Any]:
        rows = [_restart_target(silent) for silent in (False, True)]
        return {"rows": rows, "ok": all(row["excess"] == 0 for row in rows)}


def _restart_target(silent: bool) -> dict[str, typing.Any]:
    layout = make_layout()
    with fleets.running(layout) as fleet:
        load = Beside(layout, 12.0)
        process.wait_for(lambda: fleet.target_report("t0")["counts"].get("received"), "work")
        time.sleep(2.0)
        fleet.targets["t0"].kill()
        time.sleep(0.5)
        layout.targets[0].cold = True
        fleet.start_target(layout.targets[0])
        process.wait_for(lambda: fleet.target_report("t0"), "the restart")
        fleet.set_behaviour("t0", silent=silent)
        began = time.monotonic()
        process.wait_for(lambda: _is_served(fleet), "full service")
        full_s = time.monotonic() - began
        sent = load.result()
        report = fleet.target_report("t0")
    return {
        "silent": silent,
        "excess": report["cold_excess"],
        "full_service_s": round(full_s, 2),
        **{key: sent[key] for key in ("coverage", "late", "cut", "refused", "p99_ms")},
    }


def _is_served(fleet: fleets.Fleet) -> bool:
    """Return whether the target is warm, and warm to every daemon."""
    address = fleet.layout.targets[0].address
    known = [one for state in fleet.states() for one in state["targets"]]
    is_cold = any(one["cold"] for one in known if one["address"] == address)
    return not is_cold and not fleet.target_report("t0")["is_cold"]


class Domain(base.Measurement):
    """A failure domain out under load, then back."""

    name = "domain"
    title = "a failure domain out under load, then back"
    target = "no new work there 3 s later, full coverage, p99 at most twice steady"

    def run(self) -> dict[str, typing.Any]:
        layout = make_layout()
        with fleets.running(layout) as fleet:
            base.send_load(layout, RATE, 4.0)
            steady = Beside(layout, 6.0).result()
            load = Beside(layout, 14.0)
            time.sleep(2.0)
            told_at = time.time()
            fleet.republish(domains_out=("d2",))
            time.sleep(6.0)
            late_work = fleet.target_report("t1")["last_received_at"] - told_at
            fleet.set_behaviour("t1", cold=True)
            fleet.republish()
            sent = load.result()
            excess = fleet.target_report("t1")["cold_excess"]
        ratio = base.divide(sent["p99_ms"], steady["p99_ms"])
        is_whole = sent["full"] == sent["sent"] and sent["late"] == 0
        return {
            "steady_p99_ms": steady["p99_ms"],
            "move_p99_ms": sent["p99_ms"],
            "p99_ratio": ratio,
            "last_work_after_s": round(late_work, 2),
            "full": base.divide(sent["full"], sent["sent"]),
            "late": sent["late"],
            "refused": sent["refused"],
            "cold_excess": excess,
            "ok": late_work <= 3.0 and is_whole and ratio <= 2.0 and excess == 0,
        }


class Restart(base.Measurement):
    """All daemons replaced one by one under load."""

    name = "restart"
    title = "all daemons replaced one by one under load"
    target = "no request cut or refused"

    def run(self) -> dict[str, typing.Any]:
        layout = make_layout()
        with fleets.running(layout) as fleet:
            load = Beside(layout, 18.0, 2000)
            time.sleep(2.0)
            for vm in layout.vms:
                fleet.daemons[vm.name].stop()
                fleet.start_daemon(vm)
                fleet.wait_ready(vm)
            sent = load.result()
        keys = ("sent", "full", "cut", "late", "refused", "p50_ms", "p99_ms")
        figures = {key: sent[key] for key in keys}
        return {**figures, "ok": sent["cut"] == 0 and not sent["refused"]}
