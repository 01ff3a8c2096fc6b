"""Decides what may be sent to a target: faults, backoff, cold starts, draining and free slots."""

import enum

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import freshness
from hyssopproxy import share
from hyssopproxy import state as states

FAULTS_TO_BACKOFF = 2  # consecutive faults after which a target is backed off
BACKOFF_S = 0.25  # maximum duration of the first backoff; doubles with every further fault
MAX_BACKOFF_S = 10.0
LATENCY_WEIGHT = 0.2  # weight of the newest sample in the short-term average latency
BASELINE_WEIGHT = 0.01  # weight of the newest sample in the long-term average latency
FAULT_WEIGHT = 0.1  # weight of the newest call in the moving average fault rate
SLOW_RATIO = 6.0  # an answer this many times slower than the baseline counts as slow
SLOW_TO_COLD = 8  # consecutive slow answers that indicate a cold start
SHEDS_TO_COLD = 3  # consecutive sheds that indicate a cold start
# After a peer reported a target's cold start, further reports are ignored for this long.
COLD_REPORT_HOLDOFF_S = 2.0


class Availability(enum.Enum):
    """Whether a leaf may get a request now; the values are the reasons given to callers."""

    AVAILABLE = "room"
    FULL = "overloaded"
    COLD = "cold"
    BACKED_OFF = "backed_off"
    DRAINING = "draining"
    DOMAIN_OUT = "failure_domain_out"
    NO_CONTACT = "no_fresh_word"


def check_leaf(state: states.State, leaf: states.Leaf, now: float) -> Availability:
    """Return whether the leaf may get one more request, and if not, why."""
    target = leaf.target
    availability = check_target(state, target, now)
    if availability is not Availability.AVAILABLE:
        return availability
    if target.is_cold:
        return _check_cold(state, target, now)
    if target.requests >= connection_share(state, target):
        return Availability.FULL
    return Availability.FULL if leaf.in_flight >= permits(state, leaf) else Availability.AVAILABLE


def check_target(state: states.State, target: states.Target, now: float) -> Availability:
    """Return whether the target may get requests, regardless of its free slots."""
    domain = target.spec.failure_domain
    if domain in state.config.domains_out:
        return Availability.DOMAIN_OUT
    if target.spec.leaving or target.is_draining:
        return Availability.DRAINING
    if target.consecutive_faults >= FAULTS_TO_BACKOFF and (
        now < target.backoff_until or target.requests
    ):
        return Availability.BACKED_OFF
    if domain != state.identity.failure_domain and not freshness.has_recent_contact(
        state, domain, now
    ):
        return Availability.NO_CONTACT
    return Availability.AVAILABLE


