"""Processes requests until they are answered: first attempts, hedges, retries and deadlines.

Handles the case where one slow, paused or unreachable target among many shards determines the
latency of the whole search, and the case where retries of failed requests overload the targets.
A plain request is handled like a search over one shard; its answer is forwarded unchanged.
"""

from hyssopproxy.engine import admission
from hyssopproxy.engine import answer
from hyssopproxy.engine import budget
from hyssopproxy.engine import closing
from hyssopproxy.engine import coverage
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import health
from hyssopproxy.engine import membership
from hyssopproxy.engine import misdirection
from hyssopproxy.engine import model
from hyssopproxy.engine import organisation
from hyssopproxy.engine import placement
from hyssopproxy.engine import quota
from hyssopproxy.engine import routing
from hyssopproxy.engine import scarcity
from hyssopproxy.engine import state as states

CALLER_TRANSIT_S = 0.015  # network time of a request and its answer between caller and daemon
DEADLINE_MARGIN_S = 0.025  # time reserved to deliver the answer before the caller times out
SEND_GRACE_S = 0.4  # an attempt not sent within this time of its decision is dropped and retried
HEDGE_RETRY_S = 0.02  # delay until a hedge without a target or budget is tried again
MAX_WAIT_FRACTION = 0.25  # longest wait for a target or budget, as a fraction of the objective
MIN_OBJECTIVE_FRACTION = 0.35  # with less of the objective left, no answer can be on time
MAX_QUERIES = 600  # requests in progress; further ones are refused
Outcome = model.Outcome
Refusal = model.Refusal


def handle_arrived(
    state: states.State, arrived: event.RequestArrived, now: float, out: list
) -> None:
    """Admit a request, or refuse it immediately."""
    state.counters["requests"] += 1
    if answer.is_kill_near(state, now):
        answer.refuse_new(state, arrived, Refusal.STOPPING, now, out)
        return
    if state.table is None:
        answer.refuse_new(state, arrived, Refusal.NO_CONFIGURATION, now, out)
        return
    route = routing.match(state.table, arrived.host, arrived.path)
    if route is None:
        answer.refuse_new(state, arrived, Refusal.NO_ROUTE, now, out)
        return
    query = _create_query(state, route, arrived, now)
    refusal = _find_refusal(state, query, now)
    if refusal is not None:
        _refuse_new(state, states.Admission(arrived, query), refusal, now, out)
        return
    pending = states.Admission(arrived, query)
    decision = quota.decide(state, pending, now, out)
    if decision is quota.Decision.ADMITTED:
        _start(state, query, now, out)


def admit(state: states.State, pending: states.Admission, now: float, out: list) -> None:
    """Send a request whose admission was pending, unless it has to be refused meanwhile."""
    query = pending.query
    refusal = _find_refusal(state, query, now)
    if refusal is not None:
        _refuse_new(state, pending, refusal, now, out)
        return
    _start(state, query, now, out)


def _start(state: states.State, query: states.Query, now: float, out: list) -> None:
    """Send a request to its shards."""
    state.queries[query.number] = query
    scarcity.leave_out(state, query, now)
    for part in query.parts:
        if part.is_open:
            _record_first_attempt(state, part.pool, now)
            _send_or_wait(state, part, now, out)
    _finish_or_schedule(state, query, now, out)


def _find_refusal(state: states.State, query: states.Query, now: float) -> Refusal | None:
    """Return why a request has to be refused before anything is sent for it, or None."""
    if not organisation.is_allowed(state.table, query.route, query.organisation):
        return Refusal.UNKNOWN_KEY
    if not organisation.is_still_allowed(state, query):
        return Refusal.UNKNOWN_KEY
    if len(state.queries) >= MAX_QUERIES:
        return Refusal.OVERLOADED
    if not coverage.can_serve(state, query, MAX_WAIT_FRACTION * query.route.objective_s, now):
        return Refusal.COVERAGE_TOO_LOW if query.route.is_search else Refusal.NO_TARGET
    if not answer.can_finish(state, query, now):
        return Refusal.STOPPING
    verdict = admission.decide(state, query, now)
    if not verdict.is_admitted:
        query.verdict = verdict
        return Refusal.OVERLOADED
    return scarcity.plan(state, query, now).refusal


def _refuse_new(
    state: states.State, pending: states.Admission, refusal: Refusal, now: float, out: list
) -> None:
    """Refuse a request before anything is sent, with what is known of the time to come back."""
    query = pending.query
    verdict = query.verdict
    answer.refuse_new(
        state,
        pending.arrived,
        refusal,
        now,
        out,
        opening_s=coverage.opening_s(state, query, now),
        min_retry_s=verdict.retry_after_s if verdict is not None else 0.0,
        details=verdict.inputs if verdict is not None else None,
    )


