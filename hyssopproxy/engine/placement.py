"""Picks the target of each request from the current state of the targets in its pool.

Handles targets that are slow, paused, full or failing while others of their pool are not,
unreachable failure domains, and targets in their cold start.
"""

from hyssopproxy.engine import closing
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.engine import reach
from hyssopproxy.engine import state as states

NEW_TARGET_SLOWNESS = 2.0  # initial slowness; a target is slow for some seconds after its start
REMOVED_GRACE_S = 2.0  # entries that expired in a store outage are republished within this time
DRAIN_GRACE_S = 1.0  # how long a draining target is still picked if no better one is eligible

_HEALTHY, _SHEDDING, _LEAVING, _BACKED_OFF = range(4)  # tiers in order of preference


def pick(
    state: states.State,
    part: states.Part,
    typical_latency_s: float,
    now: float,
    is_hedge: bool = False,
) -> states.Target | None:
    """Return the best target for a part, or None if no target is eligible.

    A target is picked only if none of a better tier is eligible, and a hedge never goes to a target
    that is draining or was removed. Targets already tried for the part are not eligible.
    """
    best = None
    best_rank: tuple = ()
    for target in state.pools.get(part.pool, {}).values():
        tier = _tier(state, part, target, now)
        if tier is None or (is_hedge and tier == _LEAVING):
            continue
        cost = _cost_s(state, target, typical_latency_s, now)
        rank = (tier, cost, target.last_pick, target.tie_breaker)
        if best is None or rank < best_rank:
            best, best_rank = target, rank
    if best is not None:
        reach.record_request(state, best.entry.failure_domain, now)
        state.pick_count += 1
        best.last_pick = state.pick_count
        if best.is_returning:
            closing.record_first_request(best, now)
        _take_cold_token(state, best, now)
    return best


def _tier(state: states.State, part: states.Part, target: states.Target, now: float) -> int | None:
    """Return the target's tier, or None if it is not eligible."""
    entry = target.entry
    if target.is_misdirected:
        return None
    is_stating = target.is_returning or target.leaving_since is not None
    if is_stating and not closing.accepts_requests(state, target, now):
        return None
    if state.evacuated_domains and entry.failure_domain in state.evacuated_domains.values():
        return None
    if target.attempts and len(target.attempts) >= connection_share(state, target, now):
        return None
    if reach.is_lost(state, entry.failure_domain, now):
        return None
    if target.id in part.tried:
        return None
    if is_cold(target, now) and not _has_cold_token(state, target, now):
        return None
    if target.removed_at is not None:
        return _LEAVING if now - target.removed_at < REMOVED_GRACE_S else None
    if target.draining_since is not None:
        return _LEAVING if now - target.draining_since < DRAIN_GRACE_S else None
    if target.is_reported_misdirected:
        return _BACKED_OFF
    if target.leaving_since is not None:
        return _LEAVING if now >= target.backoff_until else None
    if now < target.backoff_until:
        return _BACKED_OFF if _may_probe(target, now) else None
    return _SHEDDING if now < target.shed_until else _HEALTHY


def _may_probe(target: states.Target, now: float) -> bool:
    return not target.attempts and now - target.backed_off_at > health.BACKOFF_S / 2


def _cost_s(
    state: states.State, target: states.Target, typical_latency_s: float, now: float
) -> float:
    domain = target.entry.failure_domain
    candidate = policy.Candidate(
        is_same_domain=domain == state.settings.failure_domain,
        in_flight=len(target.attempts),
        slots=max(1, target.entry.slots),
        slowness=health.slowness(target, now),
        overdue_s=health.overdue_s(target, now, state.pause_pattern),
        failure_rate=health.failure_rate(target, now),
        pause_s=target.pauses.delay_s(now, typical_latency_s, state.pause_pattern),
    )
    return state.policies.placement.cost_s(candidate, typical_latency_s)


