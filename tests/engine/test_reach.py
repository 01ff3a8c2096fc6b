import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import model
from hyssopproxy.engine import reach
from tests.engine import fleet as fleets
from tests.engine import world as worlds


def make(members):
    """A fleet given as members by failure domain, this daemon's own not counted."""
    world = worlds.World()
    for index in range(4):
        world.add_pool(f"s{index}")
    world.publish_routes(worlds.search_route(4))
    first = 10
    for domain, count in members.items():
        world.add_members(count, domain, first)
        first += count
    world.start()
    world.run(3.0)
    world.send_load(20, 2)
    return world


def cut(world, *domains):
    """Cut failure domains off and let traffic meet the cut."""
    world.unreachable_domains = set(domains)
    for replica in world.replicas.values():
        if replica.entry.failure_domain == worlds.HOME:
            replica.pause_every_s, replica.pause_s = 1.0, 0.15  # so that hedges go elsewhere
    world.send_load(20, 3)


def test_the_smaller_side_of_a_cut_sends_its_callers_elsewhere():
    """Load pattern: a failure domain is cut off while callers still come to it."""
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    assert lifecycle.unready_reason(world.state, world.now) == ""
    cut(world, "domain-b", "domain-c")
    assert lifecycle.unready_reason(world.state, world.now) == "isolated"


def test_the_larger_side_of_a_cut_goes_on():
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 2})
    cut(world, "domain-b")
    assert "domain-b" in world.state.domain_lost_at
    assert lifecycle.unready_reason(world.state, world.now) == ""


@pytest.mark.parametrize(("own", "yields"), [("domain-a", False), ("domain-z", True)])
def test_one_of_two_equal_sides_yields(own, yields):
    world = worlds.World(failure_domain=own)
    world.add_members(1, "domain-m")
    world.state.domain_lost_at["domain-m"] = world.now
    world.start()
    world.run(1.0)
    assert (world.state.isolated_since is not None) is yields


def test_a_word_from_the_other_side_ends_the_isolation():
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    cut(world, "domain-b", "domain-c")
    world.unreachable_domains = set()
    world.receive_gossip("10.9.0.12", "domain-b", heartbeat=50)
    world.receive_gossip("10.9.0.15", "domain-c", heartbeat=50)
    world.run(0.2)
    assert lifecycle.unready_reason(world.state, world.now) == ""
    logged = [one.name for one in world.effects if isinstance(one, effect.Log)]
    assert logged.count("domain_lost") == logged.count("domain_reached") == 2


def test_an_isolation_without_end_does_not_keep_callers_away_for_good():
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    cut(world, "domain-b", "domain-c")
    world.run(11.0)
    assert lifecycle.unready_reason(world.state, world.now) == ""


def test_a_lost_domain_gets_single_probes_only():
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    cut(world, "domain-b", "domain-c")
    before = world.state.counters["attempts"]
    searches = world.send_load(20, 5)
    extra = world.state.counters["attempts"] - before - 4 * len(searches)
    assert extra <= 2 * 5 / 0.7 + 2


def test_the_own_domain_is_never_lost():
    world = make({"domain-b": 3})
    cut(world, worlds.HOME)
    assert worlds.HOME not in world.state.domain_lost_at


def test_the_daemons_of_a_cut_domain_turn_unready_together():
    """Load pattern: each daemon sees a search in seconds, and one that is ready holds up all."""

    def time_to_yield_s(dropped):
        fleet = fleets.Fleet(4, 6)
        fleet.dropped_types.update(dropped)
        fleet.send_load(10, 3)
        cut_off = [
            one for one in fleet.worlds.values() if one.state.settings.failure_domain == worlds.HOME
        ]
        fleet.partitioned_pairs = {frozenset((worlds.HOME, other)) for other in worlds.DOMAINS[1:]}
        for replica in fleet.replicas.values():
            if replica.entry.failure_domain == worlds.HOME and replica.entry.pool == "s0":
                replica.is_down = True  # so that each search needs another domain
        start = fleet.now
        while not all(reach.should_turn_unready(one.state, fleet.now) for one in cut_off):
            fleet.send_load(10, 0.1)
            assert fleet.now < start + 8.0
        return fleet.now - start

    assert time_to_yield_s(()) < time_to_yield_s((datagram.LostDomains,))


def test_word_of_a_lost_domain_is_checked_by_a_ping():
    world = make({worlds.HOME: 3, "domain-b": 3, "domain-c": 3})
    for answers in (True, False):
        world.effects.clear()
        message = datagram.LostDomains(worlds.HOME, ("domain-b",))
        world.post(event.LostDomainsReceived(message))
        world.run(0.06)
        pinged = {
            one.ip
            for one in world.effects
            if isinstance(one, effect.SendPeer) and isinstance(one.message, datagram.Ping)
        }
        assert pinged == {"10.9.0.13", "10.9.0.14", "10.9.0.15"}
        if answers:
            world.receive_gossip("10.9.0.13", "domain-b", heartbeat=50)
        world.run(0.3)
        assert ("domain-b" in world.state.domain_lost_at) is not answers


def test_silent_targets_of_a_domain_whose_daemons_answer_lose_no_domain():
    """Load pattern: the targets of many shards are dark, and their domain is well."""
    fleet = fleets.Fleet(3, 6)
    for replica in fleet.replicas.values():
        replica.is_silent = replica.entry.failure_domain == "domain-b"
        replica.is_down = replica.entry.failure_domain == worlds.HOME
    for _ in range(30):
        fleet.send_load(20, 0.2)
        assert not any(world.state.domain_lost_at for world in fleet.worlds.values())


def test_a_ping_is_answered():
    world = make({"domain-b": 3})
    out = world.post(event.PingReceived(datagram.Ping("10.9.0.10")))
    (answer,) = out
    assert answer.ip == "10.9.0.10" and answer.message.sender.ip == world.state.settings.ip


def test_a_search_that_cannot_reach_its_coverage_is_refused_before_anything_is_sent():
    world = make({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    for pool in ("s0", "s1"):
        replica = next(
            one
            for one in world.replicas.values()
            if one.entry.pool == pool and one.entry.failure_domain == worlds.HOME
        )
        world.remove(replica.entry)
    cut(world, "domain-b", "domain-c")
    assert world.state.isolated_since is not None
    world.state.domain_probed_at = dict.fromkeys(("domain-b", "domain-c"), world.now)
    sent = world.state.counters["attempts"]
    number = world.send_request()
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and refused.is_not_run
    assert world.state.counters["attempts"] == sent
    since = world.now - world.state.isolated_since
    assert refused.retry_after_s == pytest.approx(max(0.2, 2.3 - since), abs=0.3)


def test_first_requests_that_open_connections_lose_no_domain():
    world = worlds.make_search_world(10, objective_s=0.1)
    for replica in world.replicas.values():
        replica.work_s = 0.07
        replica.is_down = replica.entry.failure_domain == worlds.HOME
    world.send_request()
    for _ in range(20):
        world.run(0.01)
        assert not world.state.domain_lost_at
