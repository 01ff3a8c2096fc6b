"""Processes searches until they are answered: hedges, retries, reruns and deadlines."""

from hyssopproxy import admission
from hyssopproxy import answer
from hyssopproxy import dispatch
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import problem
from hyssopproxy import snapshot
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy import wire

MIN_RERUN_S = 0.005  # a rerun with less remaining time than this cannot complete
Availability = targets.Availability

# Error in a target's line -> reason given to the caller for the missing shard.
_ERROR_REASONS = {
    "snapshot_gone": "snapshot_gone",
    "shed": "overloaded",
    "draining": "draining",
    "expired": "deadline",
    "unknown_shard": "unknown_shard",
}
# The target did not run the sub-search, so its retry needs no retry budget.
_UNBUDGETED_ERRORS = ("draining", "snapshot_gone", "unknown_shard")


def handle_arrived(
    state: states.State, arrived: event.SearchArrived, now: float, out: list
) -> None:
    """Admit a search and send its sub-searches, or refuse it immediately."""
    query = admission.admit(state, arrived, now)
    if isinstance(query, problem.Problem):
        state.counters[f"refused_{query.kind.name.lower()}"] += 1
        out.append(effect.Refuse(arrived.query_no, query))
        return
    refusal = admission.start(state, query, now)
    if refusal is not None:
        state.counters["refused_overloaded"] += 1
        out.append(effect.Refuse(arrived.query_no, refusal))
        return
    state.counters["searches"] += 1
    state.queries[query.number] = query
    query.service.in_flight += 1
    if not _finish_if_done(state, query, now, out):
        _schedule(query, now, out)


def handle_lines(state: states.State, arrived: event.LinesArrived, now: float, out: list) -> None:
    """Handle lines of a target's reply; a line that matches no sub-search is a fault."""
    request = state.requests.get(arrived.request_no)
    if request is None:
        return
    targets.record_state(state, request.target, arrived.target_state, now, out)
    affected = {}
    for line in arrived.lines:
        sub = None if line is None else request.subs.get(line.request_id)
        if sub is None or not _matches(sub, line):
            _handle_garbled_line(state, request, sub, now, out)
        else:
            del request.subs[sub.id]
            _handle_line(state, sub, line, now, out)
        if sub is not None:
            affected[sub.query.number] = sub.query
    for query in affected.values():
        _finish_if_done(state, query, now, out)


def _matches(sub: states.SubSearch, line: wire.Line) -> bool:
    if line.shard != sub.shard:
        return False
    if line.error:
        return True
    return line.snapshot == sub.snapshot and line.complete


def _handle_garbled_line(
    state: states.State,
    request: states.Request,
    sub: states.SubSearch | None,
    now: float,
    out: list,
) -> None:
    state.counters["lines_garbled"] += 1
    garbled = event.Failure.GARBLED
    targets.record_failure(state, request.target, garbled, request.sent_at, now, out)
    if sub is not None:
        del request.subs[sub.id]
        _fail(state, sub, "target_fault", now, needs_budget=True)


def _handle_line(
    state: states.State, sub: states.SubSearch, line: wire.Line, now: float, out: list
) -> None:
    if line.error:
        _handle_error_line(state, sub, line.error, now, out)
        return
    query = sub.query
    targets.record_answer(state, sub, now, out)
    snapshot.record_served(query.service, sub.snapshot, sub.leaf)
    query.service.record_latency(sub.shard, now - sub.sent_at)
    is_needed = _is_current(state, sub) and sub.shard not in query.answered
    dispatch.release(state, sub, now)
    if not is_needed:
        state.counters["lines_late"] += 1
        return
    query.answered[sub.shard] = line.hits
    if sub.is_hedge:
        state.counters["hedges_won"] += 1
    dispatch.abandon(state, query.outstanding.pop(sub.shard, []), now)


def _is_current(state: states.State, sub: states.SubSearch) -> bool:
    if sub.is_abandoned or sub.attempt != sub.query.attempt:
        return False
    return sub.query.number in state.queries


