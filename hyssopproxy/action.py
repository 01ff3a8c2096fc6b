"""Runs non-idempotent requests at most once; each idempotency key is owned by one daemon."""

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
from hyssopproxy import target as targets
from hyssopproxy import wire

MAX_KEY_CHARS = 200
OUTCOME_TTL_S = 3600.0  # how long an outcome is kept for repeats
MAX_OUTCOMES = 200_000
RUNNING = 0  # value of `Outcome.status` while the action runs
UNKNOWN = -1  # value of `Outcome.status` if it is not known whether the action ran
Kind = problem.Kind
Execution = problem.Execution


def handle_arrived(
    state: states.State, arrived: event.ActionArrived, now: float, out: list
) -> None:
    """Run an action if this daemon owns its key, else forward it to the owner."""
    refusal = _validate(state, arrived, now)
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
        _run_as_owner(state, action, now, out)
    elif arrived.origin:
        detail = "two VMs differ about the owner of the key"
        _finish(state, action, _unsettled(detail), out)
    else:
        _forward(state, action, now, out)


def _validate(
    state: states.State, arrived: event.ActionArrived, now: float
) -> problem.Problem | None:
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
        listed = ", ".join(service.spec.non_idempotent) or "none"
        return problem.Problem(Kind.UNKNOWN_ACTION, f"action = {name!r}; known: {listed}")
    timeout_s = admission.read_timeout_s(arrived.timeout_ms, service.spec)
    if isinstance(timeout_s, problem.Problem):
        return timeout_s
    if not state.memberships[-1].owners:
        detail = "the published list of VMs is empty"
        return problem.Problem(Kind.NO_CONFIGURATION, detail, Execution.UNKNOWN, 1)
    return None


def _owner_key(service: str, key: str) -> str:
    return f"{service}\0{key}"


