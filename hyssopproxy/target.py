"""What may be sent to a target: faults, backoff, cold starts, draining and room."""

import enum

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import freshness
from hyssopproxy import share
from hyssopproxy import state as states

FAULTS_TO_BACKOFF = 2  # consecutive
BACKOFF_S = 0.25
MAX_BACKOFF_S = 10.0
LATENCY_WEIGHT = 0.2  # of the newest answer in the running average
USUAL_WEIGHT = 0.01
FAULT_WEIGHT = 0.1
SLOW_RATIO = 6.0  # answers this many times over the usual hint at a cold start
SLOW_TO_COLD = 8  # consecutive
SHEDS_TO_COLD = 3  # consecutive
COLD_WORD_S = 2.0  # a peer's word of a cold start is of use this long


class Verdict(enum.Enum):
    """Whether a leaf may get a request now; the value is the reason given to callers."""

    ROOM = "room"
    FULL = "overloaded"
    COLD = "cold"
    BACKED_OFF = "backed_off"
    DRAINING = "draining"
    OUT = "failure_domain_out"
    NO_WORD = "no_fresh_word"


def judge(state: states.State, leaf: states.Leaf, now: float) -> Verdict:
    """Return whether the leaf may get one more request."""
    target = leaf.target
    verdict = judge_target(state, target, now)
    if verdict is not Verdict.ROOM:
        return verdict
    if target.is_cold:
        return _judge_cold(state, target, now)
    if target.requests >= connection_share(state, target):
        return Verdict.FULL
    return Verdict.FULL if leaf.in_flight >= permits(state, leaf) else Verdict.ROOM


def judge_target(state: states.State, target: states.Target, now: float) -> Verdict:
    """Return whether the target may get work at all, apart from its room."""
    domain = target.spec.failure_domain
    if domain in state.config.domains_out:
        return Verdict.OUT
    if target.spec.leaving or target.is_draining:
        return Verdict.DRAINING
    if target.faults >= FAULTS_TO_BACKOFF and (now < target.backoff_until or target.requests):
        return Verdict.BACKED_OFF
    if domain != state.identity.failure_domain and not freshness.has_word(state, domain, now):
        return Verdict.NO_WORD
    return Verdict.ROOM