def _handle_error_line(
    state: states.State, sub: states.SubSearch, error: str, now: float, out: list
) -> None:
    state.counters[f"lines_{error}" if error in _ERROR_REASONS else "lines_unknown_error"] += 1
    if sub.is_abandoned:
        dispatch.release(state, sub, now)
        return
    if error == "shed":
        targets.record_shed(state, sub.leaf, now, out)
    elif error == "draining":
        targets.record_state(state, sub.leaf.target, event.TargetState.DRAINING, now, out)
    elif error == "snapshot_gone":
        snapshot.record_gone(sub.query.service, sub.snapshot, sub.leaf, now)
    reason = _ERROR_REASONS.get(error, "target_fault")
    _fail(state, sub, reason, now, needs_budget=error not in _UNBUDGETED_ERRORS)


def handle_ended(state: states.State, ended: event.RequestEnded, now: float, out: list) -> None:
    """Handle the end of a request; its unanswered sub-searches are retried elsewhere."""
    request = state.requests.pop(ended.request_no, None)
    if request is None:
        return
    request.target.requests -= 1
    failure = ended.failure
    if failure is None and request.subs:
        failure = event.Failure.GARBLED
    if failure is not None:
        targets.record_failure(state, request.target, failure, request.sent_at, now, out)
    needs_budget = failure is None or not failure.is_not_run
    reason = "target_fault" if failure is None else failure.value
    queries = {}
    for sub in request.subs.values():
        _fail(state, sub, reason, now, needs_budget)
        queries[sub.query.number] = sub.query
    for leaf in request.target.leaves:
        dispatch.serve_waiting(state, leaf, now)
    for query in queries.values():
        _finish_if_done(state, query, now, out)


def _fail(
    state: states.State, sub: states.SubSearch, reason: str, now: float, needs_budget: bool
) -> None:
    """Retry a failed sub-search, queue its shard for a free slot, or mark the shard as missing."""
    query = sub.query
    dispatch.release(state, sub, now)
    if not _is_current(state, sub) or sub.shard in query.answered:
        return
    if sub.shard in query.outstanding:
        return  # the shard's other sub-search is still in flight
    leaf, availability = dispatch.pick(state, query, sub.shard, now)
    if leaf is not None and (not needs_budget or query.service.retry_budget.spend()):
        state.counters["retries"] += 1
        dispatch.send(state, query, sub.shard, leaf, now)
    elif reason == "snapshot_gone" and _rerun(state, query, now):
        return
    elif leaf is None and availability is Availability.FULL:
        dispatch.wait(state, query, sub.shard, now)
    else:
        query.missing[sub.shard] = reason


def _rerun(state: states.State, query: states.Query, now: float) -> bool:
    """Restart the search against another snapshot if time allows; return whether it restarted."""
    median_s = query.service.search_latency.read() or MIN_RERUN_S
    query.snapshots_tried |= {query.route.snapshot.name}
    route = snapshot.choose(query.service, now, query.snapshots_tried)
    if route is None or query.deadline - now < max(MIN_RERUN_S, median_s):
        return False
    state.counters["reruns"] += 1
    for subs in list(query.outstanding.values()):
        dispatch.abandon(state, subs, now)
    query.attempt += 1
    query.route = route
    for collection in (
        query.answered,
        query.missing,
        query.outstanding,
        query.waiting,
        query.tried,
    ):
        collection.clear()
    for shard in route.shards:
        leaf, availability = dispatch.pick(state, query, shard, now)
        if leaf is not None:
            dispatch.send(state, query, shard, leaf, now)
        elif availability is Availability.FULL:
            dispatch.wait(state, query, shard, now)
        else:
            query.missing[shard] = availability.value
    return True


def handle_due(state: states.State, due: event.SearchDue, now: float, out: list) -> None:
    """Answer if enough shards answered or the deadline passed; otherwise send the hedges due."""
    query = state.queries.get(due.query_no)
    if query is None or _finish_if_done(state, query, now, out):
        return
    if now >= query.deadline and query.service.wait.enforces_deadline:
        _finish(state, query, now, out)
        return
    _send_hedges(state, query, now)
    _schedule(query, now, out)