def _create_query(
    state: states.State, route: model.Route, arrived: event.RequestArrived, now: float
) -> states.Query:
    caller_timeout_s = arrived.time_left_s
    left_s = route.timeout_s if caller_timeout_s is None else caller_timeout_s
    statistics = state.statistics(route)
    statistics.longest_timeout_s = max(statistics.longest_timeout_s, left_s)
    spent_s = statistics.longest_timeout_s - left_s
    caller_deadline = now + left_s
    query = states.Query(
        number=arrived.query_no,
        request_id=arrived.request_id,
        route=route,
        version=state.table.version,
        arrived_at=now,
        deadline=min(caller_deadline - DEADLINE_MARGIN_S, now + route.timeout_s),
        caller_deadline=caller_deadline,
        objective_at=now + _objective_left_s(route.objective_s, spent_s),
        key_digest=arrived.key_digest,
        organisation=organisation.identify(state.table, arrived.key_digest),
    )
    query.parts = [states.Part(query, pool) for pool in routing.choose_pools(state, route)]
    query.open_parts = len(query.parts)
    return query


def _objective_left_s(objective_s: float, spent_s: float) -> float:
    """Return the time to the objective of a caller that spent `spent_s` on an earlier try.

    If too little is left to meet the objective, the full objective applies again.
    """
    left_s = objective_s - spent_s - CALLER_TRANSIT_S
    return left_s if left_s >= MIN_OBJECTIVE_FRACTION * objective_s else objective_s


def _record_first_attempt(state: states.State, pool: str, now: float) -> None:
    _pool_budget(state, pool).record_first_attempt(now)


def _pool_budget(state: states.State, pool: str) -> budget.Budget:
    pool_budget = state.budgets.get(pool)
    if pool_budget is None:
        pool_budget = state.budgets[pool] = budget.Budget(state.settings.retry_window_s)
    return pool_budget


def has_budget(state: states.State, pool: str, now: float, is_hedge: bool) -> bool:
    """Return whether the budget allows one more hedge or retry to a pool."""
    settings = state.settings
    slack = membership.slack_share(state, settings.retry_slack, now)
    offset = membership.rounding_offset(state, pool, now)
    pool_budget = _pool_budget(state, pool)
    return pool_budget.can_send_extra(now, settings.retry_ratio, slack, is_hedge, offset)


def _send_or_wait(state: states.State, part: states.Part, now: float, out: list) -> None:
    """Send a part that has no attempt in flight; without a target or budget, retry it later."""
    query = part.query
    route = query.route
    if part.runs >= route.max_attempts or (not route.is_idempotent and part.runs):
        _give_up(part, "attempts_used")
        return
    if not organisation.is_still_allowed(state, query):
        _give_up(part, Refusal.UNKNOWN_KEY.value)
        return
    if not answer.can_finish(state, query, now):
        part.reason = f"{part.reason} stopping".strip()
        _give_up(part, "stopping")
        return
    reason = "retry_budget"
    if not part.may_have_arrived or has_budget(state, part.pool, now, is_hedge=False):
        reason = "no_target"
        target = placement.pick(state, part, state.typical_latency_s(route), now)
        if target is not None:
            _send(state, part, target, now, out)
            return
    _wait_for_target(state, part, reason, now)


def _wait_for_target(state: states.State, part: states.Part, reason: str, now: float) -> None:
    """Mark a part for a retry; give it up after the maximum wait.

    It is given up immediately if its pool has no healthy target, or if an answer could no longer
    arrive by the deadline. Only a part of a search waits for a closed target.
    """
    if part.waiting_since is None:
        part.waiting_since = now
    route = part.query.route
    left_s = _wait_end(part) - now
    opening_s = left_s if route.is_search else 0.0
    typical_s = state.statistics(route).latency.median
    if (
        left_s <= 0.0
        or (admission.is_configured(state) and now + typical_s >= part.query.deadline)
        or not placement.has_healthy_target(state, part.pool, now, opening_s)
    ):
        part.reason = f"{part.reason} {reason}".strip()
        _give_up(part, reason)
        return
    state.waiting_queries.add(part.query.number)


def _wait_end(part: states.Part) -> float:
    """Return when a waiting part is given up; waits that follow each other count as one."""
    max_wait_s = MAX_WAIT_FRACTION * part.query.route.objective_s
    end = part.query.arrived_at + max_wait_s
    return end if part.waiting_since < end else part.waiting_since + max_wait_s


def _give_up(part: states.Part, reason: str) -> None:
    if part.is_open and not part.attempts:
        part.is_given_up = True
        part.reason = part.reason or reason
        part.query.open_parts -= 1


