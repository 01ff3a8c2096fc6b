from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from tests.engine import world as worlds

MAX_CONNECTIONS = 26
DAEMONS = 8


def make_starting_daemon(**pool_fields):
    """Return a daemon that has just started: it knows the published data but no other daemon."""
    world = worlds.World()
    world.add_pool("p")
    world.publish_routes(worlds.plain_route(), **pool_fields)
    world.start()
    return world, next(iter(world.state.targets.values()))


def test_connection_shares_of_starting_and_running_daemons_stay_within_the_limit():
    """Guards against too many connections to a target when one or all of eight daemons restart."""
    world, target = make_starting_daemon(max_connections=MAX_CONNECTIONS)
    starting = placement.connection_share(world.state, target, world.now)
    assert DAEMONS * starting <= MAX_CONNECTIONS
    world.add_members(DAEMONS - 1)
    world.run(3.0)
    settled = placement.connection_share(world.state, target, world.now)
    assert (DAEMONS - 1) * settled + starting <= MAX_CONNECTIONS
    assert DAEMONS * settled <= MAX_CONNECTIONS


def test_daemons_that_start_together_do_not_overload_a_cold_target():
    cold_per_s = 8.0
    world, target = make_starting_daemon(cold_per_s=cold_per_s)
    target.cold_until = world.now + 10.0
    before = world.count_arrivals()
    for _ in range(20):
        world.send_request("/p/x")
        world.run(0.05)
    cold_arrivals = world.replicas[target.id].arrivals
    assert len(cold_arrivals) <= cold_per_s / DAEMONS + 1
    assert world.count_arrivals() > before, "the other targets receive the requests"


def test_targets_of_a_lost_domain_are_not_reachable():
    world, _ = make_starting_daemon()
    world.state.domain_lost_at = dict.fromkeys(worlds.DOMAINS[1:], world.now)
    world.state.domain_probed_at = dict(world.state.domain_lost_at)
    assert placement.has_reachable_target(world.state, "p", world.now)
    for target in world.state.targets.values():
        if target.entry.failure_domain == worlds.HOME:
            target.removed_at = world.now
    assert placement.has_reachable_target(
        world.state, "p", world.now
    ), "a removed entry may be published again"
    world.state.domain_probed_at = dict.fromkeys(worlds.DOMAINS[1:], world.now + 2.5)
    assert not placement.has_reachable_target(world.state, "p", world.now + 2.5)


def test_pool_whose_targets_lost_their_addresses_has_no_healthy_target():
    """A request to such a pool is refused at once instead of after the longest wait."""
    world = worlds.World()
    replicas = world.add_pool("p")
    for replica in replicas:
        replica.fixed_outcome = model.Outcome.MISDIRECTED
    world.publish_routes(worlds.plain_route(max_attempts=5))
    world.start()
    world.run(3.0)
    number = world.send_request("/p/x")
    world.run(0.05)
    assert world.results[number].effect.is_not_run
    assert not placement.has_healthy_target(world.state, "p", world.now)
