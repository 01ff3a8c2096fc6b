from hyssopproxy.engine import model
from hyssopproxy.engine import routing
from tests.engine import world as worlds


def test_longest_prefix_of_the_host_is_matched():
    short = worlds.plain_route(name="short", prefix="/a/")
    long = worlds.plain_route(name="long", prefix="/a/b/")
    other = worlds.plain_route(name="other", host="z", prefix="/a/b/c/")
    table = model.RoutingTable(1, (short, other, long), {})
    assert routing.match(table, "h", "/a/b/c/d").name == "long"
    assert routing.match(table, "h", "/a/x").name == "short"
    assert routing.match(table, "h", "/b/") is None
    assert routing.match(table, "none", "/a/") is None


def test_split_keeps_its_shares_over_tens_of_requests():
    world = worlds.World()
    split = (
        model.WeightedPool("p", 70.0),
        model.WeightedPool("q", 20.0),
        model.WeightedPool("r", 10.0),
    )
    route = worlds.plain_route(split=split)
    chosen = [routing.choose_pools(world.state, route)[0] for _ in range(100)]
    for weighted_pool in split:
        assert abs(chosen.count(weighted_pool.pool) - weighted_pool.weight) <= 2
    next_chosen = [routing.choose_pools(world.state, route)[0] for _ in range(10)]
    assert 6 <= next_chosen.count("p") <= 8


def test_changed_weights_take_effect_immediately():
    world = worlds.World()
    before = worlds.plain_route(split=(model.WeightedPool("p", 1.0), model.WeightedPool("q", 1.0)))
    for _ in range(7):
        routing.choose_pools(world.state, before)
    after = worlds.plain_route(split=(model.WeightedPool("q", 1.0), model.WeightedPool("r", 3.0)))
    chosen = [routing.choose_pools(world.state, after)[0] for _ in range(40)]
    assert abs(chosen.count("r") - 30) <= 1 and "p" not in chosen