def _send(
    state: states.State,
    part: states.Part,
    target: states.Target,
    now: float,
    out: list,
    is_hedge: bool = False,
) -> None:
    query = part.query
    route = query.route
    typical_latency_s = state.typical_latency_s(route)
    statistics = state.statistics(route)
    delay_s = state.policies.hedge.delay_s(
        statistics.latency.read(), statistics.latency.median, route.objective_s
    )
    is_extra = part.has_sent and (part.may_have_arrived or bool(part.attempts))
    attempt = states.Attempt(
        number=state.next_number(),
        part=part,
        target=target,
        sent_at=now,
        typical_latency_s=typical_latency_s,
        hedge_at=now + delay_s,
        is_extra=is_extra,
    )
    if is_extra:
        _pool_budget(state, part.pool).record_extra_attempt(now)
        query.extra_attempts += 1
        state.counters["hedges" if is_hedge else "retries"] += 1
    state.counters["attempts"] += 1
    part.has_sent = True
    part.runs += 1
    part.waiting_since = None
    part.tried.add(target.id)
    part.attempts.append(attempt)
    target.attempts[attempt.number] = attempt
    state.attempts[attempt.number] = attempt
    out.append(
        effect.Send(
            attempt_no=attempt.number,
            query_no=query.number,
            target_id=target.id,
            address=target.entry.address,
            time_left_s=max(0.001, min(query.caller_deadline, query.deadline) - now),
            not_after=min(now + SEND_GRACE_S, closing.leaves_at(state, target)),
            needs_fresh_connection=not route.is_idempotent,
            max_connections=placement.connection_share(state, target, now),
            top_k=route.top_k if route.is_search else None,
            organisation=query.organisation.name if query.organisation is not None else "",
            started_at_ms=target.entry.started_at_ms,
        )
    )


def handle_ended(state: states.State, ended: event.AttemptEnded, now: float, out: list) -> None:
    """Handle the end of an attempt; retry its part elsewhere unless it was answered."""
    attempt = state.attempts.pop(ended.attempt_no, None)
    if attempt is None:
        return
    target = attempt.target
    target.attempts.pop(attempt.number, None)
    _record_outcome(state, attempt, ended, now, out)
    part = attempt.part
    if attempt in part.attempts:
        part.attempts.remove(attempt)
    query = part.query
    outcome = ended.outcome
    if outcome.is_not_run:
        part.runs -= 1
    if outcome.may_have_arrived:
        part.may_have_arrived = True
    if attempt.is_abandoned or query.number not in state.queries or not part.is_open:
        _retry_for_pool(state, part.pool, now, out)
        return
    if outcome is Outcome.ANSWERED:
        part.reply = ended.reply
        query.open_parts -= 1
        query.answered_parts += 1
        answer.abandon_attempts(part, out)
        if attempt.is_extra:
            state.counters["extras_won"] += 1
        if _is_done(state, query, now):  # otherwise the scheduled `QueryDue` remains valid
            answer.finish(state, query, now, out)
    else:
        part.reason = outcome.value
        if outcome is Outcome.FAILED and ended.reply is not None:
            part.failure = ended.reply
        if outcome is Outcome.EXPIRED:
            part.tried.discard(target.id)
        if not part.attempts:
            _send_or_wait(state, part, now, out)
        _finish_or_schedule(state, query, now, out)
    _retry_for_pool(state, part.pool, now, out)


def _record_outcome(
    state: states.State, attempt: states.Attempt, ended: event.AttemptEnded, now: float, out: list
) -> None:
    """Update the statistics of the route and the health of the target."""
    target = attempt.target
    outcome = ended.outcome
    state.counters[f"attempts_{outcome.value}"] += 1
    closing.record_ended(state, attempt, outcome, now, out)
    admission.record_attempt(state, attempt, outcome, now)
    latency = state.statistics(attempt.part.query.route).latency
    if outcome is not Outcome.ANSWERED and outcome.may_have_arrived:
        health.record_silent(state, attempt, now)
    if ended.cold_left_s is not None:
        placement.record_cold_start(target, ended.cold_left_s, now)
    if outcome is Outcome.ANSWERED:
        latency.record(now - attempt.sent_at)
        health.record_answer(state, attempt, now, latency.median)
    elif outcome is Outcome.SHED:
        health.record_shed(state, target, ended.retry_after_s, now)
    elif outcome is Outcome.MISDIRECTED:
        misdirection.record(state, target, out)
    elif outcome.is_target_fault:
        if outcome is Outcome.GARBLED:
            _log_garbled(state, attempt, ended.detail, out)
        was_healthy = now >= target.backoff_until
        health.record_fault(state, attempt, outcome, now)
        if was_healthy and now < target.backoff_until:
            fields = {
                "target": target.id,
                "faults": target.consecutive_faults,
                "outcome": outcome.value,
            }
            out.append(effect.Log("target_backed_off", fields))


