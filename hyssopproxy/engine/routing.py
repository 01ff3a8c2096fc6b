"""Chooses the route of a request, and the pool of a weighted split.

Handles traffic shares that operators set by weight: each split tracks how far each pool is behind
its share, so the shares hold over tens of requests and not only over thousands.
"""

from hyssopproxy.engine import model
from hyssopproxy.engine import state as states


def match(table: model.RoutingTable, host: str, path: str) -> model.Route | None:
    """Return the route with the longest prefix of the path among the host's routes."""
    for route in table.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_pools(state: states.State, route: model.Route) -> tuple[str, ...]:
    """Return the pools to which a request on the route is sent."""
    if route.is_search:
        return route.shards
    if len(route.split) == 1:
        return (route.split[0].pool,)
    return (_choose_by_weight(state, route),)


def _choose_by_weight(state: states.State, route: model.Route) -> str:
    """Return the pool that is furthest behind its share (weighted round robin)."""
    deficits = state.split_deficits.setdefault(route.name, {})
    total = sum(weighted_pool.weight for weighted_pool in route.split)
    pools = {weighted_pool.pool for weighted_pool in route.split}
    for pool in set(deficits) - pools:
        del deficits[pool]
    for weighted_pool in route.split:
        if weighted_pool.pool not in deficits:
            # Randomised so that the daemons start with different pools.
            deficits[weighted_pool.pool] = state.rng.random() * 0.5
        deficits[weighted_pool.pool] += weighted_pool.weight / total
    chosen = max(pools, key=lambda pool: (deficits[pool], pool))
    deficits[chosen] -= 1.0
    return chosen
