"""New snapshots, repartitioning and faulty links under load."""

import time

from bench import fleet as fleets
from bench import process
from tests.processes import traffic


def publish(fleet, snapshots):
    value = {**fleet.configuration, "version": fleet.configuration["version"] + 1}
    service = {**value["services"][fleets.SERVICE], "snapshots": snapshots}
    value["services"] = {fleets.SERVICE: service}
    fleet.publish(value)
    for vm in fleet.layout.vms:
        process.wait_for(
            lambda vm=vm: fleet.state(vm)["version"] == value["version"],
            "the daemon to have the new version",
        )


def test_new_snapshot_and_repartitioning_keep_answers_unmixed_and_complete():
    layout = fleets.make_layout(targets=3, vms=2, replicas=3)
    with fleets.running(layout) as fleet:
        old = fleet.configuration["services"][fleets.SERVICE]["snapshots"]["s1"]
        for target in layout.targets:
            fleet.set_behaviour(target.name, snapshots=["s1"])
        with traffic.running(layout, rate=20) as load:
            process.wait_for(
                lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
            )
            layout.shards *= 2
            new = {"number": 2, "shards": fleets.make_shards(layout)}
            publish(fleet, {"s1": old, "s2": new})  # before any target has loaded s2
            for snapshots in (["s1", "s2"], ["s2"]):
                for target in layout.targets:
                    fleet.set_behaviour(target.name, snapshots=snapshots)
                    time.sleep(0.3)
            publish(fleet, {"s2": new})
            time.sleep(1.0)
        report = load.result()
        assert report["mixed"] == report["late"] == report["cut"] == 0
        assert report["full"] == report["sent"]
        assert fleet.search(layout.vms[0])[1]["coverage"]["shards_total"] == 12
        assert (
            sum(
                target_report["counts"].get("snapshot_gone", 0)
                for target_report in fleet.target_reports()
            )
            > 0
        )


def test_each_caller_gets_its_own_answer_in_time_over_lossy_and_cut_links():
    layout = fleets.make_layout(targets=3, vms=2, replicas=3, uses_fault_proxy=True)
    with fleets.running(layout) as fleet:
        with traffic.running(layout, rate=20) as load:
            process.wait_for(
                lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
            )
            fleet.set_faults("t0", delay_ms=5, jitter_ms=20, loss=0.1)
            fleet.set_faults("t1", byte_limit=700)  # replies are cut off in the middle
            time.sleep(3.0)
            fleet.set_faults("t2", stall_down=True)  # replies do not arrive; requests still do
            time.sleep(2.0)
        report = load.result()
        counters = [state["counters"] for state in fleet.states()]
    assert report["mixed"] == report["late"] == report["cut"] == 0
    assert report["answered"] > 0
    assert all(kind.endswith("/not_run") for kind in report["refused"])
    assert sum(counts.get("target_failure_reset", 0) for counts in counters) > 0