def connection_share(state: states.State, target: states.Target) -> int:
    """Return this daemon's share of the target's connection limit."""
    return max(1, target.spec.connections * target.spec.leaves // state.sharing_vms)


def permits(state: states.State, leaf: states.Leaf) -> int:
    """Return how many sub-searches this daemon may have in flight at a warm leaf."""
    return max(1, min(leaf.target.spec.slots // state.sharing_vms, int(leaf.limit.value)))


def cold_permits(state: states.State, target: states.Target, now: float) -> int:
    """Return how many sub-searches this daemon may have in flight at a cold target."""
    age = 0.0 if target.cold_since is None else now - target.cold_since
    fraction = target.service.spec.cold_start.fraction(age)
    total = int(fraction * target.spec.slots * target.spec.leaves)
    return share.strict_share(state, max(1, total), target.spec.address, now)


def _check_cold(state: states.State, target: states.Target, now: float) -> Availability:
    allowed = cold_permits(state, target, now)
    in_flight = sum(leaf.in_flight for leaf in target.leaves)
    if allowed == 0:
        return Availability.COLD
    return Availability.AVAILABLE if in_flight < allowed else Availability.FULL


def estimate_wait_s(state: states.State, leaf: states.Leaf, now: float) -> float:
    """Return how long one more request would wait for a free slot at the leaf, in seconds."""
    latency_s = max(leaf.latency_s, 0.001)
    allowed = cold_permits(state, leaf.target, now) if leaf.target.is_cold else 0
    allowed = allowed or permits(state, leaf)
    return (len(leaf.waiting) + 1) * latency_s / allowed


def record_answer(
    state: states.State, sub: states.SubSearch, now: float, out: list[effect.Log]
) -> None:
    """Record a good answer of a leaf."""
    leaf = sub.leaf
    latency_s = now - sub.sent_at
    _record_latency(leaf, latency_s)
    leaf.fault_rate *= 1.0 - FAULT_WEIGHT
    leaf.limit.record_answer(latency_s, leaf.in_flight)
    record_reply(leaf.target, sub.sent_at, now)
    if leaf.consecutive_slow_answers >= SLOW_TO_COLD:
        mark_cold(state, leaf.target, "slow", now, out)


def record_reply(target: states.Target, sent_at: float, now: float) -> None:
    """Record any good reply: it resets the faults and begins the ramp of a cold start."""
    target.consecutive_sheds = 0
    if sent_at > target.backed_off_at:
        target.consecutive_faults = 0
    if target.is_cold and target.cold_since is None:
        target.cold_since = now


def _record_latency(leaf: states.Leaf, latency_s: float) -> None:
    if leaf.baseline_s == 0.0:
        leaf.latency_s = leaf.baseline_s = latency_s
        return
    leaf.consecutive_slow_answers = (
        leaf.consecutive_slow_answers + 1 if latency_s > SLOW_RATIO * leaf.baseline_s else 0
    )
    leaf.latency_s += (latency_s - leaf.latency_s) * LATENCY_WEIGHT
    leaf.baseline_s += (latency_s - leaf.baseline_s) * BASELINE_WEIGHT


def record_overdue(leaf: states.Leaf, elapsed_s: float) -> None:
    """Record how long an abandoned sub-search was unanswered, for example until its hedge won.

    Its latency is at least this long, so it can only raise the average.
    """
    if elapsed_s > leaf.latency_s:
        leaf.latency_s += (elapsed_s - leaf.latency_s) * LATENCY_WEIGHT


def record_shed(state: states.State, leaf: states.Leaf, now: float, out: list) -> None:
    """Record that the target refused a request because of load, which is not a fault."""
    leaf.limit.record_shed()
    leaf.target.consecutive_sheds += 1
    if leaf.target.consecutive_sheds >= SHEDS_TO_COLD:
        leaf.target.consecutive_sheds = 0
        mark_cold(state, leaf.target, "shed", now, out)


def record_failure(
    state: states.State,
    target: states.Target,
    failure: event.Failure,
    sent_at: float,
    now: float,
    out: list,
) -> None:
    """Record a failed call; only faults of the target count against it."""
    state.counters[f"target_failure_{failure.value}"] += 1
    if not failure.is_target_fault:
        return
    if failure in (event.Failure.CONNECT, event.Failure.RESET):
        if target.requests == 0 or failure is event.Failure.CONNECT:
            mark_cold(state, target, "connections_lost", now, out)
    for leaf in target.leaves:
        leaf.fault_rate += (1.0 - leaf.fault_rate) * FAULT_WEIGHT
    if sent_at <= target.backed_off_at:
        return  # sent before the backoff began, so the failure gives no new information
    target.consecutive_faults += 1
    if target.consecutive_faults >= FAULTS_TO_BACKOFF:
        _back_off(state, target, now, out)


def _back_off(state: states.State, target: states.Target, now: float, out: list) -> None:
    doublings = min(target.consecutive_faults - FAULTS_TO_BACKOFF, 10)
    max_delay_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**doublings)
    target.backed_off_at = now
    target.backoff_until = now + max_delay_s * (0.5 + 0.5 * state.rng.random())
    if target.consecutive_faults == FAULTS_TO_BACKOFF:
        out.append(effect.Log("target_backed_off", {"target": target.spec.address}))


def record_state(
    state: states.State, target: states.Target, reported: event.TargetState, now: float, out: list
) -> None:
    """Record the state that a target reports; "warm" alone does not end a cold start."""
    if reported is event.TargetState.DRAINING and not target.is_draining:
        target.is_draining = True
        out.append(effect.Log("target_draining", {"target": target.spec.address}))
    elif reported is event.TargetState.COLD and not target.is_cold:
        mark_cold(state, target, "said", now, out)


def record_status(
    state: states.State, target: states.Target, reported: event.TargetState | None, now: float, out
) -> None:
    """Record the result of a status probe.

    A target that was draining and now accepts requests has restarted, so it is cold. A target that
    is backed off and answers gets one request as a trial, so that no backoff outlasts its cause by
    much; if that fails too, the backoff continues where it was.
    """
    if reported is None or reported is event.TargetState.DRAINING:
        return
    target.backoff_until = min(target.backoff_until, now)
    if not target.is_draining:
        if target.is_cold and target.cold_since is None:
            target.cold_since = now  # begins the ramp although this daemon sent no requests yet
        return
    target.is_draining = False
    out.append(effect.Log("target_back", {"target": target.spec.address}))
    mark_cold(state, target, "back", now, out)


def mark_cold(
    state: states.State, target: states.Target, reason: str, now: float, out: list
) -> None:
    """Set the target to the beginning of its cold-start ramp."""
    was_cold = target.is_cold
    target.is_cold = True
    target.cold_since = None
    for leaf in target.leaves:
        leaf.limit.reset()
        leaf.consecutive_slow_answers = 0
    if was_cold:
        return
    state.counters["target_cold"] += 1
    out.append(effect.Log("target_cold", {"target": target.spec.address, "reason": reason}))
    if reason != "peer":
        state.cold_reports.append(target.spec.address)
        state.next_ping_at = states.NEVER  # reports it to peers at the next tick


def end_cold_start(target: states.Target, now: float, out: list) -> None:
    """End the target's cold start if its ramp is complete."""
    if target.cold_since is None or not target.is_cold:
        return
    if now - target.cold_since < target.service.spec.cold_start.length_s:
        return
    target.is_cold = False
    target.cold_since = None
    for leaf in target.leaves:
        leaf.baseline_s = 0.0
    out.append(effect.Log("target_warm", {"target": target.spec.address}))


def find_probe(state: states.State, leaves: list[states.Leaf], now: float) -> states.Leaf | None:
    """Return the leaf to send a probe request to when every replica is backed off."""
    idle = [leaf for leaf in leaves if leaf.target.requests == 0 and _may_probe(state, leaf, now)]
    return min(idle, key=lambda leaf: leaf.target.backoff_until, default=None)


def _may_probe(state: states.State, leaf: states.Leaf, now: float) -> bool:
    if not leaf.target.is_cold:
        return True
    return _check_cold(state, leaf.target, now) is Availability.AVAILABLE