def connection_share(state: states.State, target: states.Target) -> int:
    """Return this daemon's part of the target's connection cap."""
    return max(1, target.spec.connections * target.spec.leaves // state.sharers)


def permits(state: states.State, leaf: states.Leaf) -> int:
    """Return the sub-searches that this daemon may have in flight at a warm leaf."""
    return max(1, min(leaf.target.spec.slots // state.sharers, int(leaf.limit.value)))


def cold_permits(state: states.State, target: states.Target, now: float) -> int:
    """Return the sub-searches that this daemon may have in flight at a cold target."""
    age = 0.0 if target.cold_since is None else now - target.cold_since
    fraction = target.service.spec.cold_start.fraction(age)
    total = int(fraction * target.spec.slots * target.spec.leaves)
    return share.strict(state, max(1, total), target.spec.address, now)


def _judge_cold(state: states.State, target: states.Target, now: float) -> Verdict:
    allowed = cold_permits(state, target, now)
    busy = sum(leaf.in_flight for leaf in target.leaves)
    if allowed == 0:
        return Verdict.COLD
    return Verdict.ROOM if busy < allowed else Verdict.FULL


def expect_wait_s(state: states.State, leaf: states.Leaf, now: float) -> float:
    """Return how long one more request would wait for room at the leaf, in seconds."""
    usual = max(leaf.latency_s, 0.001)
    allowed = cold_permits(state, leaf.target, now) if leaf.target.is_cold else 0
    allowed = allowed or permits(state, leaf)
    return (len(leaf.waiting) + 1) * usual / allowed


def record_answer(state: states.State, sub: states.Sub, now: float, out: list[effect.Log]) -> None:
    """Take in a good answer of a leaf."""
    leaf = sub.leaf
    latency = now - sub.sent_at
    _observe_latency(leaf, latency)
    leaf.fault_rate *= 1.0 - FAULT_WEIGHT
    leaf.limit.record_answer(latency, leaf.in_flight)
    record_alive(leaf.target, sub.sent_at, now)
    if leaf.slow >= SLOW_TO_COLD:
        set_cold(state, leaf.target, "slow", now, out)


def record_alive(target: states.Target, sent_at: float, now: float) -> None:
    """Take in any good reply: faults end, and the curve of a cold start begins."""
    target.sheds = 0
    if sent_at > target.backed_off_at:
        target.faults = 0
    if target.is_cold and target.cold_since is None:
        target.cold_since = now


def _observe_latency(leaf: states.Leaf, latency_s: float) -> None:
    if leaf.usual_s == 0.0:
        leaf.latency_s = leaf.usual_s = latency_s
        return
    leaf.slow = leaf.slow + 1 if latency_s > SLOW_RATIO * leaf.usual_s else 0
    leaf.latency_s += (latency_s - leaf.latency_s) * LATENCY_WEIGHT
    leaf.usual_s += (latency_s - leaf.usual_s) * USUAL_WEIGHT


def record_overdue(leaf: states.Leaf, elapsed_s: float) -> None:
    """Take in that a request lost to its hedge after at least this long."""
    if elapsed_s > leaf.latency_s:
        leaf.latency_s += (elapsed_s - leaf.latency_s) * LATENCY_WEIGHT


def record_shed(state: states.State, leaf: states.Leaf, now: float, out: list) -> None:
    """Take in that the target refused for load; this is no fault."""
    leaf.limit.record_shed()
    leaf.target.sheds += 1
    if leaf.target.sheds >= SHEDS_TO_COLD:
        leaf.target.sheds = 0
        set_cold(state, leaf.target, "shed", now, out)


def record_failure(
    state: states.State,
    target: states.Target,
    failure: event.Failure,
    sent_at: float,
    now: float,
    out: list,
) -> None:
    """Take in a failed call; only the target's own faults count."""
    state.counters[f"target_failure_{failure.value}"] += 1
    if not failure.is_target_fault:
        return
    if failure in (event.Failure.CONNECT, event.Failure.RESET):
        if target.requests == 0 or failure is event.Failure.CONNECT:
            set_cold(state, target, "connections_lost", now, out)
    for leaf in target.leaves:
        leaf.fault_rate += (1.0 - leaf.fault_rate) * FAULT_WEIGHT
    if sent_at <= target.backed_off_at:
        return  # sent before the backoff began: it tells nothing new
    target.faults += 1
    if target.faults >= FAULTS_TO_BACKOFF:
        _back_off(state, target, now, out)


def _back_off(state: states.State, target: states.Target, now: float, out: list) -> None:
    doublings = min(target.faults - FAULTS_TO_BACKOFF, 10)
    longest = min(MAX_BACKOFF_S, BACKOFF_S * 2**doublings)
    target.backed_off_at = now
    target.backoff_until = now + longest * (0.5 + 0.5 * state.rng.random())
    if target.faults == FAULTS_TO_BACKOFF:
        out.append(effect.Log("target_backed_off", {"target": target.spec.address}))


def note_state(
    state: states.State, target: states.Target, said: event.TargetState, now: float, out: list
) -> None:
    """Take in what a target says of itself; warm alone ends no cold start."""
    if said is event.TargetState.DRAINING and not target.is_draining:
        target.is_draining = True
        out.append(effect.Log("target_draining", {"target": target.spec.address}))
    elif said is event.TargetState.COLD and not target.is_cold:
        set_cold(state, target, "said", now, out)


def note_status(
    state: states.State, target: states.Target, said: event.TargetState | None, now: float, out
) -> None:
    """Take in a status probe: a live target that was draining has restarted, so it is cold."""
    if said is None or said is event.TargetState.DRAINING:
        return
    if not target.is_draining:
        if target.is_cold and target.cold_since is None:
            target.cold_since = now  # it lives, so its curve begins, though no work came from here
        return
    target.is_draining = False
    out.append(effect.Log("target_back", {"target": target.spec.address}))
    set_cold(state, target, "back", now, out)


def set_cold(
    state: states.State, target: states.Target, reason: str, now: float, out: list
) -> None:
    """Put the target back to the bottom of its cold-start curve."""
    was_cold = target.is_cold
    target.is_cold = True
    target.cold_since = None
    for leaf in target.leaves:
        leaf.limit.fall_back()
        leaf.slow = 0
    if was_cold:
        return
    state.counters["target_cold"] += 1
    out.append(effect.Log("target_cold", {"target": target.spec.address, "reason": reason}))
    if reason != "peer":
        state.cold_news.append(target.spec.address)
        state.next_ping_at = states.NEVER  # the next words go out at once


def end_cold(target: states.Target, now: float, out: list) -> None:
    """End a cold start whose curve is through."""
    if target.cold_since is None or not target.is_cold:
        return
    if now - target.cold_since < target.service.spec.cold_start.length_s:
        return
    target.is_cold = False
    target.cold_since = None
    for leaf in target.leaves:
        leaf.usual_s = 0.0
    out.append(effect.Log("target_warm", {"target": target.spec.address}))


def find_probe(state: states.State, leaves: list[states.Leaf], now: float) -> states.Leaf | None:
    """Return the backed-off leaf to probe when every replica is backed off."""
    idle = [leaf for leaf in leaves if leaf.target.requests == 0 and _may_probe(state, leaf, now)]
    return min(idle, key=lambda leaf: leaf.target.backoff_until, default=None)


def _may_probe(state: states.State, leaf: states.Leaf, now: float) -> bool:
    if not leaf.target.is_cold:
        return True
    return _judge_cold(state, leaf.target, now) is Verdict.ROOM
