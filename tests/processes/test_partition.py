"""Platform down, stale or cut off; daemons cut off, paused or started meanwhile."""

import collections
import contextlib
import signal
import time

import zmq

from bench import fleet as fleets
from bench import process

SEND_TIMEOUT_MS = 2000  # limit for sending to a daemon that may have refused the connection
IN_FORCE_S = 17.0  # users' requirement: a change is in force on all daemons within this time


def versions(fleet):
    return {state["version"] for state in fleet.states()}


def wait_version(fleet, version, seconds=process.WAIT_S):
    process.wait_for(
        lambda: versions(fleet) == {version}, f"all daemons to have version {version}", seconds
    )


def make_layout(**fields):
    layout = fleets.make_layout(targets=3, vms=3, replicas=3, **fields)
    return layout


def test_platform_down_and_restored_from_an_old_copy_reverts_nothing():
    layout = make_layout()
    with fleets.running(layout) as fleet:
        fleet.republish()
        wait_version(fleet, fleet.republish())
        for mode in ("down", "old", "frozen"):
            fleet.call_platform({"mode": mode})
            time.sleep(1.5)
            assert versions(fleet) == {3}
            status, body, _ = fleet.search(layout.vms[0])
            assert status == 200 and body["coverage"]["shards_answered"] == 6
        fleet.call_platform({"mode": "up"})
        wait_version(fleet, fleet.republish(), IN_FORCE_S)


def test_bad_configuration_is_rejected_by_all_daemons_and_the_next_good_one_accepted():
    layout = make_layout()
    with fleets.running(layout) as fleet:
        fleet.call_platform(
            {"raw": '{"version": 2, "services": {"x": {"nonsense": 1}}}', "version": 2}
        )
        process.wait_for(
            lambda: all(state["config_rejected"] for state in fleet.states()),
            "all daemons to reject the configuration",
        )
        assert versions(fleet) == {1}
        assert fleet.search(layout.vms[2])[0] == 200
        fleet.configuration["version"] = 2
        wait_version(fleet, fleet.republish())


def test_daemon_that_starts_while_the_platform_is_down_gets_the_configuration_from_a_peer():
    layout = make_layout()
    with fleets.running(layout) as fleet:
        wait_version(fleet, fleet.republish())
        fleet.call_platform({"mode": "down"})
        vm = layout.vms[2]
        fleet.daemons[vm.name].kill()
        vm.flags = ("--seeds", f"{layout.vms[0].peer},{layout.vms[1].peer}")
        fleet.start_daemon(vm)
        fleet.wait_ready(vm)
        assert fleet.state(vm)["version"] == 2
        assert fleet.search(vm)[1]["coverage"]["shards_answered"] == 6


def test_daemon_cut_off_from_the_platform_gets_changes_from_a_peer():
    layout = make_layout()
    layout.vms[1].platform = process.free_address()
    layout.vms[1].flags = ("--seeds", layout.vms[0].peer)
    with fleets.running(layout) as fleet:
        wait_version(fleet, fleet.republish(), IN_FORCE_S)
        wait_version(fleet, fleet.republish(domains_out=("d3",)), IN_FORCE_S)
        state = fleet.state(layout.vms[1])
        assert state["config_age_s"] < IN_FORCE_S


def test_domain_cut_off_from_all_others_serves_from_its_own_targets_only():
    layout = make_layout(uses_fault_proxy=True)
    isolated = layout.vms[0]
    with fleets.running(layout) as fleet:
        platform_link = fleet.add_link("platform", fleet.platform_address)
        fleet.daemons[isolated.name].kill()
        isolated.platform = platform_link
        fleet.start_daemon(isolated)
        fleet.wait_ready(isolated)
        fleet.set_faults("platform", cut=True)
        for vm in layout.vms[1:]:
            fleet.daemons[vm.name].signal(signal.SIGSTOP)  # sends nothing, as if it were cut off
        try:
            process.wait_for(
                lambda: len(targets_without_contact(fleet, isolated)) == 2,
                "contact with both other domains to be lost",
            )
            before = fleet.target_report("t1")["counts"].get("received", 0)
            for _ in range(5):
                assert fleet.search(isolated)[1]["coverage"]["shards_answered"] == 6
            assert fleet.target_report("t1")["counts"].get("received", 0) == before
            status, body, _ = fleet.send_action(isolated, "cut-off")
            assert status != 200 and body["execution"] == "unknown"
        finally:
            for vm in layout.vms[1:]:
                fleet.daemons[vm.name].signal(signal.SIGCONT)
        process.wait_for(
            lambda: not targets_without_contact(fleet, isolated),
            "contact with a peer after the other daemons resume",
        )
        fleet.set_faults("platform", cut=False)
        wait_version(fleet, fleet.republish(), IN_FORCE_S)


