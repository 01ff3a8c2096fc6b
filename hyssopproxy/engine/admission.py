"""Decides which requests are admitted when demand exceeds capacity.

Designed for fleets of up to 410 daemons, each with 0.4 to 2 requests a second, at 1.7 to 3.5 times
the usual load for 3 to 8 s, while a quarter of the targets do not answer, a fifth shed, or many are
slow. Searches go to 36 or 54 shards of 3 replicas with 4 slots and a queue of 24 each; plain
requests go to pools of 8 to 16 targets with 4 slots. Without a limit, each shard serves parts of
all searches, and hardly any search has enough of them: a congestion collapse.

The daemons share what became of their requests (`pressure`). When requests fail and targets shed or
answer from a queue, the rate of admitted requests is limited, the least urgent priority first.
Failures without queues, such as a lost failure domain, do not cause a limit. Nothing is limited
unless the published configuration has priorities.
"""

import zlib

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import policy
from hyssopproxy.engine import pressure
from hyssopproxy.engine import state as states

QUEUE_FACTOR = 2.5  # an answer this many times later than uncongested ones waited in a queue
# A target that sheds this many in a row probably sheds everything, which is no sign of a queue.
MAX_CONSECUTIVE_SHEDS = 2
HEDGE_FACTOR = 6.0  # lateness of answers that are hedged under a limit; a full queue makes 7
BASELINE_GROWTH_PER_S = 0.01  # rise of the uncongested latency; an overload of 8 s adds 8%
MIN_RETRY_AFTER_S = 0.2  # two rounds of counts
MAX_RETRY_AFTER_S = 8.0  # longest overload that is expected
RETRY_SPREAD = 0.5  # fraction by which retry times are spread to either side
FANOUT = 2  # daemons of the failure domain that get a digest in a round
LOADED_FANOUT = 6  # the same while there is a limit or many requests fail
ALARM_RATIO = 0.05  # failures by load, as a fraction, from which more digests are sent
MAX_ENTRIES = 32  # of a digest, at most 36 bytes each; keeps a datagram under 1,400 bytes
MAX_LIMITS = 16  # of a digest, at most 11 bytes each
MILLI = 1000.0  # counts are sent in thousandths
LATE_FRACTION = 0.65  # of the objective spent before; the answer will hardly be on time
MAX_PRIORITY = policy.LATE_PRIORITY - 1  # higher numbers are counted as this one


_FAULT_REASONS = frozenset(
    outcome.value
    for outcome in model.Outcome
    if outcome.is_target_fault and outcome is not model.Outcome.TIMEOUT
)


@attrs.frozen
class Verdict:
    """Whether a request is admitted, and the inputs of that decision."""

    is_admitted: bool
    retry_after_s: float = 0.0  # estimated time until there is capacity
    inputs: dict = attrs.field(factory=dict)


ADMITTED = Verdict(True)


def is_configured(state: states.State) -> bool:
    """Return whether the published configuration has priorities and the policy uses them."""
    table = state.table
    return table is not None and table.has_priorities and state.policies.admission.has_limits


def decide(state: states.State, query: states.Query, now: float) -> Verdict:
    """Return whether to admit a request; once admitted, it stays admitted."""
    if query.is_admitted or not is_configured(state):
        return ADMITTED
    key = resource, priority = _key(state, query)
    state.load.record(resource, priority).offered += 1.0
    limit = state.load.limits.get(resource)
    share = 1.0 if limit is None else limit.shares.get(priority, 1.0)
    if share < 1.0 and not _take_credit(state, key, share):
        return _refuse(state, query, share, "share")
    if limit is not None and not query.route.is_idempotent:
        if not placement.has_free_target(state, query.parts[0].pool, now):
            return _refuse(state, query, share, "no_capacity")
    query.is_admitted = True
    return ADMITTED


def _is_late_retry(state: states.State, query: states.Query) -> bool:
    """Return whether the caller has spent most of the objective on earlier tries."""
    left_s = query.caller_deadline - query.arrived_at
    spent_s = state.statistics(query.route).longest_timeout_s - left_s
    return spent_s > LATE_FRACTION * query.route.objective_s


