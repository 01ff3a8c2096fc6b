"""Completes requests: delivers the answer or refuses the request, and logs the outcome.

Handles callers that retry: a refusal states immediately and reliably whether a target may have
executed the request, and randomised retry times keep callers from returning all at once.
"""

import math

from hyssopproxy.engine import admission
from hyssopproxy.engine import coverage
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import organisation
from hyssopproxy.engine import reach
from hyssopproxy.engine import state as states

MIN_RETRY_AFTER_S = 0.2  # about the time until a starting daemon or shedding target has capacity
# Spread of the callers that wait for a closed target, whose return itself is spread; the retry time
# has two decimals, and half of this more than makes up for the rounding.
OPENING_SPREAD_S = 0.1
KILL_MARGIN_S = 0.5  # time between the last answers and SIGKILL
Refusal = model.Refusal


def is_kill_near(state: states.State, now: float) -> bool:
    """Return whether a stopping daemon has to answer all requests now."""
    return now >= state.kill_at - KILL_MARGIN_S


def can_finish(state: states.State, query: states.Query, now: float) -> bool:
    """Return whether an attempt sent now will plausibly end before a stopping daemon does.

    Assumes a high quantile of the route's latency, for a request that must not be repeated at least
    the objective, and for every request no more than its own time.
    """
    if state.stopping_since is None:
        return True
    route = query.route
    latency_s = state.statistics(route).latency.read()
    if latency_s is None or not route.is_idempotent:
        latency_s = max(latency_s or 0.0, route.objective_s)
    return not is_kill_near(state, min(now + latency_s, query.deadline))


def refuse_new(
    state: states.State,
    arrived: event.RequestArrived,
    reason: Refusal,
    now: float,
    out: list,
    *,
    opening_s: float = 0.0,
    min_retry_s: float = 0.0,
    details: dict | None = None,
) -> None:
    """Refuse a request before anything is sent to a target.

    `opening_s` is the time until targets accept it, 0 if unknown; `min_retry_s` is the earliest
    time at which it may be admitted. `details` go into the log line.
    """
    retry_after_s = max(_retry_after_s(state, now, opening_s), min_retry_s)
    state.counters[f"refused_{reason.value}"] += 1
    fields = {
        "request_id": arrived.request_id,
        "reason": reason.value,
        "version": state.table.version if state.table else 0,
        **(details or {}),
    }
    if opening_s > 0.0:
        fields["opening_s"] = round(opening_s, 3)
    if min_retry_s > 0.0:
        fields["retry_after_s"] = round(retry_after_s, 2)
    fields |= details or {}
    out.append(effect.Log("request_refused", fields, is_urgent=True))
    out.append(effect.Refuse(arrived.query_no, reason, True, retry_after_s))


def finish_all(state: states.State, now: float, out: list) -> None:
    """Answer all requests in progress with the replies received so far."""
    for query in list(state.queries.values()):
        finish(state, query, now, out)


def finish(state: states.State, query: states.Query, now: float, out: list) -> None:
    """Answer a request with the replies received so far, or refuse it."""
    remove_query(state, query)
    for part in query.parts:
        abandon_attempts(part, out)
    total = len(query.parts)
    replies = tuple(part.reply for part in query.parts if part.reply is not None)
    route = query.route
    is_delivered = bool(replies) and len(replies) / total >= route.least_coverage
    admission.record_outcome(state, query, is_delivered, now)
    if not route.is_search and (replies or query.parts[0].failure is not None):
        reply = replies[0] if replies else query.parts[0].failure
        log_outcome(state, query, "delivered" if replies else "target_failure", now, out)
        out.append(effect.Deliver(query.number, reply))
    elif is_delivered:
        log_outcome(state, query, "delivered" if len(replies) == total else "partial", now, out)
        out.append(effect.DeliverSearch(query.number, replies, total - len(replies), route.top_k))
    else:
        _refuse(state, query, now, out)


