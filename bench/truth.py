"""Compares answers to callers with the ledgers of the targets, for snapshots and actions."""

import collections
import concurrent.futures
import random
import signal
import time
import typing

from bench import base
from bench import fleet as fleets
from bench import move

KEYS = 150


class SnapshotChange(base.Measurement):
    """A new snapshot and a repartition under load."""

    name = "snapshot"
    title = "a new snapshot, the old one dropped, and a repartition to twice the shards under load"
    requirement = (
        "no answer mixes snapshots; coverage 1, or less only for shards whose snapshot was dropped"
    )

    def run(self) -> dict[str, typing.Any]:
        layout = move.make_layout()
        with fleets.running(layout) as fleet:
            load = move.BackgroundLoad(layout, 10.0)
            time.sleep(2.0)
            old = fleet.configuration["services"][fleets.SERVICE]["snapshots"]["s1"]
            layout.shards *= 2
            new = {"number": 2, "shards": fleets.make_shards(layout)}
            self._publish(fleet, {"s1": old, "s2": new})
            for target in layout.targets:
                fleet.set_behaviour(target.name, snapshots=["s1"])  # s2 is not loaded yet
            time.sleep(1.0)
            for target in layout.targets:
                fleet.set_behaviour(target.name, snapshots=["s1", "s2"])
                time.sleep(0.5)
            for target in layout.targets:
                fleet.set_behaviour(target.name, snapshots=["s2"])
                time.sleep(0.3)
            self._publish(fleet, {"s2": new})
            summary = load.result()
            gone_count = base.sum_target_counts(fleet, "snapshot_gone")
            reruns = base.sum_daemon_counters(fleet, "reruns")
        keys = ("sent", "answered", "full", "coverage", "mixed", "late", "missing", "refused")
        all_snapshot_gone = set(summary["missing"]) <= {"snapshot_gone"}
        return {
            **{key: summary[key] for key in keys},
            "told_gone": gone_count,
            "reruns": reruns,
            "ok": summary["mixed"] == 0
            and all_snapshot_gone
            and (summary["coverage"] == 1.0 or gone_count > 0),
        }

    def _publish(self, fleet: fleets.Fleet, snapshots: dict) -> None:
        configuration = {**fleet.configuration, "version": fleet.configuration["version"] + 1}
        service = {**configuration["services"][fleets.SERVICE], "snapshots": snapshots}
        configuration["services"] = {fleets.SERVICE: service}
        fleet.publish(configuration)


class AtMostOnce(base.Measurement):
    """Actions repeated through all daemons while daemons are killed or frozen and links fail."""

    name = "once"
    title = "actions repeated through three daemons, under kills, cuts, freezes and loss"
    requirement = "no key run twice; every not_run confirmed by the ledgers"

    def run(self) -> dict[str, typing.Any]:
        layout = fleets.make_layout(3, 3, uses_fault_proxy=True)
        outcomes_by_key: dict[str, list[str]] = collections.defaultdict(list)
        with fleets.running(layout) as fleet:
            fleet.wait_settled()
            self._send_all(fleet, outcomes_by_key)
            runs: collections.Counter = collections.Counter()
            for report in fleet.target_reports():
                runs.update(report["actions"])
        first_outcomes = [outcomes[0] for outcomes in outcomes_by_key.values()]
        untrue_keys = [
            key
            for key, outcomes in outcomes_by_key.items()
            if set(outcomes) == {"not_run"} and runs[key] or "done" in outcomes and runs[key] != 1
        ]
        max_runs = max(runs.values())
        return {
            "keys": len(outcomes_by_key),
            "run_most": max_runs,
            "untrue": len(untrue_keys),
            "first_said": dict(collections.Counter(first_outcomes)),
            "unknown_share": base.divide(first_outcomes.count("unknown"), len(first_outcomes)),
            "unknown_but_not_run": sum(
                "unknown" in outcomes and not runs[key] for key, outcomes in outcomes_by_key.items()
            ),
            "ok": max_runs == 1 and not untrue_keys,
        }

    def _send_all(self, fleet: fleets.Fleet, outcomes_by_key: dict[str, list[str]]) -> None:
        rng = random.Random(5)
        fault_steps = {
            30: lambda: [fleet.set_faults(t.name, stall_down=True) for t in fleet.layout.targets],
            45: lambda: [fleet.set_faults(t.name, stall_down=False) for t in fleet.layout.targets],
            60: lambda: fleet.set_faults("t0", cut=True),
            75: lambda: fleet.set_faults("t0", cut=False, loss=0.1),
            90: lambda: fleet.daemons["vm1"].signal(signal.SIGSTOP),
            105: lambda: fleet.daemons["vm1"].signal(signal.SIGCONT),
            120: lambda: fleet.daemons["vm2"].kill(),
        }
        vms = fleet.layout.vms
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            for number in range(KEYS):
                if number in fault_steps:
                    fault_steps[number]()
                alive = vms[:2] if number >= 120 else vms
                for _ in range(rng.randint(1, 3)):
                    pool.submit(_send, fleet, f"key{number}", rng.choice(alive), outcomes_by_key)
                time.sleep(0.08)


def _send(
    fleet: fleets.Fleet, key: str, vm: fleets.VMSpec, outcomes_by_key: dict[str, list[str]]
) -> None:
    try:
        status, body, _ = fleet.send_action(vm, key, timeout_ms=700)
    except OSError:
        outcomes_by_key[key].append("lost")
        return
    outcomes_by_key[key].append("done" if status == 200 else body["execution"])
