"""Failure domains taken out and put back, draining targets and cold starts.

The targets record what they receive.
"""

import signal
import time

import pytest

from bench import fleet as fleets
from bench import process
from tests.processes import traffic

OUT_S = 3.0  # time until a domain that is taken out or a draining target gets no new work
CLOCK_S = 0.1  # tolerance between the clock readings of the test and of a target


@pytest.fixture
def fleet():
    with fleets.running(fleets.make_layout(targets=3, vms=3, replicas=3)) as running:
        yield running


def test_domain_out_gets_no_new_work_and_keeps_full_coverage_when_it_returns_cold(fleet):
    with traffic.running(fleet.layout, rate=30) as load:
        process.wait_for(
            lambda: fleet.target_report("t1")["counts"].get("received"), "t1 to receive work"
        )
        changed_at = time.time()
        fleet.republish(domains_out=("d2",))
        time.sleep(OUT_S + 2.0)
        assert fleet.target_report("t1")["last_received_at"] <= changed_at + OUT_S + CLOCK_S
        url = f"http://{fleet.layout.vms[1].listen}/readyz"
        assert process.send_request(url)[0] == 503
        before = fleet.target_report("t1")["counts"]["received"]
        fleet.set_behaviour("t1", cold=True, silent=True)
        fleet.republish()
        process.wait_for(
            lambda: fleet.target_report("t1")["counts"]["received"] > before,
            "t1 to receive work again",
        )
        process.wait_for(
            lambda: not fleet.target_report("t1")["is_cold"], "t1 to finish its cold start"
        )
    assert fleet.target_report("t1")["cold_excess"] == 0
    report = load.result()
    assert report["cut"] == report["late"] == 0
    assert report["refused"] == {}
    assert report["full"] == report["sent"]


def test_draining_target_gets_no_new_work(fleet):
    with traffic.running(fleet.layout, rate=30) as load:
        process.wait_for(
            lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
        )
        fleet.set_behaviour("t0", state="draining")
        changed_at = time.time()
        time.sleep(OUT_S + 1.0)
    assert fleet.target_report("t0")["last_received_at"] <= changed_at + OUT_S + CLOCK_S
    report = load.result()
    assert report["full"] == report["sent"]


@pytest.mark.parametrize("silent", [False, True])
def test_restarted_target_is_not_overloaded_during_its_cold_start(fleet, silent):
    target = fleet.layout.targets[0]
    with traffic.running(fleet.layout, rate=30) as load:
        process.wait_for(
            lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
        )
        fleet.targets["t0"].kill()
        time.sleep(1.0)
        target.cold = True
        fleet.start_target(target)
        process.wait_for(lambda: fleet.target_report("t0"), "t0 to restart")
        fleet.set_behaviour("t0", silent=silent)
        process.wait_for(
            lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work again"
        )
        process.wait_for(
            lambda: not fleet.target_report("t0")["is_cold"], "t0 to finish its cold start"
        )
    assert fleet.target_report("t0")["cold_excess"] == 0
    report = load.result()
    assert report["full"] == report["sent"]


def test_no_search_is_late_while_all_targets_warm_up(fleet):
    for target in fleet.layout.targets:
        fleet.set_behaviour(target.name, cold=True)
    with traffic.running(fleet.layout, rate=40, timeout_ms=300) as load:
        process.wait_for(
            lambda: not any(report["is_cold"] for report in fleet.target_reports()),
            "all targets to be warm",
        )
    report = load.result()
    assert report["late"] == report["cut"] == 0
    assert all(kind.endswith("/not_run") for kind in report["refused"])


def test_frozen_target_delays_no_search(fleet):
    fleet.targets["t2"].signal(signal.SIGSTOP)
    try:
        with traffic.running(fleet.layout, rate=20, timeout_ms=1000) as load:
            time.sleep(4.0)
    finally:
        fleet.targets["t2"].signal(signal.SIGCONT)
    report = load.result()
    assert report["cut"] == report["late"] == 0
    assert report["coverage"] > 0.97


def test_wrong_state_report_of_a_draining_target_costs_no_coverage(fleet):
    with traffic.running(fleet.layout, rate=20) as load:
        process.wait_for(
            lambda: fleet.target_report("t0")["counts"].get("received"), "t0 to receive work"
        )
        fleet.set_behaviour("t0", state="draining", report="draining")
        time.sleep(OUT_S)
        received = fleet.target_report("t0")["counts"]["received"]
        time.sleep(2.0)
        assert fleet.target_report("t0")["counts"]["received"] == received
        fleet.set_behaviour("t0", report="warm")
        time.sleep(2.0)
    report = load.result()
    assert report["full"] == report["sent"]