def _forward(state: states.State, action: states.Action, now: float, out: list) -> None:
    if freshness.is_silent(state, action.owner, now):
        detail = f"VM {action.owner} owns the key and leaves pings unanswered"
        _finish(state, action, _unreachable(detail), out)
        return
    action.is_forwarded = True
    request = message.ActionRequest(
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
    out.append(effect.SendPeer(address, request))


def _unreachable(detail: str) -> problem.Problem:
    return problem.Problem(Kind.OWNER_UNREACHABLE, detail, Execution.UNKNOWN, retry_after_s=5)


def _unsettled(detail: str) -> problem.Problem:
    return problem.Problem(Kind.OWNER_UNSETTLED, detail, Execution.UNKNOWN)


def _run_as_owner(state: states.State, action: states.Action, now: float, out: list) -> None:
    """Answer a repeat from the recorded outcome; run a new key if no other daemon can have run it.

    Requires that this daemon owns the key.
    """
    fingerprint = _fingerprint(action.body)
    outcome = state.outcomes.get((action.service, action.key))
    if outcome is not None:
        _answer_repeat(state, action, outcome, fingerprint, out)
        return
    refusal = _check_ownership(state, action, now)
    if refusal is not None:
        if refusal.kind is Kind.OWNER_UNSETTLED:
            # The caller may still repeat the key after the window, so its outcome stays unknown.
            state.outcomes[(action.service, action.key)] = states.Outcome(fingerprint, now, UNKNOWN)
        _finish(state, action, refusal, out)
        return
    state.outcomes[(action.service, action.key)] = states.Outcome(fingerprint, now)
    _try_target(state, action, now, out)


def _fingerprint(body: object) -> bytes:
    return hashlib.blake2b(msgspec.json.encode(body, order="sorted"), digest_size=16).digest()


def _answer_repeat(
    state: states.State,
    action: states.Action,
    outcome: states.Outcome,
    fingerprint: bytes,
    out: list,
) -> None:
    state.counters["actions_repeated"] += 1
    if outcome.fingerprint != fingerprint:
        detail = "the key came before with another body; the first one stands"
        _finish(state, action, problem.Problem(Kind.KEY_REUSED, detail), out)
    elif outcome.status == RUNNING:
        outcome.waiting.append(action.number)
    elif outcome.status == UNKNOWN:
        _finish(
            state,
            action,
            _unknown("it is not known whether an earlier request with this key ran"),
            out,
        )
    else:
        _finish(state, action, outcome, out)


def _unknown(detail: str) -> problem.Problem:
    return problem.Problem(Kind.ACTION_UNKNOWN, detail, Execution.UNKNOWN)


def _check_ownership(
    state: states.State, action: states.Action, now: float
) -> problem.Problem | None:
    """Return a refusal if another daemon may have run this key or may own it now."""
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
    """Send the action to the best target not yet tried; no target tried so far ran it."""
    service = state.services.get(action.service)
    leaf = None if service is None or now >= action.deadline else _pick(state, service, action, now)
    if leaf is None:
        detail = "no target has room for the action"
        refusal = problem.Problem(Kind.ACTION_SHED, detail, retry_after_s=1)
        _complete(state, action, refusal, out)
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
    for target in service.targets.values():
        leaf = min(target.leaves, key=lambda leaf: leaf.in_flight)
        if (
            target in action.tried
            or targets.check_leaf(state, leaf, now) is not targets.Availability.AVAILABLE
        ):
            continue
        is_near = target.spec.failure_domain == state.identity.failure_domain
        (near if is_near else far).append(leaf)
    if not near and not far:
        return None
    service.turn += 1
    return service.replica.choose(near or far, service.turn)


def handle_ended(state: states.State, ended: event.ActionEnded, now: float, out: list) -> None:
    """Record the outcome, or try another target if this one certainly did not run the action."""
    action = state.overdue_actions.pop(ended.action_no, None) or state.actions.get(ended.action_no)
    if action is None or action.target is None:
        return
    target, action.target = action.target, None
    target.requests -= 1
    action.leaf.in_flight -= 1
    dispatch.serve_waiting(state, action.leaf, now)
    if ended.failure is not None:
        targets.record_failure(state, target, ended.failure, action.sent_at, now, out)
        if ended.failure.is_not_run:
            _try_target(state, action, now, out)
        else:
            _complete(
                state, action, _unknown(f"the target's reply was lost: {ended.failure.value}"), out
            )
        return
    targets.record_state(state, target, ended.target_state, now, out)
    targets.record_reply(target, action.sent_at, now)
    if ended.not_run:
        targets.record_shed(state, action.leaf, now, out)
        _try_target(state, action, now, out)
        return
    _complete(state, action, states.Outcome(b"", now, ended.status, ended.body), out)


def _complete(
    state: states.State, action: states.Action, result: problem.Problem | states.Outcome, out: list
) -> None:
    """Record the outcome of a key and answer every request that waits for it."""
    outcome_key = (action.service, action.key)
    outcome = state.outcomes[outcome_key]
    if isinstance(result, states.Outcome):
        outcome.status, outcome.body = result.status, result.body
    elif result.execution is Execution.UNKNOWN:
        outcome.status = UNKNOWN
    else:
        del state.outcomes[outcome_key]
    for number in [action.number, *outcome.waiting]:
        unanswered = state.actions.get(number)
        if unanswered is not None:
            _finish(state, unanswered, result, out)
    outcome.waiting = []


def handle_due(state: states.State, due: event.ActionDue, now: float, out: list) -> None:
    """Refuse an action that has no outcome at its deadline; record a later outcome for repeats."""
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
    state: states.State, request: message.ActionRequest, now: float, out: list
) -> None:
    """Run an action that another daemon forwarded.

    Its number contains the sender's VM and incarnation, so that numbers of different daemons do not
    collide.
    """
    try:
        body = msgspec.json.decode(request.body)
    except wire.DECODE_ERRORS:
        state.counters["peer_messages_garbled"] += 1
        return
    arrived = event.ActionArrived(
        action_no=(request.vm, request.incarnation, request.action_no),
        service=request.service,
        key=request.key,
        timeout_ms=str(request.timeout_ms),
        body=body,
        origin=fleet.find_address(state, request.vm, request.address),
    )
    handle_arrived(state, arrived, now, out)


def handle_reply(state: states.State, reply: message.ActionReply, now: float, out: list) -> None:
    """Answer the caller with the reply of the key's owner."""
    action = state.actions.get(reply.action_no)
    if action is None or not action.is_forwarded:
        state.counters["action_replies_late"] += 1
        return
    if reply.kind:
        _finish(state, action, _decode_refusal(reply), out)
    else:
        _finish(state, action, states.Outcome(b"", now, reply.status, reply.body), out)


def _decode_refusal(reply: message.ActionReply) -> problem.Problem:
    """Return the refusal of the key's owner; one that this version does not know is unknown."""
    kind = Kind.__members__.get(reply.kind)
    executions = [execution for execution in Execution if execution.value == reply.execution]
    if kind is None or not executions:
        return _unknown(f"the owner of the key answered {reply.kind[:40]!r}: {reply.detail}")
    return problem.Problem(kind, reply.detail, executions[0], 5)


def expire_outcomes(state: states.State, now: float) -> None:
    """Drop the oldest outcomes: those that are expired or in excess of `MAX_OUTCOMES`."""
    for outcome_key, outcome in list(state.outcomes.items())[:1000]:
        is_old = now - outcome.created_at >= OUTCOME_TTL_S or len(state.outcomes) > MAX_OUTCOMES
        if not is_old or outcome.status == RUNNING:
            break
        del state.outcomes[outcome_key]
