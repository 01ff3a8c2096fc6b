"""Which route a request takes, and which pool of a weighted split.

Answers traffic shares that operators set by weight: each split keeps a running debt for each pool,
so that shares hold over tens of requests and not only over thousands.
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
    """Return the pools that a request on the route goes to."""
    if route.is_search:
        return route.shards
    if len(route.split) == 1:
        return (route.split[0].pool,)
    return (_choose_by_weight(state, route),)


def _choose_by_weight(state: states.State, route: model.Route) -> str:
    """Take the pool that is furthest behind its weight."""
    deficits = state.split_deficits.setdefault(route.name, {})
    total = sum(part.weight for part in route.split)
    pools = {part.pool for part in route.split}
    for pool in set(deficits) - pools:
        del deficits[pool]
    for part in route.split:
        if part.pool not in deficits:
            deficits[part.pool] = state.rng.random() * 0.5  # daemons start at different points
        deficits[part.pool] += part.weight / total
    chosen = max(pools, key=lambda pool: (deficits[pool], pool))
    deficits[chosen] -= 1.0
    return chosen
