"""New snapshots, a repartition and faulty links under load."""

import time

from bench import fleet as fleets
from bench import process
from tests.processes import traffic


def publish(fleet, snapshots):
    value = {**fleet.value, "version": fleet.value["version"] + 1}
    service = {**value["services"][fleets.SERVICE], "snapshots": snapshots}
    value["services"] = {fleets.SERVICE: service}
    fleet.publish(value)
    for vm in fleet.layout.vms:
        process.wait_for(lambda vm=vm: fleet.state(vm)["version"] == value["version"], "version")


def test_new_snapshot_and_repartition_mix_nothing_and_miss_nothing():
    layout = fleets.make_layout(targets=3, vms=2, replicas=3)
    with fleets.running(layout) as fleet:
        old = fleet.value["services"][fleets.SERVICE]["snapshots"]["s1"]
        for target in layout.targets:
            fleet.tell(target.name, snapshots=["s1"])
        with traffic.running(layout, rate=20) as load:
            process.wait_for(lambda: fleet.report("t0")["counts"].get("received"), "work")
            layout.shards *= 2
            new = {"number": 2, "shards": fleets.make_shards(layout)}
            publish(fleet, {"s1": old, "s2": new})  # before any target has loaded it
            for snapshots in (["s1", "s2"], ["s2"]):
                for target in layout.targets:
                    fleet.tell(target.name, snapshots=snapshots)
                    time.sleep(0.3)
            publish(fleet, {"s2": new})
            time.sleep(1.0)
        report = load.result()
        assert report["mixed"] == report["late"] == report["cut"] == 0
        assert report["full"] == report["sent"]
        assert fleet.search(layout.vms[0])[1]["coverage"]["shards_total"] == 12
        assert sum(one["counts"].get("snapshot_gone", 0) for one in fleet.reports()) > 0


def test_lossy_and_cut_links_give_each_caller_its_own_answer_by_the_deadline():
    layout = fleets.make_layout(targets=3, vms=2, replicas=3, proxied=True)
    with fleets.running(layout) as fleet:
        with traffic.running(layout, rate=20) as load:
            process.wait_for(lambda: fleet.report("t0")["counts"].get("received"), "work")
            fleet.disturb("t0", delay_ms=5, jitter_ms=20, loss=0.1)
            fleet.disturb("t1", byte_limit=700)  # replies end in the middle
            time.sleep(3.0)
            fleet.disturb("t2", stall_down=True)  # one way
            time.sleep(2.0)
        report = load.result()
        counters = [state["counters"] for state in fleet.states()]
    assert report["mixed"] == report["late"] == report["cut"] == 0
    assert report["answered"] > 0
    assert all(kind.endswith("/not_run") for kind in report["refused"])
    assert sum(one.get("target_failure_reset", 0) for one in counters) > 0