def connection_share(state: states.State, target: states.Target, now: float) -> int:
    """Return this daemon's share of the target's connection limit."""
    pool = state.table.pools.get(target.entry.pool) if state.table else None
    max_connections = pool.max_connections if pool else model.Pool("").max_connections
    return max(1, max_connections // membership.estimate_fleet_size(state, now))


def is_cold(target: states.Target, now: float) -> bool:
    """Return whether the target is in its cold start."""
    return now < target.cold_until


def _cold_rate(state: states.State, target: states.Target, now: float) -> float:
    """Return this daemon's share of the rate limit of a cold target, in requests per second."""
    pool = state.table.pools.get(target.entry.pool) if state.table else None
    if pool is None:
        return 0.0
    return pool.cold_per_s / membership.estimate_fleet_size(state, now)


def _has_cold_token(state: states.State, target: states.Target, now: float) -> bool:
    rate = _cold_rate(state, target, now)
    if rate <= 0.0:
        return True
    elapsed_s = min(now - target.cold_tokens_at, 1.0 / rate)
    return target.cold_tokens + elapsed_s * rate >= 1.0


def _take_cold_token(state: states.State, target: states.Target, now: float) -> None:
    rate = _cold_rate(state, target, now)
    if rate > 0.0 and is_cold(target, now):
        elapsed_s = min(now - target.cold_tokens_at, 1.0 / rate)
        target.cold_tokens = min(1.0, target.cold_tokens + elapsed_s * rate) - 1.0
        target.cold_tokens_at = now


def record_cold_start(target: states.Target, left_s: float, now: float) -> None:
    """Record the remaining cold start as stated by the target; 0 ends the cold start."""
    target.cold_until = now + left_s if left_s > 0.0 else states.NEVER


def update_target(target: states.Target, entry: model.TargetEntry, now: float) -> None:
    """Apply a newer entry of the same incarnation of a target."""
    target.entry = entry
    target.removed_at = None
    _update_draining(target, now)
    record_cold_start(target, entry.cold_left_s, now)


def _update_draining(target: states.Target, now: float) -> None:
    if not target.entry.is_draining:
        target.draining_since = None
    elif target.draining_since is None:
        target.draining_since = now


def create_target(
    state: states.State, entry: model.TargetEntry, now: float, has_just_started: bool
) -> states.Target:
    """Return the state of a target whose entry is new to this daemon."""
    target = states.Target(entry=entry)
    target.tie_breaker = state.rng.random()
    # Randomised so that the daemons' first requests to a cold target do not coincide.
    target.cold_tokens = state.rng.random()
    target.cold_tokens_at = now
    closing.restore(state, target)
    _update_draining(target, now)
    record_cold_start(target, entry.cold_left_s, now)
    if has_just_started:
        target.slowness = NEW_TARGET_SLOWNESS
        target.slowness_at = now
    return target


def has_reachable_target(state: states.State, pool: str, now: float) -> bool:
    """Return whether a pool has a target in a reachable failure domain that is in service."""
    evacuated = state.evacuated_domains.values()
    for target in state.pools.get(pool, {}).values():
        domain = target.entry.failure_domain
        if target.is_misdirected or domain in evacuated:
            continue
        if target.removed_at is not None and now - target.removed_at >= REMOVED_GRACE_S:
            continue
        if not reach.is_lost(state, domain, now):
            return True
    return False


def is_usable(state: states.State, target: states.Target, now: float) -> bool:
    """Return whether a request to the target is possible now, or soon for a cold or busy one."""
    domain = target.entry.failure_domain
    if target.is_misdirected or target.is_reported_misdirected:
        return False
    if now < target.backoff_until and not _may_probe(target, now):
        return False
    if domain in state.domain_lost_at or domain in state.evacuated_domains.values():
        return False
    if target.removed_at is not None and now - target.removed_at >= REMOVED_GRACE_S:
        return False
    if closing.is_closed(target, now) or now >= closing.leaves_at(state, target):
        return False
    return target.draining_since is None or now - target.draining_since < DRAIN_GRACE_S


def opens_at(state: states.State, pool: str, now: float) -> float:
    """Return when a target of the pool accepts requests: `now` if one does, infinity if unknown.

    A leaving target accepts requests until its drain time ends. Backoffs do not count.
    """
    evacuated = state.evacuated_domains.values()
    earliest = float("inf")
    for target in state.pools.get(pool, {}).values():
        domain = target.entry.failure_domain
        if target.is_misdirected or domain in evacuated or reach.is_lost(state, domain, now):
            continue
        if target.removed_at is not None and now - target.removed_at >= REMOVED_GRACE_S:
            continue
        if target.draining_since is not None and now - target.draining_since >= DRAIN_GRACE_S:
            continue
        at = max(now, target.closed_until)
        if at < closing.leaves_at(state, target):
            earliest = min(earliest, at)
    return earliest


def has_free_target(state: states.State, pool: str, now: float) -> bool:
    """Return whether a healthy target of a pool has a slot that this daemon may use now."""
    return any(
        _is_healthy(state, target, now)
        and now >= target.shed_until
        and len(target.attempts)
        < min(max(1, target.entry.slots), connection_share(state, target, now))
        for target in state.pools.get(pool, {}).values()
    )


def has_healthy_target(state: states.State, pool: str, now: float, wait_s: float = 0.0) -> bool:
    """Return whether a pool has a target that is reachable, in service and not backed off.

    A closed target counts if its time ends within `wait_s`.
    """
    return any(
        _is_healthy(state, target, now, wait_s) for target in state.pools.get(pool, {}).values()
    )


def _is_healthy(
    state: states.State, target: states.Target, now: float, wait_s: float = 0.0
) -> bool:
    """Return whether a target is reachable, in service and not backed off."""
    domain = target.entry.failure_domain
    return (
        not target.is_misdirected
        and target.removed_at is None
        and target.draining_since is None
        and target.leaving_since is None
        and now + wait_s >= target.closed_until
        and now >= target.backoff_until
        and domain not in state.domain_lost_at
        and domain not in state.evacuated_domains.values()
    )
