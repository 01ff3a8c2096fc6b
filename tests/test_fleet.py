"""Configuration, words of peers, shares and cold starts: the pure decisions."""

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
    made = worlds.World()
    made.publish(5)
    return made


def verdicts(world):
    state = world.state
    return {
        one.spec.failure_domain: targets.check_target(state, one, world.now)
        for one in state.targets.values()
    }


def test_older_version_is_never_taken(world):
    world.publish(4)
    assert world.state.config.version == 5
    assert world.state.counters["config_not_newer"] == 1


def test_older_value_is_no_fresh_word(world):
    before = world.state.config_confirmed_at
    world.now += 1
    world.publish(4)
    assert world.state.config_confirmed_at == before


@pytest.mark.parametrize("blob", [b"", b"[]", b"{", b'{"version": 9, "services": 3}', b"{}"])
def test_bad_value_is_rejected_whole(world, blob):
    got = world.post(event.ConfigArrived(blob, world.now))
    assert world.state.config.version == 5
    assert [one.name for one in worlds.find(got, effect.Log)] == ["config_rejected"]


def test_new_version_spreads_at_once(world):
    got = world.publish(6)
    pings = [one for one in worlds.find(got, effect.SendPeer)]
    assert [one.message.sender.version for one in pings] == [6]


def test_peer_with_a_newer_version_is_asked_and_its_value_checked_the_same(world):
    got = world.pong(1, version=9)
    assert message.ConfigRequest("vm0", world.state.identity.peer_address, 5) in [
        one.message for one in worlds.find(got, effect.SendPeer)
    ]
    bad = message.ConfigReply(9, b"no zlib")
    world.post(event.PeerMessageReceived(bad))
    assert world.state.config.version == 5
    other = worlds.World(world.layout, vm=1)
    other.publish(9)
    want = message.ConfigRequest("vm0", world.state.identity.peer_address, 5)
    (value,) = worlds.find(other.post(event.PeerMessageReceived(want)), effect.SendPeer)
    world.post(event.PeerMessageReceived(value.message))
    assert world.state.config.version == 9


def test_peer_passes_on_how_fresh_its_word_is(world):
    world.now += 10
    world.pong(1, version=5, confirmed_age_ms=200, asked_at=world.now - 0.1)
    assert world.state.config_confirmed_at == pytest.approx(world.now - 0.3)


def test_word_that_a_paused_daemon_sends_late_is_old(world):
    world.now += 10
    before = world.state.config_confirmed_at
    world.pong(1, version=5, confirmed_age_ms=0, asked_at=world.now - 8)
    assert world.state.config_confirmed_at == before
    assert world.state.peers["vm1"].last_heard_at == states.NEVER


def test_cut_off_daemon_sends_only_into_its_own_domain(world):
    assert set(verdicts(world).values()) == {Availability.AVAILABLE}
    world.now += freshness.CONTACT_MAX_AGE_S + 0.1
    assert verdicts(world) == {
        "d1": Availability.AVAILABLE,
        "d2": Availability.NO_CONTACT,
        "d3": Availability.NO_CONTACT,
    }
    world.pong(1, version=5, confirmed_age_ms=60_000)
    assert verdicts(world)["d2"] is Availability.AVAILABLE


def test_domain_that_is_out_gets_nothing_and_returns_cold(world):
    world.publish(6, out=("d2",))
    assert verdicts(world)["d2"] is Availability.DOMAIN_OUT
    world.publish(7)
    assert {one.spec.failure_domain for one in world.state.targets.values() if one.is_cold} == {
        "d2"
    }


def test_vm_of_a_domain_that_is_out_turns_unready_serves_a_while_then_refuses(world):
    world.publish(6, out=("d1",))
    assert lifecycle.unready_reason(world.state) == "failure_domain_out"
    assert worlds.sends(world.search())
    world.now += 10.1
    world.refresh()
    assert worlds.refusals(world.search())[0].kind.name == "FAILURE_DOMAIN_OUT"


def test_draining_target_gets_nothing_until_a_probe_finds_it_back(world):
    sent = worlds.sends(world.search())[0]
    world.answer(sent, state=event.TargetState.DRAINING)
    target = world.state.targets[sent.address]
    assert targets.check_target(world.state, target, world.now) is Availability.DRAINING
    world.post(event.StatusArrived(sent.address, event.TargetState.DRAINING))
    assert target.is_draining
    world.post(event.StatusArrived(sent.address, event.TargetState.WARM))
    assert target.is_cold and not target.is_draining


def test_lost_connections_mean_cold_and_a_warm_header_does_not_end_it(world):
    sent = worlds.sends(world.search())[0]
    world.post(event.RequestEnded(sent.request_no, event.Failure.RESET))
    target = world.state.targets[sent.address]
    assert target.is_cold
    targets.record_state(world.state, target, event.TargetState.WARM, world.now, [])
    assert target.is_cold


def test_backoff_grows_and_probes_when_all_replicas_are_backed_off(world):
    for _ in range(4):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, event.Failure.TIMEOUT))
    assert set(verdicts(world).values()) == {Availability.BACKED_OFF}
    assert worlds.sends(world.search()), "one probe goes out rather than nothing"


