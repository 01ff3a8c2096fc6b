"""Sends sub-searches to leaves: first requests, hedges, retries and queued shards."""

from hyssopproxy import effect
from hyssopproxy import snapshot
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy import wire

MIN_SCHEDULE_DELAY_S = 0.001  # minimum delay until the next hedge decision of a search
SEND_GRACE_S = 0.05  # a request that was not sent within this time is dropped and retried
READ_GRACE_S = 0.25  # how long after the deadline a target's "expired" lines are still read
Availability = targets.Availability


def pick(
    state: states.State, query: states.Query, shard: str, now: float
) -> tuple[states.Leaf | None, Availability]:
    """Return a leaf with a free slot for the shard, or the reason why there is none.

    Leaves of this daemon's failure domain are preferred. Leaves that reported the snapshot as gone
    are chosen last instead of skipped, since they may have loaded it in the meantime. If every leaf
    is backed off, one may be returned as a probe.
    """
    near: list[states.Leaf] = []
    far: list[states.Leaf] = []
    reported_gone: list[states.Leaf] = []
    reason = Availability.BACKED_OFF
    backed_off = []
    tried = query.tried.get(shard, ())
    name = query.route.snapshot.name
    local_domain = state.identity.failure_domain
    for leaf in query.route.shards[shard]:
        if leaf in tried:
            continue
        availability = targets.check_leaf(state, leaf, now)
        if availability is Availability.AVAILABLE and snapshot.is_gone(query.service, name, leaf):
            reported_gone.append(leaf)
        elif availability is Availability.AVAILABLE:
            tier = near if leaf.target.spec.failure_domain == local_domain else far
            tier.append(leaf)
        elif availability is Availability.BACKED_OFF:
            backed_off.append(leaf)
        elif reason is not Availability.FULL:
            reason = availability
    if near or far or reported_gone:
        query.service.turn += 1
        candidates = near or far or reported_gone
        return query.service.replica.choose(candidates, query.service.turn), Availability.AVAILABLE
    if backed_off and reason is Availability.BACKED_OFF:
        probe = targets.find_probe(state, backed_off, now)
        return probe, Availability.AVAILABLE if probe else reason
    return None, reason


def send(
    state: states.State,
    query: states.Query,
    shard: str,
    leaf: states.Leaf,
    now: float,
    is_hedge: bool = False,
) -> None:
    """Put a sub-search into the outbox for its target."""
    number = state.next_number()
    sub = states.SubSearch(
        id=f"{state.identity.vm}.{state.identity.incarnation}.{number}",
        query=query,
        attempt=query.attempt,
        shard=shard,
        leaf=leaf,
        request_no=0,
        snapshot=query.route.snapshot.name,
        sent_at=now,
        is_hedge=is_hedge,
    )
    leaf.in_flight += 1
    query.waiting.discard(shard)
    query.outstanding.setdefault(shard, []).append(sub)
    query.tried.setdefault(shard, []).append(leaf)
    state.outbox.setdefault(leaf.target.spec.address, []).append(sub)
    if not is_hedge:
        query.service.hedge_budget.earn(1)
        query.service.retry_budget.earn(1)


def wait(state: states.State, query: states.Query, shard: str, now: float) -> None:
    """Queue a shard for a free slot at every leaf that can serve it."""
    query.waiting.add(shard)
    waiter = states.Waiter(query, query.attempt, shard)
    for leaf in query.route.shards[shard]:
        availability = targets.check_target(state, leaf.target, now)
        if availability in (Availability.AVAILABLE, Availability.BACKED_OFF):
            leaf.waiting.append(waiter)


def serve_waiting(state: states.State, leaf: states.Leaf, now: float) -> None:
    """Send waiting shards while the leaf has free slots."""
    while leaf.waiting:
        waiter = leaf.waiting[0]
        if not _is_current(state, waiter):
            leaf.waiting.popleft()
            continue
        if targets.check_leaf(state, leaf, now) is not Availability.AVAILABLE:
            return
        leaf.waiting.popleft()
        query = waiter.query
        if not snapshot.is_gone(query.service, query.route.snapshot.name, leaf):
            send(state, query, waiter.shard, leaf, now)


def _is_current(state: states.State, waiter: states.Waiter) -> bool:
    query = waiter.query
    if query.number not in state.queries or query.attempt != waiter.attempt:
        return False
    return waiter.shard in query.waiting


def release(state: states.State, sub: states.SubSearch, now: float) -> None:
    """Free the slot of a sub-search that ended and give it to a waiting shard."""
    sub.leaf.in_flight -= 1
    subs = sub.query.outstanding.get(sub.shard)
    if subs and sub in subs:
        subs.remove(sub)
        if not subs:
            del sub.query.outstanding[sub.shard]
    serve_waiting(state, sub.leaf, now)


def abandon(state: states.State, subs: list[states.SubSearch], now: float) -> None:
    """Mark sub-searches as abandoned; each target gets one cancel call for all of them."""
    for sub in subs:
        if sub.is_abandoned:
            continue
        sub.is_abandoned = True
        state.counters["sub_searches_cancelled"] += 1
        targets.record_overdue(sub.leaf, now - sub.sent_at)
        address = sub.leaf.target.spec.address
        state.cancels.setdefault(address, []).append((sub.id, sub.shard))


def flush(state: states.State, now: float, out: list) -> None:
    """Turn the outbox into one request per target, and the cancels into one call per target."""
    for address, subs in state.outbox.items():
        out.append(_make_request(state, address, subs, now))
    for address, items in state.cancels.items():
        out.append(effect.SendCancel(address, tuple(items)))
    state.outbox = {}
    state.cancels = {}


def _make_request(
    state: states.State, address: str, subs: list[states.SubSearch], now: float
) -> effect.SendSearch:
    number = state.next_number()
    target = subs[0].leaf.target
    state.requests[number] = states.Request(number, target, {sub.id: sub for sub in subs}, now)
    target.requests += 1
    state.counters["target_requests"] += 1
    state.counters["sub_searches"] += len(subs)
    searches = []
    longest_s = 0.0
    for sub in subs:
        sub.request_no = number
        remaining_s = sub.query.deadline - now
        longest_s = max(longest_s, remaining_s)
        searches.append(
            wire.SubSearch(
                request_id=sub.id,
                timeout_ms=max(1, int(remaining_s * 1000)),
                snapshot=sub.snapshot,
                shard=sub.shard,
                query=sub.query.text,
                limit=sub.query.limit,
            )
        )
    return effect.SendSearch(
        request_no=number,
        address=address,
        searches=tuple(searches),
        flush_interval_ms=target.service.spec.flush_interval_ms,
        not_after=now + SEND_GRACE_S,
        timeout_s=longest_s + READ_GRACE_S,
    )
