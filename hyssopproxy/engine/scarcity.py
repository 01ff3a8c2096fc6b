"""Searches over shards of which a few can hardly answer: what is asked, hedged or refused.

Designed for fleets in which all targets of one or two shards of dozens are slow or silent for some
seconds. Every search asks every shard, so the requests and hedges to these shards exceed what
their targets can serve, and searches that need them fail with those that do not. Therefore a
search that may miss shards leaves out those that are unlikely to answer by its objective, a shard
that cannot answer sooner is not hedged, and a search that cannot reach its least coverage is
refused before anything is sent for it.
"""

import math

import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import speed
from hyssopproxy.engine import state as states

# Requests per second to a scarce shard that may be left out, from all daemons together. A recovery
# is to be noticed within a second; the first of these requests may meet a slower target.
PROBES_PER_S = 8.0
# A search that would be refused is a probe only if none that may miss the shard has been for this
# time: it goes to all shards in vain. Daemons receive 0.4 to 2 searches per second.
REFUSED_PROBE_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.25  # time between two checks for the log; less than the failures that matter
SCARCE = "scarce"
NO_FASTER_TARGET = "no_faster_target"


@attrs.frozen
class Plan:
    """Which parts of a search are not sent, with the time that each would need."""

    left_out: tuple[tuple[states.Part, float], ...] = ()
    refusal: model.Refusal | None = None


NOTHING = Plan()


def needed_s(state: states.State, target: states.Target, typical_s: float, now: float) -> float:
    """Return how long a request to the target is expected to take, infinite if it can't answer."""
    silent_s = speed.silence_s(target, now)
    ratio = 1.0
    if speed.is_lasting(target, now) or speed.is_late_now(target, now):
        ratio = speed.ratio(target, health.slowness(target, now), now)
    time_s = ratio * typical_s + target.pauses.delay_s(now, typical_s, state.pause_pattern)
    # A target that has been silent for some time is expected to stay so for as long again.
    return max(time_s, silent_s)


def _shard_s(state: states.State, pool: str, typical_s: float, now: float) -> float:
    """Return the time that the fastest target of a pool needs; 0 if the pool is not scarce."""
    best_s = math.inf
    for target in state.pools.get(pool, {}).values():
        if not placement.is_usable(state, target, now):
            continue
        if not speed.is_lasting(target, now):
            return 0.0
        best_s = min(best_s, needed_s(state, target, typical_s, now))
    return best_s


def plan(state: states.State, query: states.Query, now: float) -> Plan:
    """Return which parts of a search to leave out, or the refusal of the search.

    At most as many as the search may miss are left out, the scarcest first.
    """
    route = query.route
    typical_s = state.statistics(route).latency.median
    if not route.is_search or typical_s <= 0.0:
        return NOTHING
    scarce = []
    lost = 0
    for part in query.parts:
        time_s = _shard_s(state, part.pool, typical_s, now)
        if time_s == 0.0:
            continue
        if not state.policies.scarcity.can_answer(time_s, query.deadline - now):
            lost += not _is_probe_due(state, part.pool, now - REFUSED_PROBE_DELAY_S)
        if _is_probe_due(state, part.pool, now):
            continue
        if not state.policies.scarcity.can_answer(time_s, query.objective_at - now):
            scarce.append((time_s, part))
    may_miss = count_may_miss(len(query.parts), route.least_coverage)
    if lost > may_miss:
        return Plan(refusal=model.Refusal.COVERAGE_TOO_LOW)
    scarce.sort(key=lambda item: -item[0])
    return Plan(tuple((part, time_s) for time_s, part in scarce[:may_miss]))


def count_may_miss(total: int, least_coverage: float) -> int:
    """Return how many of its shards a search may miss."""
    count = int(total * (1.0 - least_coverage)) + 1
    while count > 0 and (total - count) / total < least_coverage:
        count -= 1
    return min(count, total - 1)


def leave_out(state: states.State, query: states.Query, now: float) -> None:
    """Leave out the parts of a search that the plan names, and schedule the next probes."""
    left_out = plan(state, query, now).left_out
    for part, time_s in left_out:
        part.is_given_up = True
        part.reason = SCARCE
        part.needed_s = time_s
        query.open_parts -= 1
        if part.pool not in state.probe_at:
            state.probe_at[part.pool] = _choose_probe_time(state, now)
    state.counters["parts_left_out"] += len(left_out)
    if not state.probe_at:
        return
    for part in query.parts:
        if part.is_open and _is_probe_due(state, part.pool, now):
            state.probe_at[part.pool] = _choose_probe_time(state, now)


def _is_probe_due(state: states.State, pool: str, now: float) -> bool:
    return now >= state.probe_at.get(pool, math.inf)


def _choose_probe_time(state: states.State, now: float) -> float:
    """Return the time of this daemon's next probe, so that the fleet's are a Poisson process."""
    return now + state.rng.expovariate(PROBES_PER_S / membership.estimate_fleet_size(state, now))


def is_hedge_useful(state: states.State, part: states.Part, now: float) -> bool:
    """Return whether another target is likely to answer before the one that is late."""
    query = part.query
    if not query.route.is_search:
        return True
    typical_s = state.typical_latency_s(query.route)
    remaining_s = math.inf
    for attempt in part.attempts:
        elapsed_s = now - attempt.sent_at
        time_s = needed_s(state, attempt.target, typical_s, now)
        # A request that has taken longer than expected is expected to take as long again.
        remaining_s = min(remaining_s, max(time_s - elapsed_s, elapsed_s))
    other_s = min(
        (
            needed_s(state, target, typical_s, now)
            for target in state.pools.get(part.pool, {}).values()
            if target.id not in part.tried and placement.is_usable(state, target, now)
        ),
        default=math.inf,
    )
    if state.policies.scarcity.is_hedge_useful(other_s, remaining_s):
        return True
    if part.reason != NO_FASTER_TARGET:
        part.reason = NO_FASTER_TARGET
        state.counters["hedges_useless"] += 1
    return False


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Log which shards have become scarce and which no longer are, with what is known of each."""
    if now - state.scarce_checked_at < CHECK_INTERVAL_S or state.table is None:
        return
    state.scarce_checked_at = now
    shards = {pool for route in state.table.routes for pool in route.shards}
    scarce = {pool for pool in shards if _shard_s(state, pool, 1.0, now) > 0.0}
    for pool in sorted(scarce - state.scarce_pools):
        targets = state.pools.get(pool, {}).values()
        known = {target.id: _describe_target(state, target, now) for target in targets}
        fields = {"shard": pool, "targets": known}
        out.append(effect.Log("shard_scarce", fields, is_urgent=True))
    for pool in sorted(state.scarce_pools - scarce):
        out.append(effect.Log("shard_recovered", {"shard": pool}, is_urgent=True))
    state.scarce_pools = scarce


def _describe_target(state: states.State, target: states.Target, now: float) -> dict:
    return {
        "usable": placement.is_usable(state, target, now),
        "ratio": round(speed.ratio(target, health.slowness(target, now), now), 1),
        "silent_s": round(speed.silence_s(target, now), 2),
    }
