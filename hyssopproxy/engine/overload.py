"""Load of the fleet's searches, and the share of them that each pool has capacity for.

Handles the case where all targets of some shards are slow or gone, so that these shards can serve
only a part of the searches. If every search were sent to all of them, their queues would grow until
no answer arrives in time, and every search would miss too many shards: nothing would be served,
although most shards have capacity. `policy.ByCapacity` decides what is sent to them.

The daemons tell each other how much work their callers cause, so that each of them knows the load
of the whole fleet although it serves few requests itself.
"""

import math

from hyssopproxy.engine import health
from hyssopproxy.engine import policy
from hyssopproxy.engine import reach
from hyssopproxy.engine import state as states

SCARCE_SHARE = 0.6  # a pool that can serve more than this share is sent all searches
WORK_WINDOW_S = 2.0  # time constant of the average of this daemon's own load
MEMBER_MAX_AGE_S = 15.0  # the load of a daemon counts for this long after its last heartbeat
MAX_LOGGED = 10  # pools in a log line
UTILISATION = 0.8  # fraction of a pool's capacity that is used; queues grow without bound at 1


def record_search(state: states.State, work_s: float, now: float) -> None:
    """Record a search that occupies a slot of each shard for `work_s` seconds."""
    state.search_work_s = _decayed_work_s(state, now) + work_s
    state.search_work_at = now


def _decayed_work_s(state: states.State, now: float) -> float:
    return state.search_work_s * math.exp((state.search_work_at - now) / WORK_WINDOW_S)


def own_load(state: states.State, now: float) -> float:
    """Return how many slots of each shard this daemon's searches occupy on average."""
    return _decayed_work_s(state, now) / WORK_WINDOW_S


def fleet_load(state: states.State, now: float) -> float:
    """Return how many slots of each shard the searches of all daemons occupy on average."""
    return own_load(state, now) + sum(
        member.load
        for member in state.members.values()
        if now - member.last_seen_at <= MEMBER_MAX_AGE_S
    )


def plan(state: states.State, query: states.Query, now: float) -> policy.Plan:
    """Decide whether a search is refused, and which of its shards it leaves out."""
    shares = _scarce_shares(state, query, now)
    if not shares:
        return policy.ADMIT_ALL
    state.counters["searches_scarce"] += 1
    total = len(query.parts)
    may_miss = total - math.ceil(query.route.least_coverage * total - 1e-9)
    return state.policies.admission.plan(shares, may_miss, state.rng)


def _scarce_shares(state: states.State, query: states.Query, now: float) -> dict[str, float]:
    """Return the shares of those pools of a search that cannot serve all searches."""
    load = fleet_load(state, now)
    shares = ((part.pool, pool_share(state, part.pool, load, now)) for part in query.parts)
    return {pool: share for pool, share in shares if share < SCARCE_SHARE}


def describe(state: states.State, query: states.Query, now: float) -> dict:
    """Return what a decision about a search rests on, for the log."""
    shares = _scarce_shares(state, query, now)
    lowest = sorted(shares, key=shares.__getitem__)[:MAX_LOGGED]
    return {
        "load": round(fleet_load(state, now), 2),
        "scarce_shards": len(shares),
        "shares": {pool: round(shares[pool], 2) for pool in lowest},
    }


def pool_share(state: states.State, pool: str, load: float, now: float) -> float:
    """Return the share of the fleet's searches that a pool has capacity for, at most 1."""
    wanted = load / UTILISATION
    available = 0.0
    for target in state.pools.get(pool, {}).values():
        if available >= wanted:
            return 1.0
        available += capacity(state, target, now)
    return 1.0 if available >= wanted else available / wanted


def capacity(state: states.State, target: states.Target, now: float) -> float:
    """Return a target's slots, reduced by its slowness and by how often it fails."""
    entry = target.entry
    is_in_service = (
        not target.is_misdirected
        and target.removed_at is None
        and target.draining_since is None
        and now >= target.backoff_until
        and not reach.is_lost(state, entry.failure_domain, now)
        and entry.failure_domain not in state.evacuated_domains.values()
    )
    if not is_in_service:
        return 0.0
    slowness = health.slowness(target, now)
    slowness = 1.0 if slowness < health.SLOW_RATIO else slowness
    return entry.slots / slowness * (1.0 - health.failure_rate(target, now))