def handle_disconnected(
    state: states.State, disconnected: event.CallerDisconnected, now: float, out: list
) -> None:
    """Cancel a search whose caller closed its connection."""
    query = state.queries.get(disconnected.query_no)
    if query is None:
        return
    state.counters["callers_gone"] += 1
    _close(state, query, now)


def _send_hedges(state: states.State, query: states.Query, now: float) -> None:
    for shard, subs in list(query.outstanding.items()):
        due = _hedge_due_at(query, shard)
        if due is None or due > now or len(subs) > 1:
            continue
        leaf, _ = dispatch.pick(state, query, shard, now)
        if leaf is None or not query.service.hedge_budget.spend():
            continue
        state.counters["hedges"] += 1
        dispatch.send(state, query, shard, leaf, now, is_hedge=True)


def _hedge_due_at(query: states.Query, shard: str) -> float | None:
    policy = query.service.hedge
    tracker = query.service.shard_latencies.get(shard)
    quantile_s = tracker.read() if tracker else None
    if quantile_s is None:
        delay_s = policy.initial_delay_s(query.deadline - query.arrived_at)
    else:
        delay_s = policy.delay_s(quantile_s, tracker.median)
    return None if delay_s is None else query.outstanding[shard][0].sent_at + delay_s


def _schedule(query: states.Query, now: float, out: list) -> None:
    """Schedule the event for the search's next decision."""
    times = [query.deadline if query.deadline > now else now + MIN_RERUN_S]
    for shard, subs in query.outstanding.items():
        due = _hedge_due_at(query, shard)
        if due is not None and len(subs) == 1:
            times.append(max(due, now + dispatch.MIN_SCHEDULE_DELAY_S))
    median_s = query.service.search_latency.read()
    recheck_s = None if median_s is None else query.service.wait.recheck_after_s(median_s)
    if recheck_s is not None and query.arrived_at + recheck_s > now:
        times.append(query.arrived_at + recheck_s)
    out.append(effect.ScheduleEvent(min(times), event.SearchDue(query.number)))


def _finish_if_done(state: states.State, query: states.Query, now: float, out: list) -> bool:
    if query.number not in state.queries:
        return True
    if query.outstanding or query.waiting:
        spec = query.service.spec
        coverage = len(query.answered) / len(query.route.shards)
        median_s = query.service.search_latency.read()
        elapsed_s = now - query.arrived_at
        wait = query.service.wait
        if median_s is None:
            return False
        if not wait.is_enough(coverage, spec.enough_coverage, elapsed_s, median_s):
            return False
    _finish(state, query, now, out)
    return True


def _finish(state: states.State, query: states.Query, now: float, out: list) -> None:
    """Answer with the shards received so far; refuse if too few or past the caller's deadline."""
    _close(state, query, now)
    for shard in query.waiting:
        query.missing[shard] = Availability.FULL.value
    total = len(query.route.shards)
    query.service.search_latency.record(now - query.arrived_at)
    if len(query.answered) < total:
        state.counters["answers_incomplete"] += 1
    if now >= query.caller_deadline and query.service.wait.enforces_deadline:
        state.counters["refused_deadline_exceeded"] += 1
        detail = "this process was paused past the deadline"
        refusal = problem.Problem(problem.Kind.DEADLINE_EXCEEDED, detail, problem.Execution.UNKNOWN)
        out.append(effect.Refuse(query.number, refusal))
        return
    if len(query.answered) < query.service.spec.least_coverage * total:
        state.counters["refused_coverage_too_low"] += 1
        detail = f"{len(query.answered)} of {total} shards answered"
        refusal = problem.Problem(problem.Kind.COVERAGE_TOO_LOW, detail, problem.Execution.UNKNOWN)
        out.append(effect.Refuse(query.number, refusal))
        return
    out.append(effect.AnswerSearch(query.number, answer.merge(query)))


def _close(state: states.State, query: states.Query, now: float) -> None:
    del state.queries[query.number]
    query.service.in_flight -= 1
    for subs in query.outstanding.values():
        dispatch.abandon(state, subs, now)
