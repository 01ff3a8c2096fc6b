from hyssopproxy.engine import placement
from tests.engine import world as worlds

CAP = 26
FLEET = 8


def make(**pool_fields):
    """A daemon that has just started, and knows what is published but no other daemon."""
    world = worlds.World()
    world.add_pool("p")
    world.publish_routes(worlds.plain_route(), **pool_fields)
    world.start()
    return world, next(iter(world.state.targets.values()))


def test_a_daemon_that_has_just_started_leaves_the_others_their_connections():
    """Load pattern: one of eight daemons restarts, or all do, while targets cap connections."""
    world, target = make(max_connections=CAP)
    starting = placement.connection_share(world.state, target, world.now)
    assert FLEET * starting <= CAP
    world.add_members(FLEET - 1)
    world.run(3.0)
    settled = placement.connection_share(world.state, target, world.now)
    assert (FLEET - 1) * settled + starting <= CAP
    assert FLEET * settled <= CAP


def test_daemons_that_start_together_do_not_rush_onto_a_cold_target():
    bound_per_s = 8.0
    world, target = make(cold_per_s=bound_per_s)
    target.cold_until = world.now + 10.0
    before = world.count_arrivals()
    for _ in range(20):
        world.send_request("/p/x")
        world.run(0.05)
    to_cold = world.replicas[target.id].arrivals
    assert len(to_cold) <= bound_per_s / FLEET + 1
    assert world.count_arrivals() > before, "the other targets serve"


def test_targets_of_a_lost_domain_are_not_in_reach():
    world, _ = make()
    world.state.domain_lost_at = dict.fromkeys(worlds.DOMAINS[1:], world.now)
    world.state.domain_probed_at = dict(world.state.domain_lost_at)
    assert placement.has_reachable_target(world.state, "p", world.now)
    for target in world.state.targets.values():
        if target.entry.failure_domain == worlds.HOME:
            target.removed_at = world.now
    assert placement.has_reachable_target(world.state, "p", world.now), "a lapsed entry may be back"
    world.state.domain_probed_at = dict.fromkeys(worlds.DOMAINS[1:], world.now + 2.5)
    assert not placement.has_reachable_target(world.state, "p", world.now + 2.5)
