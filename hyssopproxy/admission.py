"""Admission control: starts searches or refuses them before anything is sent."""

from hyssopproxy import dispatch
from hyssopproxy import event
from hyssopproxy import model
from hyssopproxy import problem
from hyssopproxy import snapshot
from hyssopproxy import state as states
from hyssopproxy import target as targets

MARGIN_S = 0.004  # minimum time reserved for sending the answer back to the caller
MARGIN_FRACTION = 0.05  # minimum margin as a fraction of the timeout
MAX_MARGIN_FRACTION = 0.4  # maximum margin as a fraction of the timeout
MAX_WAIT_FRACTION = 0.8  # fraction of the remaining time that a shard may wait for a free slot
DOMAIN_OUT_GRACE_S = 10.0  # how long a VM still serves after its failure domain was taken out
OVERLOAD_RETRY_S = 1  # Retry-After of refusals for overload
MAX_DIGITS = 9  # maximum length of a timeout in ms
MAX_LATENESS_FRACTION = 0.1  # a tick late by more than this fraction of the timeout is overload
Availability = targets.Availability


def admit(
    state: states.State, arrived: event.SearchArrived, now: float
) -> states.Query | problem.Problem:
    """Return the search to run, or the reason for its refusal; send nothing."""
    refusal = refuse_by_state(state, now)
    if refusal is not None:
        return refusal
    service = state.services.get(arrived.service)
    if service is None:
        return problem.Problem(problem.Kind.UNKNOWN_SERVICE, f"no service {arrived.service!r}")
    timeout_s = read_timeout_s(arrived.timeout_ms, service.spec)
    if isinstance(timeout_s, problem.Problem):
        return timeout_s
    limit = service.spec.results if arrived.limit is None else arrived.limit
    if type(limit) is not int or not 0 < limit <= service.spec.results:
        detail = f"limit = {limit!r}: give a whole number from 1 to {service.spec.results}"
        return problem.Problem(problem.Kind.BAD_REQUEST, detail)
    if state.tick_late_s > MAX_LATENESS_FRACTION * timeout_s:
        return _overloaded(f"this process is {state.tick_late_s * 1000:.0f} ms behind")
    if service.in_flight >= service.spec.queries_in_flight:
        return _overloaded("too many searches in flight")
    route = snapshot.choose(service, now)
    if route is None:
        return problem.Problem(problem.Kind.NO_SNAPSHOT, "the service has no snapshot")
    margin_s = max(MARGIN_S, MARGIN_FRACTION * timeout_s, state.loop_lag_s)
    return states.Query(
        number=arrived.query_no,
        request_id=arrived.request_id,
        service=service,
        text=arrived.query,
        limit=limit,
        arrived_at=now,
        deadline=now + timeout_s - min(margin_s, MAX_MARGIN_FRACTION * timeout_s),
        caller_deadline=now + timeout_s,
        route=route,
    )


def refuse_by_state(state: states.State, now: float) -> problem.Problem | None:
    """Return the refusal for all searches if this daemon cannot serve any at present."""
    if state.config is None:
        return problem.Problem(
            problem.Kind.NO_CONFIGURATION, "no configuration yet", retry_after_s=1
        )
    if state.domain_out_since is not None and now - state.domain_out_since >= DOMAIN_OUT_GRACE_S:
        detail = f"failure domain {state.identity.failure_domain} is out of service"
        return problem.Problem(problem.Kind.FAILURE_DOMAIN_OUT, detail)
    return None


def read_timeout_s(header: str | None, spec: model.Service) -> float | problem.Problem:
    """Return the caller's timeout in seconds, or the service's default."""
    if header is None:
        return spec.default_ms / 1000
    is_number = header.isascii() and header.isdigit() and len(header) <= MAX_DIGITS
    if is_number and 0 < int(header) <= spec.max_ms:
        return int(header) / 1000
    detail = f"Request-Timeout-Ms = {header[:20]!r}: give a whole number from 1 to {spec.max_ms}"
    return problem.Problem(problem.Kind.BAD_DEADLINE, detail)


def _overloaded(detail: str) -> problem.Problem:
    return problem.Problem(problem.Kind.OVERLOADED, detail, retry_after_s=OVERLOAD_RETRY_S)


def start(state: states.State, query: states.Query, now: float) -> problem.Problem | None:
    """Send or queue every shard; if one would wait too long, send nothing and refuse."""
    limit_s = MAX_WAIT_FRACTION * (query.deadline - now)
    picked = []
    waiting = []
    for shard in query.route.shards:
        leaf, availability = dispatch.pick(state, query, shard, now)
        if leaf is not None:
            leaf.in_flight += 1  # reserves the slot, so that this search's next shards don't use it
            picked.append((shard, leaf))
        elif availability is Availability.FULL:
            waiting.append(shard)
        else:
            query.missing[shard] = availability.value
    for _, leaf in picked:
        leaf.in_flight -= 1
    for shard in waiting:
        wait_s = _estimate_wait_s(state, query, shard, now)
        if wait_s > limit_s:
            return _overloaded(f"shard {shard} would wait {wait_s * 1000:.0f} ms for room")
    if query.missing and not picked and not waiting:
        return _overloaded(f"no target can take work: {next(iter(query.missing.values()))}")
    for shard, leaf in picked:
        dispatch.send(state, query, shard, leaf, now)
    for shard in waiting:
        dispatch.wait(state, query, shard, now)
    return None


def _estimate_wait_s(state: states.State, query: states.Query, shard: str, now: float) -> float:
    leaves = query.route.shards[shard]
    waits = [
        targets.estimate_wait_s(state, leaf, now)
        for leaf in leaves
        if targets.check_leaf(state, leaf, now) is Availability.FULL
    ]
    return min(waits, default=0.0) / max(1, len(waits))
