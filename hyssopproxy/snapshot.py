"""Chooses the snapshot that a search runs against."""

from hyssopproxy import state as states

GONE_TTL_S = 2.0  # how long a target's "snapshot_gone" error remains valid


def choose(
    service: states.Service, now: float, exclude: frozenset[str] = frozenset()
) -> states.Route | None:
    """Return the newest snapshot with full expected coverage, else the one with the highest."""
    _expire_gone(service, now)
    best, best_coverage = None, -1.0
    for route in service.routes:
        if route.snapshot.name in exclude:
            continue
        coverage = _expected_coverage(service, route)
        if coverage == 1.0:
            return route
        if coverage > best_coverage:
            best, best_coverage = route, coverage
    return best


def record_gone(service: states.Service, snapshot: str, leaf: states.Leaf, now: float) -> None:
    """Record that a target does not serve a snapshot."""
    service.gone_until[(snapshot, leaf.target.spec.name)] = now + GONE_TTL_S


def record_served(service: states.Service, snapshot: str, leaf: states.Leaf) -> None:
    """Record that a target serves a snapshot."""
    if service.gone_until:
        service.gone_until.pop((snapshot, leaf.target.spec.name), None)


def is_gone(service: states.Service, snapshot: str, leaf: states.Leaf) -> bool:
    """Return whether the target recently reported that it does not serve the snapshot."""
    return (snapshot, leaf.target.spec.name) in service.gone_until


def _expire_gone(service: states.Service, now: float) -> None:
    if service.gone_until and min(service.gone_until.values()) <= now:
        service.gone_until = {
            key: until for key, until in service.gone_until.items() if until > now
        }


def _expected_coverage(service: states.Service, route: states.Route) -> float:
    name = route.snapshot.name
    if not any(snapshot == name for snapshot, _ in service.gone_until):
        return 1.0
    served = 0
    for leaves in route.shards.values():
        served += any(not is_gone(service, name, leaf) for leaf in leaves)
    return served / len(route.shards)