def _refuse(state: states.State, query: states.Query, now: float, out: list) -> None:
    if now >= query.deadline:
        reason = Refusal.DEADLINE_EXCEEDED
    elif is_kill_near(state, now):
        reason = Refusal.STOPPING
    elif not organisation.is_still_allowed(state, query):
        reason = Refusal.UNKNOWN_KEY
    elif query.route.is_search:
        reason = Refusal.COVERAGE_TOO_LOW
    elif any(part.may_have_arrived for part in query.parts):
        reason = Refusal.TARGET_FAILED
    else:
        reason = Refusal.NO_TARGET
    is_not_run = not any(part.runs > 0 for part in query.parts)
    state.counters[f"refused_{reason.value}"] += 1
    log_outcome(state, query, reason.value, now, out)
    retry_after_s = _retry_after_s(state, now, coverage.opening_s(state, query, now))
    out.append(effect.Refuse(query.number, reason, is_not_run, retry_after_s))


def _retry_after_s(state: states.State, now: float, opening_s: float = 0.0) -> float:
    """Return the time after which a caller should retry, randomised to avoid synchronised retries.

    While this daemon is isolated, this is at least the time until the balancer sends callers to
    another failure domain, and at least the time until its targets open, if that is known.
    """
    jitter = 0.5 + state.rng.random()
    if opening_s > 0.0:
        return max(opening_s + OPENING_SPREAD_S * jitter, reach.time_to_failover_s(state, now))
    return max(MIN_RETRY_AFTER_S * jitter, reach.time_to_failover_s(state, now))


def remove_query(state: states.State, query: states.Query) -> None:
    """Remove a request from those in progress."""
    del state.queries[query.number]
    state.waiting_queries.discard(query.number)


def abandon_attempts(part: states.Part, out: list) -> None:
    """Abandon the attempts of a part; those already sent continue and keep their connections."""
    for attempt in part.attempts:
        attempt.is_abandoned = True
        out.append(effect.Cancel(attempt.number, only_unsent=True))
    part.attempts.clear()


def log_outcome(
    state: states.State, query: states.Query, outcome: str, now: float, out: list
) -> None:
    """Count and log the outcome of a request."""
    is_late = outcome == "delivered" and now > query.arrived_at + query.route.objective_s
    if is_late:
        outcome = "late"
    state.counters[f"requests_{outcome}"] += 1
    is_fault = outcome not in ("delivered", "caller_gone")
    fields = {
        "request_id": query.request_id,
        "route": query.route.name,
        "version": query.version,
        "outcome": outcome,
        "ms": round((now - query.arrived_at) * 1000, 1),
        "shards": len(query.parts),
        "answered": query.answered_parts,
        "extras": query.extra_attempts,
    }
    if query.organisation is not None:
        fields["organisation"] = query.organisation.name
    if is_fault:
        fields["objective_ms"] = round(query.route.objective_s * 1000)
        fields["left_ms"] = round((query.caller_deadline - now) * 1000)
        fields["config_age_s"] = round(now - state.sync.last_synced_at, 2)
        fields["attempts_allowed"] = query.route.max_attempts
        fields["idempotent"] = query.route.is_idempotent
        parts_to_log = [part for part in query.parts if part.reason or part.reply is None]
        fields["parts"] = [_describe_part(part) for part in parts_to_log]
    out.append(effect.Log("request", fields, is_urgent=is_fault))


def _describe_part(part: states.Part) -> dict:
    description = {
        "shard": part.pool,
        "answered": part.reply is not None,
        "reason": part.reason or "outstanding",
        "runs": part.runs,
        "tried": sorted(part.tried),
    }
    if part.needed_s is not None:
        description["needed_ms"] = _round_ms(part.needed_s)
    return description


def _round_ms(seconds: float) -> int | None:
    """Return milliseconds, None if infinite."""
    return round(seconds * 1000) if math.isfinite(seconds) else None
