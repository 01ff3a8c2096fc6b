"""Non-idempotent requests: one owner daemon for each key, at most one run."""

import hashlib

import msgspec

from hyssopproxy import admission
from hyssopproxy import dispatch
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import freshness
from hyssopproxy import message
from hyssopproxy import problem
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target
from hyssopproxy import wire

MAX_KEY_CHARS = 200
OUTCOME_TTL_S = 3600.0  # an outcome is remembered this long
MAX_OUTCOMES = 200_000
RUNNING = 0
UNKNOWN = -1
Kind = problem.Kind
Execution = problem.Execution


def handle_arrived(
    state: states.State, arrived: event.ActionArrived, now: float, out: list
) -> None:
    """Run an action here when this daemon owns its key, else pass it on to the owner."""
    refusal = _check(state, arrived, now)
    if refusal is not None:
        _refuse(state, arrived.action_no, arrived.origin, refusal, out)
        return
    spec = state.services[arrived.service].spec
    timeout_s = admission.read_timeout_s(arrived.timeout_ms, spec)
    owner = share.owner(_owner_key(arrived.service, arrived.key), state.memberships[-1].owners)
    action = states.Action(
        number=arrived.action_no,
        service=arrived.service,
        key=arrived.key,
        body=arrived.body,
        deadline=now + timeout_s * (1.0 - admission.MARGIN_FRACTION),
        origin=arrived.origin,
        owner=owner,
    )
    state.actions[action.number] = action
    state.counters["actions"] += 1
    out.append(effect.ScheduleEvent(action.deadline, event.ActionDue(action.number)))
    if owner == state.identity.vm:
        _own(state, action, now, out)
    elif arrived.origin:
        detail = "two VMs differ about the owner of the key"
        _finish(state, action, _unsettled(detail), out)
    else:
        _pass_on(state, action, now, out)


def _check(state: states.State, arrived: event.ActionArrived, now: float) -> problem.Problem | None:
    if state.config is None:
        detail = "no configuration yet"
        return problem.Problem(Kind.NO_CONFIGURATION, detail, Execution.UNKNOWN, 1)
    if not 0 < len(arrived.key) <= MAX_KEY_CHARS:
        return problem.Problem(Kind.NO_KEY, f"Idempotency-Key has {len(arrived.key)} characters")
    service = state.services.get(arrived.service)
    if service is None:
        return problem.Problem(Kind.UNKNOWN_SERVICE, f"no service {arrived.service!r}")
    name = arrived.body.get("action") if isinstance(arrived.body, dict) else None
    if name not in service.spec.non_idempotent:
        known = ", ".join(service.spec.non_idempotent) or "none"
        return problem.Problem(Kind.UNKNOWN_ACTION, f"action = {name!r}; known: {known}")
    timeout_s = admission.read_timeout_s(arrived.timeout_ms, service.spec)
    if isinstance(timeout_s, problem.Problem):
        return timeout_s
    if not state.memberships[-1].owners:
        detail = "the published list of VMs is empty"
        return problem.Problem(Kind.NO_CONFIGURATION, detail, Execution.UNKNOWN, 1)
    return None


def _owner_key(service: str, key: str) -> str:
    return f"{service}\0{key}"


def _pass_on(state: states.State, action: states.Action, now: float, out: list) -> None:
    if freshness.is_silent(state, action.owner, now):
        detail = f"VM {action.owner} owns the key and leaves pings unanswered"
        _finish(state, action, _unreachable(detail), out)
        return
    action.is_forwarded = True
    passed = message.ActionRequest(
        vm=state.identity.vm,
        incarnation=state.identity.incarnation,
        address=state.identity.peer_address,
        action_no=action.number,
        service=action.service,
        key=action.key,
        timeout_ms=max(1, int((action.deadline - now) * 1000)),
        body=msgspec.json.encode(action.body),
    )
    address = state.config.vms[action.owner].peer_address
    out.append(effect.SendPeer(address, passed))


def _unreachable(detail: str) -> problem.Problem:
    return problem.Problem(Kind.OWNER_UNREACHABLE, detail, Execution.UNKNOWN, retry_after_s=5)


def _unsettled(detail: str) -> problem.Problem:
    return problem.Problem(Kind.OWNER_UNSETTLED, detail, Execution.UNKNOWN)


