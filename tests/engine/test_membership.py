from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import membership
from tests.engine import world as worlds


def datagrams(world):
    return [one for one in world.effects if isinstance(one, effect.SendPeer)]


def test_a_new_daemon_is_answered_at_once():
    world = worlds.World()
    world.receive_gossip("10.9.0.9", "domain-b")
    assert [one.ip for one in datagrams(world)] == ["10.9.0.9"]


def test_a_silent_daemon_counts_for_long():
    """The other side of a partition goes on to use its part."""
    world = worlds.World()
    world.start()
    world.add_members(7)
    world.run(30.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 8
    world.run(40.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 1


def test_no_slack_is_spent_before_the_fleet_is_known():
    world = worlds.World()
    world.start()
    world.run(1.0)
    assert membership.slack_share(world.state, 56.0, world.now) == 0.0
    world.add_members(7)
    world.run(3.0)
    assert membership.slack_share(world.state, 56.0, world.now) == 7.0


def test_a_round_costs_the_same_in_a_large_fleet():
    rates = {}
    for size in (8, 60, 400):
        world = worlds.World()
        world.start()
        world.run(5.0)
        world.add_members(size)
        before = len(datagrams(world))
        world.run(3.0)
        rates[size] = len(datagrams(world)) - before
    assert rates[400] <= rates[8] + 4


def test_a_datagram_stays_under_the_size_of_a_packet():
    world = worlds.World()
    world.start()
    world.add_members(400)
    world.run(2.0)
    largest = max(len(datagram.encode(one.message)) for one in datagrams(world))
    assert largest <= 1400


def test_a_restarted_daemon_counts_once_even_if_its_clock_went_back():
    world = worlds.World()
    for incarnation in (500, 20):
        record = datagram.MemberRecord("10.9.0.9", "domain-b", incarnation, 1, 0, 0)
        world.post(worlds.event.GossipReceived(datagram.Gossip(record, ())))
    assert world.state.members["10.9.0.9"].incarnation == 20
    world.run(3.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 2


def test_a_daemon_that_has_just_started_takes_a_small_part_of_shared_bounds():
    world = worlds.World()
    assert membership.estimate_fleet_size(world.state, world.now) >= 16
    assert membership.slack_share(world.state, 56.0, world.now) == 0.0


def test_garbled_datagrams_are_no_messages():
    assert datagram.decode(b"\x00\x01") is None
    assert datagram.decode(b"") is None
