"""Actions run at most once despite kills, freezes, cut links, lost replies and repeats.

The targets record how often each key runs.
"""

import collections
import concurrent.futures
import itertools
import random
import signal

import pytest

from bench import fleet as fleets
from bench import process

KEYS_PER_FAULT = 8  # each key is sent three times


@pytest.fixture(scope="module")
def fleet():
    layout = fleets.make_layout(targets=3, vms=3, uses_fault_proxy=True)
    with fleets.running(layout) as running:
        running.wait_settled()
        yield running


def count_runs(fleet):
    runs = collections.Counter()
    for report in fleet.target_reports():
        runs.update(report["actions"])
    return runs


def test_repeat_through_another_daemon_gets_the_first_outcome(fleet):
    first, second, third = fleet.layout.vms
    answers = [fleet.send_action(vm, "repeat")[:2] for vm in (first, second, third, first)]
    assert answers[0][0] == 200
    assert answers == answers[:1] * 4
    assert count_runs(fleet)["repeat"] == 1


def test_no_action_runs_twice_under_any_link_fault(fleet):
    rng = random.Random(11)
    replies = collections.defaultdict(list)

    def send(key, vm):
        try:
            status, body, _ = fleet.send_action(vm, key, timeout_ms=600)
        except OSError:
            return
        replies[key].append((status, body.get("execution")))

    faults = [
        {"stall_down": True},
        {"stall_down": False, "cut": True},
        {"cut": False, "byte_limit": 120},
        {"byte_limit": 0, "reset": True},
        {"delay_ms": 30, "jitter_ms": 60, "loss": 0.2},
        {"delay_ms": 0, "jitter_ms": 0, "loss": 0},
    ]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        for round_no, fault in enumerate(faults * 2):
            for target in fleet.layout.targets:
                fleet.set_faults(target.name, **fault)
            is_faultless = fault is faults[-1]
            if is_faultless:
                wait_until_served(fleet, f"served{round_no}")
            keys = [
                f"chaos{round_no}.{number % KEYS_PER_FAULT}" for number in range(KEYS_PER_FAULT * 3)
            ]
            list(pool.map(send, keys, rng.choices(fleet.layout.vms, k=len(keys))))
            if is_faultless:
                assert any((200, None) in replies[key] for key in keys)
    for target in fleet.layout.targets:
        fleet.set_faults(target.name, stall_down=False, cut=False, byte_limit=0, delay_ms=0, loss=0)
    runs = count_runs(fleet)
    assert max(runs.values()) == 1
    for key, answers in replies.items():
        if (200, None) in answers:
            assert runs[key] == 1
        elif all(execution == "not_run" for _, execution in answers):
            assert runs[key] == 0


def wait_until_served(fleet, prefix):
    """Wait until each daemon has had an action answered after the faults."""
    for vm in fleet.layout.vms:
        keys = (f"{prefix}.{vm.name}.{number}" for number in itertools.count())

        def is_served(vm=vm, keys=keys):
            return fleet.send_action(vm, next(keys), timeout_ms=600)[0] == 200

        process.wait_for(is_served, "an action to be answered after the faults")


def test_frozen_owner_runs_no_action_again_when_it_resumes(fleet):
    first = fleet.layout.vms[0]
    owner = fleet.daemons["vm1"]
    owner.signal(signal.SIGSTOP)
    try:
        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            keys = [f"frozen{number}" for number in range(20)]
            list(pool.map(lambda key: fleet.send_action(first, key, timeout_ms=800), keys))
    finally:
        owner.signal(signal.SIGCONT)
    process.wait_for(
        lambda: fleet.state(fleet.layout.vms[1])["config_age_s"] < 2.0,
        "vm1 to confirm its configuration",
    )
    for key in keys:
        for vm in fleet.layout.vms:
            fleet.send_action(vm, key, timeout_ms=1500)
    assert max(count_runs(fleet).values()) == 1


def test_keys_of_a_killed_and_restarted_owner_run_once_and_may_be_unknown(fleet):
    vms = fleet.layout.vms
    keys = [f"killed{number}" for number in range(20)]
    for key in keys:
        process.wait_for(
            lambda key=key: fleet.send_action(vms[0], key)[0] == 200,
            "the first outcome of an action",
        )
    fleet.daemons["vm2"].kill()
    fleet.start_daemon(vms[2])
    fleet.wait_ready(vms[2])
    for key in keys:
        status, body, _ = fleet.send_action(vms[0], key, timeout_ms=1500)
        assert status == 200 or body["execution"] == "unknown"
    runs = count_runs(fleet)
    assert all(runs[key] == 1 for key in keys)