def _log_garbled(state: states.State, attempt: states.Attempt, detail: str, out: list) -> None:
    if detail:
        state.counters[f"answers_{detail}"] += 1
    fields = {
        "request_id": attempt.part.query.request_id,
        "target": attempt.target.id,
        "pool": attempt.part.pool,
        "reason": detail or "unsigned",
    }
    out.append(effect.Log("answer_garbled", fields))


def handle_due(state: states.State, due: event.QueryDue, now: float, out: list) -> None:
    """Send the hedges that are due, or answer the request."""
    query = state.queries.get(due.query_no)
    if query is None:
        return
    query.next_due_at = float("inf")
    for part in query.parts:
        for attempt in part.attempts:
            if attempt.hedge_at <= now and not attempt.is_overdue:
                health.record_overdue(state, attempt, now)
    if now < query.deadline:
        for part in query.parts:
            if part.is_open:
                _hedge_if_due(state, part, now, out)
        if query.number in state.waiting_queries:
            state.waiting_queries.discard(query.number)
            _retry_parts(state, query, now, out)
    _finish_or_schedule(state, query, now, out)


def _hedge_if_due(state: states.State, part: states.Part, now: float, out: list) -> None:
    if not part.attempts or any(attempt.hedge_at > now for attempt in part.attempts):
        return
    route = part.query.route
    if not route.is_idempotent or part.runs >= route.max_attempts:
        part.reason = "attempts_used"
        return
    if not answer.can_finish(state, part.query, now):
        part.reason = "stopping"
        return
    if not scarcity.is_hedge_useful(state, part, now):
        return
    if not admission.may_hedge(state, part, now):
        part.reason = "limited"
        return
    if not has_budget(state, part.pool, now, is_hedge=True):
        state.counters["hedges_over_budget"] += 1
        part.reason = "hedge_budget"
        return
    target = placement.pick(state, part, state.typical_latency_s(route), now, is_hedge=True)
    if target is None:
        part.reason = "no_hedge_target"
        return
    _send(state, part, target, now, out, is_hedge=True)


def retry_waiting_parts(state: states.State, now: float, out: list) -> None:
    """Retry parts that found no target or budget, the most urgent requests first."""
    queries = [state.queries[number] for number in state.waiting_queries if number in state.queries]
    state.waiting_queries.clear()
    queries.sort(key=lambda query: admission.rank_waiting(state, query, now))
    for query in queries:
        _retry_parts(state, query, now, out)
        _finish_or_schedule(state, query, now, out)


def _retry_parts(state: states.State, query: states.Query, now: float, out: list) -> None:
    for part in query.parts:
        if part.is_open and not part.attempts:
            _send_or_wait(state, part, now, out)


def _retry_for_pool(state: states.State, pool: str, now: float, out: list) -> None:
    """Retry the waiting parts of a pool whose target has a free slot."""
    if not admission.is_configured(state):
        return  # they are retried at the next tick
    for number in state.waiting_queries:
        query = state.queries.get(number)
        if query is not None and any(part.pool == pool for part in query.parts):
            retry_waiting_parts(state, now, out)
            return


def _finish_or_schedule(state: states.State, query: states.Query, now: float, out: list) -> None:
    """Answer the request if it is done, otherwise schedule its next decision."""
    if query.number not in state.queries:
        return
    if _is_done(state, query, now):
        answer.finish(state, query, now, out)
        return
    next_at = query.deadline
    if query.route.is_search and query.objective_at > now:
        next_at = min(next_at, query.objective_at)
    if query.number in state.waiting_queries:
        for part in query.parts:
            if part.is_open and part.waiting_since is not None:
                next_at = min(next_at, _wait_end(part))
    can_hedge = query.route.is_idempotent
    for part in query.parts:
        if not can_hedge or not part.is_open or part.runs >= query.route.max_attempts:
            continue
        for attempt in part.attempts:
            next_at = min(
                next_at, attempt.hedge_at if attempt.hedge_at > now else now + HEDGE_RETRY_S
            )
    if next_at < query.next_due_at:
        query.next_due_at = next_at
        out.append(effect.ScheduleEvent(next_at, event.QueryDue(query.number)))


def _is_done(state: states.State, query: states.Query, now: float) -> bool:
    if query.open_parts == 0 or now >= query.deadline:
        return True
    if not query.route.is_search:
        return False
    total = len(query.parts)
    least_coverage = query.route.least_coverage
    if (query.answered_parts + query.open_parts) / total < least_coverage:
        return True
    if query.answered_parts == 0:
        return False
    is_past_objective = now >= query.objective_at
    return state.policies.wait.is_enough(
        query.answered_parts / total, least_coverage, is_past_objective
    )
