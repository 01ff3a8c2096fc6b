"""Tests of configuration, gossip, shares and cold starts on the reducer."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from bench import fleet as fleets
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import freshness
from hyssopproxy import lifecycle
from hyssopproxy import message
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target as targets
from tests import world as worlds

Availability = targets.Availability


@pytest.fixture
def world():
    world = worlds.World()
    world.publish(5)
    return world


def availability_by_domain(world):
    state = world.state
    return {
        target.spec.failure_domain: targets.check_target(state, target, world.now)
        for target in state.targets.values()
    }


def test_older_version_is_not_accepted(world):
    world.publish(4)
    assert world.state.config.version == 5
    assert world.state.counters["config_not_newer"] == 1


def test_older_value_does_not_confirm_the_configuration(world):
    before = world.state.config_confirmed_at
    world.now += 1
    world.publish(4)
    assert world.state.config_confirmed_at == before


@pytest.mark.parametrize("blob", [b"", b"[]", b"{", b'{"version": 9, "services": 3}', b"{}"])
def test_invalid_value_is_rejected(world, blob):
    got = world.post(event.ConfigArrived(blob, world.now))
    assert world.state.config.version == 5
    assert [log.name for log in worlds.find(got, effect.Log)] == ["config_rejected"]


def test_new_version_is_announced_immediately(world):
    got = world.publish(6)
    pings = [ping for ping in worlds.find(got, effect.SendPeer)]
    assert [ping.message.sender.version for ping in pings] == [6]


def test_newer_configuration_is_requested_from_a_peer_and_validated(world):
    got = world.pong(1, version=9)
    assert message.ConfigRequest("vm0", world.state.identity.peer_address, 5) in [
        sent.message for sent in worlds.find(got, effect.SendPeer)
    ]
    bad = message.ConfigReply(9, b"no zlib")
    world.post(event.PeerMessageReceived(bad))
    assert world.state.config.version == 5
    other = worlds.World(world.layout, vm=1)
    other.publish(9)
    request = message.ConfigRequest("vm0", world.state.identity.peer_address, 5)
    (reply,) = worlds.find(other.post(event.PeerMessageReceived(request)), effect.SendPeer)
    world.post(event.PeerMessageReceived(reply.message))
    assert world.state.config.version == 9


def test_pong_confirms_the_configuration_with_the_age_at_the_peer(world):
    world.now += 10
    world.pong(1, version=5, confirmed_age_ms=200, pinged_at=world.now - 0.1)
    assert world.state.config_confirmed_at == pytest.approx(world.now - 0.3)


def test_late_pong_is_ignored(world):
    world.now += 10
    before = world.state.config_confirmed_at
    world.pong(1, version=5, confirmed_age_ms=0, pinged_at=world.now - 8)
    assert world.state.config_confirmed_at == before
    assert world.state.peers["vm1"].last_heard_at == states.NEVER


def test_isolated_daemon_sends_only_to_its_own_failure_domain(world):
    assert set(availability_by_domain(world).values()) == {Availability.AVAILABLE}
    world.now += freshness.CONTACT_MAX_AGE_S + 0.1
    assert availability_by_domain(world) == {
        "d1": Availability.AVAILABLE,
        "d2": Availability.NO_CONTACT,
        "d3": Availability.NO_CONTACT,
    }
    world.pong(1, version=5, confirmed_age_ms=60_000)
    assert availability_by_domain(world)["d2"] is Availability.AVAILABLE


def test_failure_domain_that_is_out_gets_no_requests_and_returns_cold(world):
    world.publish(6, out=("d2",))
    assert availability_by_domain(world)["d2"] is Availability.DOMAIN_OUT
    world.publish(7)
    assert {
        target.spec.failure_domain for target in world.state.targets.values() if target.is_cold
    } == {"d2"}


def test_vm_in_a_failure_domain_that_is_out_is_unready_and_refuses_after_the_grace_period(world):
    world.publish(6, out=("d1",))
    assert lifecycle.unready_reason(world.state) == "failure_domain_out"
    assert worlds.sends(world.search())
    world.now += 10.1
    world.refresh()
    assert worlds.refusals(world.search())[0].kind.name == "FAILURE_DOMAIN_OUT"


def test_draining_target_gets_no_requests_until_a_probe_succeeds(world):
    sent = worlds.sends(world.search())[0]
    world.answer(sent, state=event.TargetState.DRAINING)
    target = world.state.targets[sent.address]
    assert targets.check_target(world.state, target, world.now) is Availability.DRAINING
    world.post(event.StatusArrived(sent.address, event.TargetState.DRAINING))
    assert target.is_draining
    world.post(event.StatusArrived(sent.address, event.TargetState.WARM))
    assert target.is_cold and not target.is_draining


def test_target_is_cold_after_a_reset_and_stays_so_despite_a_warm_header(world):
    sent = worlds.sends(world.search())[0]
    world.post(event.RequestEnded(sent.request_no, event.Failure.RESET))
    target = world.state.targets[sent.address]
    assert target.is_cold
    targets.record_state(world.state, target, event.TargetState.WARM, world.now, [])
    assert target.is_cold


def test_probe_is_sent_when_all_replicas_are_backed_off(world):
    for _ in range(4):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, event.Failure.TIMEOUT))
    assert set(availability_by_domain(world).values()) == {Availability.BACKED_OFF}
    assert worlds.sends(world.search()), "expected a probe although all targets are backed off"


def test_answer_to_a_request_sent_before_the_backoff_does_not_end_it(world):
    sent = worlds.sends(world.search())[0]
    target = world.state.targets[sent.address]
    for _ in range(2):
        targets.record_failure(world.state, target, event.Failure.TIMEOUT, world.now, world.now, [])
    world.answer(sent)
    assert target.consecutive_faults >= 2


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.integers(0, 500), st.integers(1, 60), st.text("abc", max_size=5))
def test_parts_of_all_daemons_add_up_to_the_whole(total, count, key):
    vms = tuple(f"vm{number}" for number in range(count))
    parts = [share.vm_share(total, key, vm, vms) for vm in vms]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1


def test_cold_permits_of_all_daemons_add_up_to_the_first_step_of_the_ramp():
    layout = fleets.make_layout(targets=3, vms=5)
    daemons = [worlds.World(layout, vm=number) for number in range(5)]
    for daemon in daemons:
        daemon.publish()
    address = layout.targets[0].address
    total = 0
    for daemon in daemons:
        target = daemon.state.targets[address]
        targets.mark_cold(daemon.state, target, "test", daemon.now, [])
        total += targets.cold_permits(daemon.state, target, daemon.now)
    assert total == max(1, int(0.1 * layout.targets[0].slots))


def test_share_shrinks_immediately_and_grows_with_a_delay():
    world = worlds.World(fleets.make_layout(targets=3, vms=4))
    world.publish(1)
    removed = world.layout.vms.pop()
    world.publish(2)
    assert world.state.sharing_vms == 4
    world.post(event.Tick(world.now), share.GROWTH_DELAY_S + 0.1)
    assert world.state.sharing_vms == 3
    world.layout.vms.append(removed)
    world.publish(3)
    assert world.state.sharing_vms == 4


def test_target_is_cold_after_a_report_of_a_peer(world):
    target = next(iter(world.state.targets.values()))
    world.pong(1, version=5, cold_addresses=(target.spec.address,))
    assert target.is_cold


def test_number_of_readers_of_the_platform_is_limited():
    layout = fleets.make_layout(targets=3, vms=30, domains=("d1",))
    daemons = [worlds.World(layout, vm=number) for number in range(30)]
    readers = 0
    for world in daemons:
        world.publish()
        for number in range(30):
            if layout.vms[number].name != world.state.identity.vm:
                world.pong(number)
        readers += fleet.is_reader(world.state, world.now)
    assert readers == fleet.READERS_PER_DOMAIN


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_of_a_peer_are_a_message_or_garbled(blob):
    message.decode(blob)


def test_message_is_decoded_to_what_was_encoded(world):
    ping = message.Ping(fleet.make_peer_info(world.state, world.now), 1.5)
    assert message.decode(message.encode(ping)) == ping
    assert message.decode(msgspec.msgpack.encode([9, 1])) is None


def test_cold_start_ends_at_a_daemon_that_sends_no_requests(world):
    target = next(iter(world.state.targets.values()))
    targets.mark_cold(world.state, target, "test", world.now, [])
    world.post(event.StatusArrived(target.spec.address, None))
    assert target.cold_since is None
    world.post(event.StatusArrived(target.spec.address, event.TargetState.WARM))
    world.post(event.Tick(world.now), target.service.spec.cold_start.length_s - 0.1)
    assert target.is_cold
    world.post(event.Tick(world.now), 0.2)
    assert not target.is_cold


def test_target_that_refuses_connections_is_cold(world):
    sent = worlds.sends(world.search())[0]
    world.post(event.RequestEnded(sent.request_no, event.Failure.CONNECT))
    assert world.state.targets[sent.address].is_cold


def test_unchanged_service_keeps_its_state(world):
    before = world.state.services[fleets.SERVICE]
    world.publish(6, out=("d2",))
    assert world.state.services[fleets.SERVICE] is before
    assert availability_by_domain(world)["d2"] is Availability.DOMAIN_OUT
    world.publish(7, budget={"hedge_percent": 1})
    after = world.state.services[fleets.SERVICE]
    assert after is not before and after.spec.hedge_percent == 1
    assert after.targets["t0"] is before.targets["t0"]


def test_unpublished_vm_is_removed_from_the_peers(world):
    world.pong(1, version=5)
    removed = world.layout.vms.pop()
    got = world.publish(6)
    (keep_peers,) = worlds.find(got, effect.KeepPeers)
    assert removed.peer not in keep_peers.addresses
    assert removed.name not in world.state.peers


def test_address_shared_by_two_services_is_rejected(world):
    value = fleets.make_configuration(world.layout, 6)
    service = value["services"][fleets.SERVICE]
    value["services"]["other"] = {**service, "name": "other"}
    world.post(event.ConfigArrived(msgspec.json.encode(value), world.now))
    assert world.state.config.version == 5
    assert "addresses of its own" in world.state.rejection


def test_ping_is_answered_at_the_published_address(world):
    sender = message.PeerInfo("vm1", "127.9.9.9:1", "d2", 1)
    got = world.post(event.PeerMessageReceived(message.Ping(sender, 0.0)))
    (pong,) = [p for p in worlds.find(got, effect.SendPeer) if isinstance(p.message, message.Pong)]
    assert pong.address == world.layout.vms[1].peer


def fail_all(world):
    """Let requests time out until every target is backed off."""
    for _ in range(4):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, event.Failure.TIMEOUT))
    assert set(availability_by_domain(world).values()) == {Availability.BACKED_OFF}
    world.now += 0.01


def test_successful_probe_ends_the_backoff(world):
    fail_all(world)
    probe = worlds.sends(world.search())[0]
    world.answer(probe)
    assert world.state.targets[probe.address].consecutive_faults == 0


def test_probe_is_not_sent_to_a_cold_target_without_permits(world):
    fail_all(world)
    for target in world.state.targets.values():
        targets.mark_cold(world.state, target, "test", world.now, [])
    for sent in worlds.sends(world.search()):
        target = world.state.targets[sent.address]
        assert targets.cold_permits(world.state, target, world.now) > 0
        assert len(sent.searches) <= targets.cold_permits(world.state, target, world.now)