def targets_without_contact(fleet, vm):
    targets = fleet.state(vm)["targets"]
    return [target for target in targets if target["verdict"] == "no_fresh_word"]


def test_paused_daemon_does_not_act_on_old_configuration_when_it_resumes():
    layout = make_layout()
    with fleets.running(layout) as fleet:
        paused = layout.vms[0]
        fleet.daemons[paused.name].signal(signal.SIGSTOP)
        version = fleet.republish(domains_out=("d2",))
        process.wait_for(
            lambda: {fleet.state(vm)["version"] for vm in layout.vms[1:]} == {version},
            "all other daemons to have the new version",
        )
        time.sleep(4.0)
        fleet.daemons[paused.name].signal(signal.SIGCONT)
        resumed_at = time.time()
        wait_version(fleet, version)
        assert fleet.state(paused)["counters"]["pauses"] == 1
        process.wait_for(lambda: fleet.search(paused)[0] == 200, "an answer to a search")
        assert fleet.search(paused)[1]["coverage"]["shards_answered"] == 6
        assert fleet.target_report("t1")["last_received_at"] < resumed_at


@contextlib.contextmanager
def unauthenticated_socket(vm):
    """Connect a socket without a key to a daemon's peer port."""
    context = zmq.Context()
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    # If the daemon refuses the handshake, the socket has no peer and sending would block.
    socket.setsockopt(zmq.SNDTIMEO, SEND_TIMEOUT_MS)
    socket.connect(f"tcp://{vm.peer}")
    try:
        yield socket
    finally:
        socket.close()
        context.term()


def count_garbled(fleet, vm):
    return fleet.state(vm)["counters"].get("peer_messages_garbled", 0)


def test_unauthenticated_messages_on_the_peer_port_have_no_effect():
    layout = make_layout()
    key = zmq.curve_keypair()[1].decode()
    for vm in layout.vms:
        vm.flags = ("--peer-key", key)
    with fleets.running(layout) as fleet:
        wait_version(fleet, fleet.republish())
        first = layout.vms[0]
        process.wait_for(
            lambda: fleet.state(first)["peers"][0]["version"] == 2, "a peer to report version 2"
        )
        with unauthenticated_socket(first) as socket:
            with contextlib.suppress(zmq.Again):  # connection refused before all messages were sent
                for blob in (b"", b"\xff" * 100, b"x" * (3 << 20)):
                    socket.send(blob)
            time.sleep(1.0)
        assert count_garbled(fleet, first) == 0
        assert versions(fleet) == {2}


def test_malformed_message_from_a_peer_is_counted_and_dropped():
    layout = make_layout()
    with fleets.running(layout) as fleet:
        first = layout.vms[0]
        with unauthenticated_socket(first) as socket:
            socket.send(b"\xff\xfe")
            process.wait_for(lambda: count_garbled(fleet, first), "the message to be counted")
        assert fleet.search(first)[0] == 200


def test_no_key_runs_twice_across_a_one_way_cut_when_the_vm_list_changes():
    layout = make_layout()
    isolated, *others = layout.vms
    with fleets.running(layout) as fleet:
        isolated.platform = fleet.add_link("platform", fleet.platform_address)
        isolated.peer_link_address = fleet.add_link("peer", isolated.peer)
        fleet.daemons[isolated.name].kill()
        fleet.start_daemon(isolated)
        fleet.wait_ready(isolated)
        wait_version(fleet, fleet.republish())
        fleet.wait_settled()
        keys = [f"before{number}" for number in range(12)]
        for key in keys:
            process.wait_for(
                lambda key=key: fleet.send_action(others[0], key)[0] == 200,
                "the outcome of an action",
            )
        fleet.set_faults("platform", cut=True)
        fleet.set_faults("peer", stall_up=True)  # messages from the isolated daemon still arrive
        isolated.state = "leaving"
        fleet.republish()  # moves its keys to the other daemons; it does not receive this
        keys += [f"during{number}" for number in range(12)]
        until = time.monotonic() + 2 * layout.action_window_s
        while time.monotonic() < until:
            for key in keys:
                for vm in (isolated, others[0]):
                    status, body, _ = fleet.send_action(vm, key, timeout_ms=300)
                    assert status == 200 or body["execution"] == "unknown"
        assert len(targets_without_contact(fleet, isolated)) == 2
        assert fleet.search(isolated)[1]["coverage"]["shards_answered"] == 6
        after = [f"after{number}" for number in range(12)]
        assert {fleet.send_action(others[0], key)[0] for key in after} == {200}
        runs = collections.Counter()
        for report in fleet.target_reports():
            runs.update(report["actions"])
        assert set(runs.values()) == {1}
        assert set(keys[:12] + after) <= set(runs)
