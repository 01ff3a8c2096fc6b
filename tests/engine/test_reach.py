import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import model
from hyssopproxy.engine import reach
from tests.engine import fleet as fleets
from tests.engine import world as worlds


def make_daemon(members):
    """Return a daemon that knows other daemons; `members` is their number by failure domain."""
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


def partition(world, *domains):
    """Make failure domains unreachable and send requests, so that the daemon detects it."""
    world.unreachable_domains = set(domains)
    for replica in world.replicas.values():
        if replica.entry.failure_domain == worlds.HOME:
            # Pauses make hedges go to other domains.
            replica.pause_period_s, replica.pause_length_s = 1.0, 0.15
    world.send_load(20, 3)


def test_daemon_on_the_smaller_side_of_a_partition_becomes_unready():
    """Guards against serving callers in a failure domain cut off by a network partition."""
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    assert lifecycle.unready_reason(world.state, world.now) == ""
    partition(world, "domain-b", "domain-c")
    assert lifecycle.unready_reason(world.state, world.now) == "isolated"


def test_daemon_on_the_larger_side_of_a_partition_stays_ready():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 2})
    partition(world, "domain-b")
    assert "domain-b" in world.state.domain_lost_at
    assert lifecycle.unready_reason(world.state, world.now) == ""


@pytest.mark.parametrize(("local_domain", "is_isolated"), [("domain-a", False), ("domain-z", True)])
def test_one_of_two_equal_sides_is_isolated(local_domain, is_isolated):
    world = worlds.World(failure_domain=local_domain)
    world.add_members(1, "domain-m")
    world.state.domain_lost_at["domain-m"] = world.now
    world.start()
    world.run(1.0)
    assert (world.state.isolated_since is not None) is is_isolated


def test_gossip_from_the_other_side_ends_the_isolation():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    partition(world, "domain-b", "domain-c")
    world.unreachable_domains = set()
    world.receive_gossip("10.9.0.12", "domain-b", heartbeat=50)
    world.receive_gossip("10.9.0.15", "domain-c", heartbeat=50)
    world.run(0.2)
    assert lifecycle.unready_reason(world.state, world.now) == ""
    logged = [log.name for log in world.effects if isinstance(log, effect.Log)]
    assert logged.count("domain_lost") == logged.count("domain_reached") == 2


def test_daemon_becomes_ready_again_after_a_long_isolation():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    partition(world, "domain-b", "domain-c")
    world.run(11.0)
    assert lifecycle.unready_reason(world.state, world.now) == ""


def test_lost_domain_receives_only_single_probe_requests():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    partition(world, "domain-b", "domain-c")
    before = world.state.counters["attempts"]
    searches = world.send_load(20, 5)
    extra_attempts = world.state.counters["attempts"] - before - 4 * len(searches)
    assert extra_attempts <= 2 * 5 / 0.7 + 2


def test_own_domain_is_never_lost():
    world = make_daemon({"domain-b": 3})
    partition(world, worlds.HOME)
    assert worlds.HOME not in world.state.domain_lost_at


def test_daemons_of_a_partitioned_domain_become_unready_together():
    """Guards against a slow failover when each daemon receives a search only every few seconds.

    The balancer switches to other domains only when all daemons of a domain are unready, so daemons
    notify each other of lost domains.
    """

    def time_to_unready_s(dropped):
        fleet = fleets.Fleet(4, 6)
        fleet.dropped_types.update(dropped)
        fleet.send_load(10, 3)
        partitioned_worlds = [
            world
            for world in fleet.worlds.values()
            if world.state.settings.failure_domain == worlds.HOME
        ]
        fleet.partitioned_pairs = {frozenset((worlds.HOME, other)) for other in worlds.DOMAINS[1:]}
        for replica in fleet.replicas.values():
            if replica.entry.failure_domain == worlds.HOME and replica.entry.pool == "s0":
                replica.is_down = True  # so that each search needs another domain
        start = fleet.now
        while not all(
            reach.should_be_unready(world.state, fleet.now) for world in partitioned_worlds
        ):
            fleet.send_load(10, 0.1)
            assert fleet.now < start + 8.0
        return fleet.now - start

    assert time_to_unready_s(()) < time_to_unready_s((datagram.LostDomains,))


