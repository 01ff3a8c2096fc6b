"""Actions under kill, freeze, cut, lost replies and repeats: by the targets' ledgers."""

import collections
import concurrent.futures
import random
import signal

import pytest

from bench import fleet as fleets
from bench import process

KEYS = 8  # to each fault, each sent three times


@pytest.fixture(scope="module")
def fleet():
    layout = fleets.make_layout(targets=3, vms=3, proxied=True)
    with fleets.running(layout) as running:
        running.wait_settled()
        yield running


def runs(fleet):
    total = collections.Counter()
    for report in fleet.reports():
        total.update(report["actions"])
    return total


def test_repeat_through_another_daemon_gets_the_first_outcome(fleet):
    first, second, third = fleet.layout.vms
    answers = [fleet.act(vm, "repeat")[:2] for vm in (first, second, third, first)]
    assert answers[0][0] == 200
    assert answers == answers[:1] * 4
    assert runs(fleet)["repeat"] == 1


def test_nothing_runs_twice_whatever_the_links_do(fleet):
    rng = random.Random(11)
    said = collections.defaultdict(list)

    def send(key, vm):
        try:
            status, body, _ = fleet.act(vm, key, timeout_ms=600)
        except OSError:
            return
        said[key].append((status, body.get("execution")))

    faults = [
        {"stall_down": True},
        {"stall_down": False, "cut": True},
        {"cut": False, "byte_limit": 120},
        {"byte_limit": 0, "reset": True},
        {"delay_ms": 30, "jitter_ms": 60, "loss": 0.2},
        {"delay_ms": 0, "jitter_ms": 0, "loss": 0},
    ]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        for turn, changed in enumerate(faults * 2):
            for target in fleet.layout.targets:
                fleet.disturb(target.name, **changed)
            keys = [f"chaos{turn}.{number % KEYS}" for number in range(KEYS * 3)]
            list(pool.map(send, keys, rng.choices(fleet.layout.vms, k=len(keys))))
    for target in fleet.layout.targets:
        fleet.disturb(target.name, stall_down=False, cut=False, byte_limit=0, delay_ms=0, loss=0)
    counted = runs(fleet)
    assert max(counted.values()) == 1
    for key, answers in said.items():
        if (200, None) in answers:
            assert counted[key] == 1
        elif all(execution == "not_run" for _, execution in answers):
            assert counted[key] == 0
    assert any((200, None) in answers for answers in said.values())


def test_frozen_owner_runs_nothing_when_it_wakes(fleet):
    first = fleet.layout.vms[0]
    frozen = fleet.daemons["vm1"]
    frozen.signal(signal.SIGSTOP)
    try:
        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            keys = [f"frozen{number}" for number in range(20)]
            list(pool.map(lambda key: fleet.act(first, key, timeout_ms=800), keys))
    finally:
        frozen.signal(signal.SIGCONT)
    process.wait_for(lambda: fleet.state(fleet.layout.vms[1])["config_age_s"] < 2.0, "a fresh word")
    for key in keys:
        for vm in fleet.layout.vms:
            fleet.act(vm, key, timeout_ms=1500)
    assert max(runs(fleet).values()) == 1


def test_killed_owner_leaves_its_keys_unknown_and_its_successor_waits(fleet):
    vms = fleet.layout.vms
    keys = [f"killed{number}" for number in range(20)]
    for key in keys:
        process.wait_for(lambda key=key: fleet.act(vms[0], key)[0] == 200, "the first outcome")
    fleet.daemons["vm2"].kill()
    fleet.start_daemon(vms[2])
    fleet.wait_ready(vms[2])
    for key in keys:
        status, body, _ = fleet.act(vms[0], key, timeout_ms=1500)
        assert status == 200 or body["execution"] == "unknown"
    counted = runs(fleet)
    assert all(counted[key] == 1 for key in keys)