def _own(state: states.State, action: states.Action, now: float, out: list) -> None:
    """Answer a repeat from memory; run a new key only when no other daemon can have run it."""
    fingerprint = _fingerprint(action.body)
    known = state.outcomes.get((action.service, action.key))
    if known is not None:
        _repeat(state, action, known, fingerprint, out)
        return
    refusal = _doubt(state, action, now)
    if refusal is not None:
        if refusal.kind is Kind.OWNER_UNSETTLED:
            # A caller may go on repeating it past the window, so it stays unknown.
            state.outcomes[(action.service, action.key)] = states.Outcome(fingerprint, now, UNKNOWN)
        _finish(state, action, refusal, out)
        return
    state.outcomes[(action.service, action.key)] = states.Outcome(fingerprint, now)
    _try_target(state, action, now, out)


def _fingerprint(body: object) -> bytes:
    return hashlib.blake2b(msgspec.json.encode(body, order="sorted"), digest_size=16).digest()


def _repeat(
    state: states.State, action: states.Action, known: states.Outcome, fingerprint: bytes, out: list
) -> None:
    state.counters["actions_repeated"] += 1
    if known.fingerprint != fingerprint:
        detail = "the key came before with another body; the first one stands"
        _finish(state, action, problem.Problem(Kind.KEY_REUSED, detail), out)
    elif known.status == RUNNING:
        known.waiting.append(action.number)
    elif known.status == UNKNOWN:
        _finish(
            state,
            action,
            _unknown("it is not known whether an earlier request with this key ran"),
            out,
        )
    else:
        _finish(state, action, known, out)


def _unknown(detail: str) -> problem.Problem:
    return problem.Problem(Kind.ACTION_UNKNOWN, detail, Execution.UNKNOWN)


def _doubt(state: states.State, action: states.Action, now: float) -> problem.Problem | None:
    """Return why another daemon may have run this key, or may own it by now."""
    window_s = state.action_window_s
    if now - state.started_at < window_s or now < state.actions_refused_until:
        return _unsettled("the owner of the key started or paused too short a time ago")
    if now - state.config_confirmed_at > window_s * states.LEASE_FRACTION:
        detail = "the owner of the key has no fresh word of the configuration"
        return problem.Problem(Kind.CONFIGURATION_STALE, detail, Execution.UNKNOWN, 5)
    key = _owner_key(action.service, action.key)
    for older, newer in zip(state.memberships[-2::-1], state.memberships[:0:-1], strict=True):
        if now - newer.since >= window_s:
            break
        if not older.owners or share.owner(key, older.owners) != state.identity.vm:
            return _unsettled("the key moved to another VM with the list of VMs")
    return None


def _try_target(state: states.State, action: states.Action, now: float, out: list) -> None:
    """Send to the best target not tried; each one before provably did not run it."""
    service = state.services.get(action.service)
    leaf = None if service is None or now >= action.deadline else _pick(state, service, action, now)
    if leaf is None:
        detail = "no target has room for the action"
        refusal = problem.Problem(Kind.ACTION_SHED, detail, retry_after_s=1)
        _settle(state, action, refusal, out)
        return
    action.target = leaf.target
    action.leaf = leaf
    action.sent_at = now
    action.tried.append(leaf.target)
    leaf.in_flight += 1
    leaf.target.requests += 1
    state.counters["actions_sent"] += 1
    out.append(
        effect.SendAction(
            action_no=action.number,
            address=leaf.target.spec.address,
            key=action.key,
            body=action.body,
            not_after=min(now + dispatch.SEND_GRACE_S, action.deadline),
            timeout_s=action.deadline - now,
        )
    )


def _pick(
    state: states.State, service: states.Service, action: states.Action, now: float
) -> states.Leaf | None:
    near, far = [], []
    for place in service.targets.values():
        leaf = min(place.leaves, key=lambda leaf: leaf.in_flight)
        if (
            place in action.tried
            or target.check_leaf(state, leaf, now) is not target.Availability.AVAILABLE
        ):
            continue
        is_near = place.spec.failure_domain == state.identity.failure_domain
        (near if is_near else far).append(leaf)
    if not near and not far:
        return None
    service.turn += 1
    return service.replica.choose(near or far, service.turn)