def test_success_that_began_before_the_backoff_does_not_end_it(world):
    early = worlds.sends(world.search())[0]
    target = world.state.targets[early.address]
    for _ in range(2):
        targets.record_failure(world.state, target, event.Failure.TIMEOUT, world.now, world.now, [])
    world.answer(early)
    assert target.consecutive_faults >= 2


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.integers(0, 500), st.integers(1, 60), st.text("abc", max_size=5))
def test_parts_of_all_daemons_add_up_to_the_whole(total, count, key):
    vms = tuple(f"vm{number}" for number in range(count))
    parts = [share.vm_share(total, key, vm, vms) for vm in vms]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1


def test_cold_target_bears_the_work_of_all_daemons_together():
    layout = fleets.make_layout(targets=3, vms=5)
    daemons = [worlds.World(layout, vm=number) for number in range(5)]
    for daemon in daemons:
        daemon.publish()
    address = layout.targets[0].address
    together = 0
    for daemon in daemons:
        target = daemon.state.targets[address]
        targets.mark_cold(daemon.state, target, "test", daemon.now, [])
        together += targets.cold_permits(daemon.state, target, daemon.now)
    assert together == max(1, int(0.1 * layout.targets[0].slots))


def test_share_shrinks_at_once_and_grows_late():
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


def test_one_daemon_hearing_of_a_cold_start_tells_its_peers(world):
    target = next(iter(world.state.targets.values()))
    world.pong(1, version=5, cold=(target.spec.address,))
    assert target.is_cold


def test_few_daemons_read_the_platform():
    layout = fleets.make_layout(targets=3, vms=30, domains=("d1",))
    worlds_ = [worlds.World(layout, vm=number) for number in range(30)]
    readers = 0
    for world in worlds_:
        world.publish()
        for number in range(30):
            if layout.vms[number].vm != world.state.identity.vm:
                world.pong(number)
        readers += fleet.is_reader(world.state, world.now)
    assert readers == fleet.READERS_PER_DOMAIN


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_of_a_peer_are_a_message_or_garbled(blob):
    message.decode(blob)


def test_message_survives_the_wire(world):
    ping = message.Ping(fleet.make_peer_info(world.state, world.now), 1.5)
    assert message.decode(message.encode(ping)) == ping
    assert message.decode(msgspec.msgpack.encode([9, 1])) is None


def test_cold_start_goes_on_at_a_daemon_that_has_no_part_in_it(world):
    target = next(iter(world.state.targets.values()))
    targets.mark_cold(world.state, target, "test", world.now, [])
    world.post(event.StatusArrived(target.spec.address, None))
    assert target.cold_since is None
    world.post(event.StatusArrived(target.spec.address, event.TargetState.WARM))
    world.post(event.Tick(world.now), target.service.spec.cold_start.length_s - 0.1)
    assert target.is_cold
    world.post(event.Tick(world.now), 0.2)
    assert not target.is_cold


def test_target_that_refuses_connections_is_cold_though_it_never_answered(world):
    sent = worlds.sends(world.search())[0]
    world.post(event.RequestEnded(sent.request_no, event.Failure.CONNECT))
    assert world.state.targets[sent.address].is_cold


def test_service_that_did_not_change_is_kept_with_what_was_learned(world):
    before = world.state.services[fleets.SERVICE]
    world.publish(6, out=("d2",))
    assert world.state.services[fleets.SERVICE] is before
    assert verdicts(world)["d2"] is Availability.DOMAIN_OUT
    world.publish(7, budget={"hedge_percent": 1})
    after = world.state.services[fleets.SERVICE]
    assert after is not before and after.spec.hedge_percent == 1
    assert after.targets["t0"] is before.targets["t0"]


def test_vm_that_is_no_longer_published_is_forgotten(world):
    world.pong(1, version=5)
    gone = world.layout.vms.pop()
    got = world.publish(6)
    (kept,) = worlds.find(got, effect.KeepPeers)
    assert gone.peer not in kept.addresses
    assert gone.vm not in world.state.peers


def test_address_that_two_services_claim_is_rejected(world):
    value = fleets.make_value(world.layout, 6)
    service = value["services"][fleets.SERVICE]
    value["services"]["other"] = {**service, "name": "other"}
    world.post(event.ConfigArrived(msgspec.json.encode(value), world.now))
    assert world.state.config.version == 5
    assert "addresses of its own" in world.state.rejection


def test_published_vm_is_answered_where_it_is_published_not_where_it_says(world):
    word = message.PeerInfo("vm1", "127.9.9.9:1", "d2", 1)
    got = world.post(event.PeerMessageReceived(message.Ping(word, 0.0)))
    (pong,) = [p for p in worlds.find(got, effect.SendPeer) if isinstance(p.message, message.Pong)]
    assert pong.address == world.layout.vms[1].peer


def fail_all(world):
    """Back every target off."""
    for _ in range(4):
        for sent in worlds.sends(world.search()):
            world.post(event.RequestEnded(sent.request_no, event.Failure.TIMEOUT))
    assert set(verdicts(world).values()) == {Availability.BACKED_OFF}
    world.now += 0.01


def test_probe_that_succeeds_ends_the_backoff(world):
    fail_all(world)
    probe = worlds.sends(world.search())[0]
    world.answer(probe)
    assert world.state.targets[probe.address].consecutive_faults == 0


def test_no_probe_goes_to_a_cold_target_that_this_daemon_has_no_part_in(world):
    fail_all(world)
    for target in world.state.targets.values():
        targets.mark_cold(world.state, target, "test", world.now, [])
    for sent in worlds.sends(world.search()):
        target = world.state.targets[sent.address]
        assert targets.cold_permits(world.state, target, world.now) > 0
        assert len(sent.searches) <= targets.cold_permits(world.state, target, world.now)