def _refuse(state: states.State, query: states.Query, share: float, reason: str) -> Verdict:
    resource, priority = _key(state, query)
    state.counters[f"refused_priority_{priority}"] += 1
    estimate_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, pressure.recovery_s(share)))
    spread = 1.0 + RETRY_SPREAD * (2.0 * state.rng.random() - 1.0)
    limit = state.load.limits[resource]
    inputs = {
        "priority": priority,
        "limit": reason,
        "share": round(share, 3),
        "limit_per_s": round(limit.rate, 3),
        "left_ms": round((query.caller_deadline - query.arrived_at) * 1000),
    }
    return Verdict(False, estimate_s * spread, inputs)


def _take_credit(state: states.State, key: pressure.Key, share: float) -> bool:
    """Return whether this request belongs to the admitted share; these are evenly spaced."""
    credits = state.load.credits
    credit = credits.get(key)
    if credit is None:  # at random, so that the daemons do not admit at the same time
        credit = state.rng.random()
    credit += share
    credits[key] = credit - 1.0 if credit >= 1.0 else credit
    return credit >= 1.0


def _key(state: states.State, query: states.Query) -> pressure.Key:
    """Return the resource and the priority of a request."""
    resource = zlib.crc32(query.parts[0].pool.encode())
    priority = max(0, min(MAX_PRIORITY, query.priority))
    return resource, priority + policy.LATE_PRIORITY * _is_late_retry(state, query)


def record_outcome(
    state: states.State, query: states.Query, is_delivered: bool, now: float
) -> None:
    """Count an admitted request that has ended."""
    if not is_configured(state):
        return
    key = resource, _ = _key(state, query)
    limit = state.load.limits.get(resource)
    if limit is not None and query.arrived_at < limit.evidence_from:
        return
    counts = state.load.record(*key)
    if is_delivered and now <= query.arrived_at + query.route.objective_s:
        counts.served += 1.0
    elif now >= query.objective_at or not _is_target_fault(state, query):
        counts.failed += 1.0


def _is_target_fault(state: states.State, query: states.Query) -> bool:
    """Return whether a request failed only by faults of targets, not by load.

    Targets that shed everything are such a fault, too.
    """
    faulty = sum(part.reply is None and _is_part_fault(state, part) for part in query.parts)
    least = max(1, query.route.least_coverage * len(query.parts))
    return query.answered_parts + faulty >= least


def _is_part_fault(state: states.State, part: states.Part) -> bool:
    if not _FAULT_REASONS.isdisjoint(part.reason.split()):
        return True
    return all(
        target.consecutive_sheds >= MAX_CONSECUTIVE_SHEDS
        for target in state.pools.get(part.pool, {}).values()
    )


def record_attempt(
    state: states.State, attempt: states.Attempt, outcome: model.Outcome, now: float
) -> None:
    """Count an attempt that a target answered or shed; others say nothing of queues."""
    if outcome not in (model.Outcome.ANSWERED, model.Outcome.SHED) or not is_configured(state):
        return
    is_shed = outcome is model.Outcome.SHED
    if is_shed and attempt.target.consecutive_sheds >= MAX_CONSECUTIVE_SHEDS:
        return
    query = attempt.part.query
    key = resource, _ = _key(state, query)
    limit = state.load.limits.get(resource)
    if limit is not None and query.arrived_at < limit.evidence_from:
        return
    counts = state.load.record(*key)
    counts.tried += 1.0
    baseline_s = state.load.baselines.get(query.route.name)
    if is_shed:
        counts.queued += 1.0
    elif baseline_s is not None and now - attempt.sent_at > QUEUE_FACTOR * baseline_s:
        counts.queued += 1.0


def may_hedge(state: states.State, part: states.Part, now: float) -> bool:
    """Return whether a hedge is due although demand exceeds capacity.

    A hedge of an answer that waits in a queue makes all queues longer, so that only an answer that
    is later than a queue explains is hedged.
    """
    query = part.query
    baseline_s = state.load.baselines.get(query.route.name)
    if baseline_s is None or _key(state, query)[0] not in state.load.limits:
        return True
    least_wait_s = HEDGE_FACTOR * baseline_s
    return all(now - attempt.sent_at >= least_wait_s for attempt in part.attempts)