def test_reported_lost_domain_is_verified_by_pings():
    world = make_daemon({worlds.HOME: 3, "domain-b": 3, "domain-c": 3})
    for answers in (True, False):
        world.effects.clear()
        message = datagram.LostDomains(worlds.HOME, ("domain-b",))
        world.post(event.LostDomainsReceived(message))
        world.run(0.06)
        pinged = {
            sent.ip
            for sent in world.effects
            if isinstance(sent, effect.SendPeer) and isinstance(sent.message, datagram.Ping)
        }
        assert pinged == {"10.9.0.13", "10.9.0.14", "10.9.0.15"}
        if answers:
            world.receive_gossip("10.9.0.13", "domain-b", heartbeat=50)
        world.run(0.3)
        assert ("domain-b" in world.state.domain_lost_at) is not answers


def test_domain_whose_targets_are_silent_is_not_lost_while_its_daemons_answer():
    """Guards against a false alarm when targets of many shards fail in a reachable domain."""
    fleet = fleets.Fleet(3, 6)
    for replica in fleet.replicas.values():
        replica.is_silent = replica.entry.failure_domain == "domain-b"
        replica.is_down = replica.entry.failure_domain == worlds.HOME
    for _ in range(30):
        fleet.send_load(20, 0.2)
        assert not any(world.state.domain_lost_at for world in fleet.worlds.values())


def test_ping_is_answered():
    world = make_daemon({"domain-b": 3})
    out = world.post(event.PingReceived(datagram.Ping("10.9.0.10")))
    (answer,) = out
    assert answer.ip == "10.9.0.10" and answer.message.sender.ip == world.state.settings.ip


def test_search_that_cannot_reach_least_coverage_is_refused_before_anything_is_sent():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    for pool in ("s0", "s1"):
        replica = next(
            replica
            for replica in world.replicas.values()
            if replica.entry.pool == pool and replica.entry.failure_domain == worlds.HOME
        )
        world.remove(replica.entry)
    partition(world, "domain-b", "domain-c")
    assert world.state.isolated_since is not None
    world.state.domain_probed_at = dict.fromkeys(("domain-b", "domain-c"), world.now)
    sent = world.state.counters["attempts"]
    number = world.send_request()
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.COVERAGE_TOO_LOW and refused.is_not_run
    assert world.state.counters["attempts"] == sent
    isolated_s = world.now - world.state.isolated_since
    assert refused.retry_after_s == pytest.approx(max(0.2, 2.3 - isolated_s), abs=0.3)


def test_slow_first_requests_that_open_connections_do_not_mark_a_domain_lost():
    world = worlds.make_search_world(10, objective_s=0.1)
    for replica in world.replicas.values():
        replica.service_time_s = 0.07
        replica.is_down = replica.entry.failure_domain == worlds.HOME
    world.send_request()
    for _ in range(20):
        world.run(0.01)
        assert not world.state.domain_lost_at


def test_silence_of_a_lost_domain_does_not_count_against_its_targets_when_it_is_back():
    world = make_daemon({worlds.HOME: 2, "domain-b": 3, "domain-c": 3})
    partition(world, "domain-b")
    silent = [t for t in world.state.targets.values() if t.entry.failure_domain == "domain-b"]
    assert max(health.slowness(target, world.now) for target in silent) > 2.0
    world.unreachable_domains = set()
    world.receive_gossip("10.9.0.12", "domain-b", heartbeat=50)
    assert max(health.slowness(target, world.now) for target in silent) <= 1.0
