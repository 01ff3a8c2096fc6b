"""Whether enough pools accept a request, and when they will."""

from hyssopproxy.engine import placement
from hyssopproxy.engine import state as states


def can_serve(state: states.State, query: states.Query, wait_s: float, now: float) -> bool:
    """Return whether the pool of a request, or enough shards of a search, can serve it.

    Only lasting conditions count, such as a lost or evacuated domain, or targets that are closed or
    have left; a backoff does not. A part of a search may wait `wait_s` for a closed target.
    """
    if not query.route.is_search:
        return _opens_at(state, query.parts[0].pool, now) <= now
    if not (state.domain_lost_at or state.evacuated_domains or state.stating_targets):
        return True
    latest = min(now + wait_s, query.deadline)
    checks_domains = bool(state.domain_lost_at or state.evacuated_domains)
    reachable = sum(
        _opens_at(state, part.pool, now) <= latest
        and (not checks_domains or placement.has_reachable_target(state, part.pool, now))
        for part in query.parts
    )
    return reachable > 0 and reachable / len(query.parts) >= query.route.least_coverage


def opening_s(state: states.State, query: states.Query, now: float) -> float:
    """Return how long too many of its targets stay closed for a request; 0 if unknown or not."""
    if not state.stating_targets:
        return 0.0
    times = sorted(_opens_at(state, part.pool, now) for part in query.parts)
    for index, at in enumerate(times):
        if (index + 1) / len(times) >= query.route.least_coverage:
            return max(0.0, at - now) if at < float("inf") else 0.0
    return 0.0


def _opens_at(state: states.State, pool: str, now: float) -> float:
    """Return when a pool accepts requests; pools whose targets state nothing count as open."""
    if not any(target.entry.pool == pool for target in state.stating_targets):
        return now
    return placement.opens_at(state, pool, now)