def handle_ended(state: states.State, ended: event.ActionEnded, now: float, out: list) -> None:
    """Take in a target's outcome, or try another one when this one provably did not run it."""
    action = state.overdue_actions.pop(ended.action_no, None) or state.actions.get(ended.action_no)
    if action is None or action.target is None:
        return
    place, action.target = action.target, None
    place.requests -= 1
    action.leaf.in_flight -= 1
    dispatch.serve_waiting(state, action.leaf, now)
    if ended.failure is not None:
        target.record_failure(state, place, ended.failure, action.sent_at, now, out)
        if ended.failure.is_not_run:
            _try_target(state, action, now, out)
        else:
            _settle(
                state, action, _unknown(f"the target's reply was lost: {ended.failure.value}"), out
            )
        return
    target.record_state(state, place, ended.target_state, now, out)
    target.record_reply(place, action.sent_at, now)
    if ended.not_run:
        target.record_shed(state, action.leaf, now, out)
        _try_target(state, action, now, out)
        return
    _settle(state, action, states.Outcome(b"", now, ended.status, ended.body), out)


def _settle(
    state: states.State, action: states.Action, result: problem.Problem | states.Outcome, out: list
) -> None:
    """Remember the outcome of a key and answer all that wait for it."""
    name = (action.service, action.key)
    known = state.outcomes[name]
    if isinstance(result, states.Outcome):
        known.status, known.body = result.status, result.body
    elif result.execution is Execution.UNKNOWN:
        known.status = UNKNOWN
    else:
        del state.outcomes[name]
    for number in [action.number, *known.waiting]:
        waiting = state.actions.get(number)
        if waiting is not None:
            _finish(state, waiting, result, out)
    known.waiting = []


def handle_due(state: states.State, due: event.ActionDue, now: float, out: list) -> None:
    """Tell the caller that the outcome is unknown; what still comes is kept for repeats."""
    action = state.actions.get(due.action_no)
    if action is None:
        return
    if action.target is not None:
        state.overdue_actions[action.number] = action
    if action.is_forwarded:
        _finish(state, action, _unreachable(f"VM {action.owner} owns the key and is silent"), out)
    else:
        _finish(state, action, _unknown("no answer by the deadline"), out)


def _finish(
    state: states.State, action: states.Action, result: problem.Problem | states.Outcome, out: list
) -> None:
    del state.actions[action.number]
    if isinstance(result, problem.Problem):
        _refuse(state, action.number, action.origin, result, out)
    elif action.origin:
        reply = message.ActionReply(_origin_number(action.number), result.status, result.body)
        out.append(effect.SendPeer(action.origin, reply))
    else:
        out.append(effect.AnswerAction(action.number, result.status, result.body))


def _refuse(
    state: states.State, number: int | tuple, origin: str, refusal: problem.Problem, out: list
) -> None:
    state.counters[f"refused_{refusal.kind.name.lower()}"] += 1
    state.counters[f"actions_{refusal.execution.value}"] += 1
    if not origin:
        out.append(effect.Refuse(number, refusal))
        return
    reply = message.ActionReply(
        action_no=_origin_number(number),
        status=0,
        kind=refusal.kind.name,
        detail=refusal.detail,
        execution=refusal.execution.value,
    )
    out.append(effect.SendPeer(origin, reply))


def _origin_number(number: int | tuple) -> int:
    return number[-1]


def handle_forwarded(
    state: states.State, passed: message.ActionRequest, now: float, out: list
) -> None:
    """Run an action that another daemon passed on; numbers of daemons are kept apart."""
    try:
        body = msgspec.json.decode(passed.body)
    except wire.DECODE_ERRORS:
        state.counters["peer_messages_garbled"] += 1
        return
    arrived = event.ActionArrived(
        action_no=(passed.vm, passed.incarnation, passed.action_no),
        service=passed.service,
        key=passed.key,
        timeout_ms=str(passed.timeout_ms),
        body=body,
        origin=fleet.find_address(state, passed.vm, passed.address),
    )
    handle_arrived(state, arrived, now, out)


def handle_reply(state: states.State, reply: message.ActionReply, now: float, out: list) -> None:
    """Give the caller what the owner of its key says."""
    action = state.actions.get(reply.action_no)
    if action is None or not action.is_forwarded:
        state.counters["action_replies_late"] += 1
        return
    if reply.kind:
        refusal = problem.Problem(Kind[reply.kind], reply.detail, Execution(reply.execution), 5)
        _finish(state, action, refusal, out)
    else:
        _finish(state, action, states.Outcome(b"", now, reply.status, reply.body), out)


def expire_outcomes(state: states.State, now: float) -> None:
    """Drop outcomes past their time; the oldest stand first."""
    for name, outcome in list(state.outcomes.items())[:1000]:
        is_old = now - outcome.at >= OUTCOME_TTL_S or len(state.outcomes) > MAX_OUTCOMES
        if not is_old or outcome.status == RUNNING:
            break
        del state.outcomes[name]