def rank_waiting(state: states.State, query: states.Query, now: float) -> tuple:
    """Return the rank of a request that waits for a target; the lowest one is served first.

    Within a priority, requests that can still be on time go first, those with the least time left
    before the others.
    """
    rank = state.policies.admission.rank(query.priority)
    typical_s = state.statistics(query.route).latency.median
    return rank, now + typical_s > query.objective_at, query.objective_at, query.number


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Run a round when it is due: update the limits, and pass half of the counts on."""
    own = state.load
    elapsed_s = min(now - own.round_at, 1.0)
    if elapsed_s < pressure.ROUND_S or not is_configured(state):
        return
    own.round_at = now
    own.digests_left = pressure.MAX_DIGESTS_PER_ROUND
    _update_baselines(state, elapsed_s)
    domain = state.settings.failure_domain
    live = membership.live_members(state, now)
    daemons = 1 + sum(member.failure_domain == domain for member in live)
    own.advance(elapsed_s, daemons)
    loads = own.loads()
    _update_limits(state, loads, daemons, now, out)
    is_loaded = bool(own.limits) or any(load.overload > ALARM_RATIO for load in loads.values())
    _send_digest(state, LOADED_FANOUT if is_loaded else FANOUT, now, out)


def _update_baselines(state: states.State, elapsed_s: float) -> None:
    baselines = state.load.baselines
    for name, statistics in state.route_statistics.items():
        median_s = statistics.latency.median
        if median_s > 0.0:
            grown_s = baselines.get(name, median_s) * (1.0 + BASELINE_GROWTH_PER_S * elapsed_s)
            baselines[name] = min(grown_s, median_s)


def _update_limits(
    state: states.State,
    loads: dict[int, pressure.Load],
    daemons: int,
    now: float,
    out: list,
) -> None:
    own = state.load
    for resource in [resource for resource in own.limits if resource not in loads]:
        del own.limits[resource]
    for resource, load in loads.items():
        change = own.control(resource, load, daemons, now)
        limit = own.limits.get(resource)
        if change:
            fields = {
                "resource": resource,
                "failed_ratio": round(load.failed_ratio, 3),
                "queued_ratio": round(load.queued_ratio, 3),
                "offered_per_s": round(load.total_offered, 3),
                "served_per_s": round(load.served_rate, 3),
                "limit_per_s": round(limit.rate, 3) if limit is not None else None,
            }
            out.append(effect.Log(f"admission_limit_{change}", fields, is_urgent=True))
            state.counters[f"admission_limits_{change}"] += 1
        if limit is not None:
            share = min(1.0, limit.rate / max(load.total_offered, pressure.MIN_RATE))
            limit.shares = state.policies.admission.shares(share, load.offered)


def _send_digest(state: states.State, fanout: int, now: float, out: list) -> None:
    """Send the own counts and limits to a few random daemons."""
    own = state.load
    is_remote = membership.is_remote_sender(state, now)
    local, remote = membership.choose_peers(state, fanout, 1 if is_remote else 0, now)
    keys = list(own.own)
    if len(keys) > MAX_ENTRIES:
        keys = state.rng.sample(keys, MAX_ENTRIES)
    entries = tuple(
        datagram.LoadEntry(*key, *(max(0, round(value * MILLI)) for value in own.own[key].values()))
        for key in keys
    )
    limits = tuple(
        datagram.LimitEntry(resource, round(limit.rate * MILLI))
        for resource, limit in list(own.limits.items())[:MAX_LIMITS]
    )
    message = datagram.Load(round(own.own_weight * MILLI), entries, limits)
    out.extend(effect.SendPeer(ip, message) for ip in (*local, *remote))
    state.counters["load_digests_sent"] += len(local) + len(remote)


def handle_load(state: states.State, received: event.LoadReceived, now: float, out: list) -> None:
    """Add the counts of another daemon to the view of the fleet."""
    own = state.load
    if own.digests_left <= 0 or not is_configured(state):
        state.counters["load_digests_dropped"] += 1
        return
    own.digests_left -= 1
    message = received.message
    entries = {}
    for entry in message.entries[:MAX_ENTRIES]:
        values = (entry.offered, entry.served, entry.failed, entry.tried, entry.queued)
        key = entry.resource, min(2 * MAX_PRIORITY + 1, entry.priority)
        entries[key] = tuple(value / MILLI for value in values)
    own.merge(message.weight_ms / MILLI, entries)
    for limit in message.limits[:MAX_LIMITS]:
        own.adopt(limit.resource, limit.rate / MILLI, now)
