import collections

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import model
from tests.engine import fleet as fleets
from tests.engine import world as worlds


def sent_datagrams(world):
    return [sent for sent in world.effects if isinstance(sent, effect.SendPeer)]


def test_datagram_of_an_unknown_daemon_is_answered_immediately():
    world = worlds.World()
    world.receive_gossip("10.9.0.9", "domain-b")
    assert [sent.ip for sent in sent_datagrams(world)] == ["10.9.0.9"]


def test_silent_daemon_counts_as_member_until_it_expires():
    """Guards against exceeding limits while daemons across a partition still use their shares."""
    world = worlds.World()
    world.start()
    world.add_members(7)
    world.run(30.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 8
    world.run(40.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 1


def test_no_slack_is_used_before_the_fleet_is_known():
    world = worlds.World()
    world.start()
    world.run(1.0)
    assert membership.slack_share(world.state, 56.0, world.now) == 0.0
    world.add_members(7)
    world.run(3.0)
    assert membership.slack_share(world.state, 56.0, world.now) == 7.0


def test_datagrams_per_round_do_not_grow_with_the_fleet():
    rates = {}
    for size in (8, 60, 400):
        world = worlds.World()
        world.start()
        world.run(5.0)
        world.add_members(size)
        before = len(sent_datagrams(world))
        world.run(3.0)
        rates[size] = len(sent_datagrams(world)) - before
    assert rates[400] <= rates[8] + 4


def test_datagram_fits_into_a_packet():
    world = worlds.World()
    world.start()
    world.add_members(400)
    world.run(2.0)
    largest = max(len(datagram.encode(sent.message)) for sent in sent_datagrams(world))
    assert largest <= 1400


def test_restarted_daemon_counts_once_even_if_its_clock_went_back():
    world = worlds.World()
    for incarnation in (500, 20):
        record = datagram.MemberRecord("10.9.0.9", "domain-b", incarnation, 1, 0, 0)
        world.post(worlds.event.GossipReceived(datagram.Gossip(record, ())))
    assert world.state.members["10.9.0.9"].incarnation == 20
    world.run(3.0)
    assert membership.estimate_fleet_size(world.state, world.now) == 2


def test_daemon_that_has_just_started_takes_a_small_share_of_limits():
    world = worlds.World()
    assert membership.estimate_fleet_size(world.state, world.now) >= 16
    assert membership.slack_share(world.state, 56.0, world.now) == 0.0


def test_malformed_datagrams_decode_to_none():
    assert datagram.decode(b"\x00\x01") is None
    assert datagram.decode(b"") is None


def test_daemon_whose_first_listing_is_incomplete_offers_no_data():
    """Guards against peers that take a first page for all there is, and drop the rest."""
    world = worlds.World()
    world.add_pool("p")
    world.start()
    read = next(item for item in world.effects if isinstance(item, effect.ReadPage))
    table = model.RoutingTable(4, (worlds.plain_route(),), {})
    world.post(event.PageRead(read.read_no, (model.Change("table", 7, table),), 7, "table"))
    world.effects.clear()
    world.receive_gossip("10.9.0.77", "domain-b")
    sent = [item for item in world.effects if isinstance(item, effect.SendPeer)]
    assert sent and {
        (item.message.sender.version, item.message.sender.revision) for item in sent
    } == {(0, 0)}


class CountingFleet(fleets.Fleet):
    """Counts the datagrams between failure domains, by their type."""

    def __init__(self, per_domain, shards):
        self.crossings = collections.Counter()
        super().__init__(per_domain, shards)

    def _deliver(self, ip, world):
        local_domain = world.state.settings.failure_domain
        for item in world.effects:
            if isinstance(item, effect.SendPeer) and item.ip in self.worlds:
                domain = self.worlds[item.ip].state.settings.failure_domain
                self.crossings[type(item.message)] += domain != local_domain
        super()._deliver(ip, world)


def test_datagrams_between_domains_do_not_grow_with_the_domains():
    """Guards against gossip and reports that cost more than the searches between domains.

    With 195 daemons, they were 20 of the 39 MB between domains on a quiet day.
    """
    rates = {}
    for per_domain in (4, 24):
        fleet = CountingFleet(per_domain, shards=4)
        for replica in fleet.replicas.values():
            replica.failure_fraction = 0.3
        fleet.crossings.clear()
        fleet.send_load(20.0, 8.0)
        rates[per_domain] = fleet.crossings
    for message in (datagram.Gossip, datagram.Reports):
        assert rates[24][message] <= 2.0 * rates[4][message] + 20, message


def test_whole_fleet_is_known_though_few_datagrams_cross_domains():
    """Guards against shares of limits that add up to more than the limits.

    Of 195 daemons, each knew 183 others half a minute after the start, and heard no news of some.
    """
    fleet = CountingFleet(40, shards=1)
    fleet.run(10.0)
    sizes = [
        membership.estimate_fleet_size(world.state, fleet.now) for world in fleet.worlds.values()
    ]
    assert set(sizes) == {120}
    fleet.run(20.0)
    ages = [
        fleet.now - member.last_seen_at
        for world in fleet.worlds.values()
        for member in world.state.members.values()
    ]
    assert len(ages) == 120 * 119 and max(ages) < membership.MEMBER_EXPIRY_S / 2


def test_report_reaches_all_domains_though_few_datagrams_cross_them():
    fleet = CountingFleet(24, shards=2)
    world = next(iter(fleet.worlds.values()))
    informed = collections.Counter()
    for target in list(world.state.targets.values())[:6]:
        observation = datagram.Symptom.SILENT
        health.queue_observation(world.state, target, observation, world.now, 20.0)
        fleet.run(2.0)
        for other in fleet.worlds.values():
            view = other.state.targets_by_id[target.id]
            informed[other.state.settings.failure_domain] += health.slowness(view, fleet.now) > 1.1
    assert min(informed.values()) >= 0.6 * 24 * 6
