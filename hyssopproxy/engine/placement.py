"""Which target gets a request, by what this daemon sees at this instant.

Answers stragglers, short pauses, targets that shed, fail or fall silent, failure domains that are
out of reach, and targets in their cold start.
"""

import attrs

from hyssopproxy.engine import datagram
from hyssopproxy.engine import membership
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.engine import reach
from hyssopproxy.engine import stall
from hyssopproxy.engine import state as states

SLOWNESS_WEIGHT = 0.35  # of the newest answer
SLOWNESS_HALF_LIFE_S = 2.5  # an old observation fades, so that slow targets are tried again
FAILURE_WEIGHT = 0.25  # of the newest outcome in a target's failure rate
FAILURE_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 30.0
REPORTED_FAILURE_WEIGHT = 0.12  # of a failure that another daemon met
SLOW_RATIO = 2.5  # a target this slow needs no more reports
FAILING_RATE = 0.2  # nor does one that fails this part
STRAY_S = 1.5  # two late answers within this time are no pause that recurs
LONE_RATIO = 3.0  # one late answer, such as by a lost packet, counts as no slower than this
SILENT_S = 0.12  # a request this long past its usual time is worth telling others
SILENT_RATIO = 4.0  # the same, in usual times
FAILURE_TOLD_S = 0.5  # between two reports of failures of one target
NEW_TARGET_SLOWNESS = 2.0  # a target that has just started is slow for some seconds
BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
SHED_PAUSE_S = 0.08  # a shedding target is left alone this long, doubled for each shed in a row
MAX_SHED_PAUSE_S = 0.6
GONE_GRACE_S = 2.0  # entries that lapsed with the store are back within this time
DRAIN_GRACE_S = 1.0  # a draining target is the last choice this long, and then none

_SOUND, _SHEDDING, _LEAVING, _BACKED_OFF = range(4)  # the lower, the sooner asked


def pick(
    state: states.State, part: states.Part, usual_s: float, now: float, is_hedge: bool = False
) -> states.Target | None:
    """Return the best target for a part, or None when none may be asked.

    Targets that were tried already, and those whose health is in doubt, are taken only when no
    other is left; a hedge never goes to one that leaves.
    """
    best = None
    best_rank: tuple = ()
    for target in state.pools.get(part.pool, {}).values():
        tier = _tier(state, part, target, now)
        if tier is None or (is_hedge and tier == _LEAVING):
            continue
        cost = _cost_s(state, target, usual_s, now)
        rank = (tier, cost, target.last_pick, target.spread)
        if best is None or rank < best_rank:
            best, best_rank = target, rank
    if best is not None:
        reach.record_pick(state, best.entry.failure_domain, now)
        state.picks += 1
        best.last_pick = state.picks
        _take_cold_token(state, best, now)
    return best


def _tier(state: states.State, part: states.Part, target: states.Target, now: float) -> int | None:
    """Return the rank of the target's health, or None for one that may not be asked."""
    entry = target.entry
    if target.is_misdirected:
        return None
    if state.domains_out and entry.failure_domain in state.domains_out.values():
        return None
    if target.attempts and len(target.attempts) >= connection_share(state, target, now):
        return None
    if reach.is_lost(state, entry.failure_domain, now):
        return None
    if target.id in part.tried:
        return None
    if is_cold(target, now) and not _has_cold_token(state, target, now):
        return None
    if target.gone_at is not None:
        return _LEAVING if now - target.gone_at < GONE_GRACE_S else None
    if target.draining_at is not None:
        return _LEAVING if now - target.draining_at < DRAIN_GRACE_S else None
    if now < target.backoff_until:
        return _BACKED_OFF if _may_probe(target, now) else None
    return _SHEDDING if now < target.shed_until else _SOUND


def _may_probe(target: states.Target, now: float) -> bool:
    return not target.attempts and now - target.backed_off_at > BACKOFF_S / 2


def _cost_s(state: states.State, target: states.Target, usual_s: float, now: float) -> float:
    domain = target.entry.failure_domain
    candidate = policy.Candidate(
        is_near=domain == state.settings.failure_domain,
        in_flight=len(target.attempts),
        slots=max(1, target.entry.slots),
        slowness=slowness(target, now),
        overdue_s=overdue_s(target, now, state.recurrence),
        failure_rate=failure_rate(target, now),
        pause_s=target.stalls.delay_s(now, usual_s, state.recurrence),
    )
    return state.policies.placement.cost_s(candidate, usual_s)


def connection_share(state: states.State, target: states.Target, now: float) -> int:
    """Return this daemon's part of the target's connection cap."""
    pool = state.table.pools.get(target.entry.pool) if state.table else None
    cap = pool.max_connections if pool else model.Pool("").max_connections
    return max(1, cap // membership.count_sharers(state, now))


def slowness(target: states.Target, now: float) -> float:
    """Return the target's recent latency against what is usual, faded by its age."""
    if target.slowness <= 1.0:
        return target.slowness
    age = now - target.slowness_at
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)


def overdue_s(target: states.Target, now: float, recurrence: stall.Recurrence) -> float:
    """Return how long the oldest request in flight is past its usual time for no known reason."""
    for attempt in target.attempts.values():
        if now <= attempt.hedge_at or _is_paused(attempt, now, recurrence):
            return 0.0
        return now - attempt.hedge_at
    return 0.0


def _is_paused(attempt: states.Attempt, now: float, recurrence: stall.Recurrence) -> bool:
    """Return whether a pause of the target is why the request has no answer."""
    return attempt.target.stalls.explains(attempt.sent_at, now, attempt.usual_s, recurrence)


def is_cold(target: states.Target, now: float) -> bool:
    """Return whether the target is in its cold start."""
    return now < target.cold_until


def _cold_rate(state: states.State, target: states.Target, now: float) -> float:
    """Return this daemon's part of what the cold target bears, in requests a second."""
    pool = state.table.pools.get(target.entry.pool) if state.table else None
    if pool is None:
        return 0.0
    return pool.cold_per_s / membership.count_sharers(state, now)


def _has_cold_token(state: states.State, target: states.Target, now: float) -> bool:
    rate = _cold_rate(state, target, now)
    if rate <= 0.0:
        return True
    age = min(now - target.cold_tokens_at, 1.0 / rate)
    return target.cold_tokens + age * rate >= 1.0


def _take_cold_token(state: states.State, target: states.Target, now: float) -> None:
    rate = _cold_rate(state, target, now)
    if rate > 0.0 and is_cold(target, now):
        age = min(now - target.cold_tokens_at, 1.0 / rate)
        target.cold_tokens = min(1.0, target.cold_tokens + age * rate) - 1.0
        target.cold_tokens_at = now


def failure_rate(target: states.Target, now: float) -> float:
    """Return the share of recent requests that the target shed or failed, faded by its age."""
    if target.failure_rate == 0.0:
        return 0.0
    return target.failure_rate * 0.5 ** ((now - target.failure_rate_at) / FAILURE_HALF_LIFE_S)


def _count_outcome(
    target: states.Target, is_failure: bool, now: float, weight: float = FAILURE_WEIGHT
) -> None:
    old = failure_rate(target, now)
    target.failure_rate = old + (float(is_failure) - old) * weight
    target.failure_rate_at = now


def record_answer(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Take in a complete answer: the target lives, and this is how fast it is."""
    target = attempt.target
    if attempt.sent_at > target.backed_off_at:
        target.faults = 0
        target.backoff_until = states.NEVER
    target.sheds = 0
    target.shed_until = states.NEVER
    _count_outcome(target, False, now)
    reach.record_answer(state, target.entry.failure_domain, now)
    if median_s > 0.0:
        _record_latency(state, attempt, now, median_s)


def _record_latency(
    state: states.State, attempt: states.Attempt, now: float, median_s: float
) -> None:
    """Learn how fast the target is, and when it pauses; a known pause is no slowness."""
    target = attempt.target
    latency_s = now - attempt.sent_at
    ratio = min(MAX_SLOWNESS, latency_s / median_s)
    if stall.is_stall(latency_s, median_s):
        is_paused = _is_paused(attempt, now, state.recurrence)
        if target.stalls.record(now, state.recurrence):
            tell(state, target, datagram.Sign.LATE, now, ratio)
        if is_paused:
            state.recurrence.record_length(latency_s - median_s)
            state.counters["answers_paused"] += 1
            return
        ratio = _weigh_late(target, ratio, now)
    _observe(target, ratio, now)


def _weigh_late(target: states.Target, ratio: float, now: float) -> float:
    """Return the slowness that a late answer proves, given others that came lately."""
    if target.stalls.count_since(now - STRAY_S) >= 2:
        return ratio
    return min(ratio, LONE_RATIO)


def tell(
    state: states.State,
    target: states.Target,
    sign: datagram.Sign,
    at: float,
    ratio: float = 0.0,
) -> None:
    """Remember what other daemons are to be told."""
    finding = states.Finding(target.id, sign, at, ratio)
    state.findings[target.id, sign] = finding


def record_reported(
    state: states.State, target: states.Target, finding: states.Finding, now: float
) -> bool:
    """Take in what another daemon saw; return whether it is worth passing on."""
    if finding.sign is datagram.Sign.LATE:
        return _record_reported_late(state, target, finding, now)
    if finding.sign is datagram.Sign.SILENT:
        return _observe_reported(target, _weigh_late(target, finding.ratio, now), now)
    was_failing = failure_rate(target, now) >= FAILING_RATE
    _count_outcome(target, True, now, REPORTED_FAILURE_WEIGHT)
    return not was_failing


def _record_reported_late(
    state: states.State, target: states.Target, finding: states.Finding, now: float
) -> bool:
    stalls = target.stalls
    if not stalls.record(finding.at, state.recurrence):
        return False
    if now - finding.at > STRAY_S:
        return True
    is_lone = stalls.count_since(now - STRAY_S) < 2
    if is_lone and finding.at not in stalls.strays:
        return True  # a pause
    return _observe_reported(target, _weigh_late(target, finding.ratio, now), now)


def _observe_reported(target: states.Target, ratio: float, now: float) -> bool:
    """Take in that another daemon found the target slow; return whether that is news."""
    known = slowness(target, now)
    if ratio > known:
        _observe(target, min(MAX_SLOWNESS, ratio), now)
    return known < SLOW_RATIO


def record_overdue(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Take in that a request is past its usual time."""
    if _is_paused(attempt, now, state.recurrence):
        return
    attempt.is_overdue = True
    if attempt.usual_s > 0.0:
        ratio = (now - attempt.sent_at) / attempt.usual_s
        if ratio > slowness(attempt.target, now):
            _observe(attempt.target, min(MAX_SLOWNESS, ratio), now)


def record_silent(state: states.State, attempt: states.Attempt, now: float) -> None:
    """Take in a request that is so late that its target may be out of reach.

    The first requests after a start open connections and are late without that.
    """
    late_s = now - attempt.sent_at - attempt.usual_s
    if late_s < max(SILENT_S, SILENT_RATIO * attempt.usual_s):
        return
    if attempt.usual_s <= 0.0 or _is_paused(attempt, now, state.recurrence):
        return
    attempt.is_silent = True
    reach.record_silence(state, attempt.target.entry.failure_domain, now)
    ratio = min(MAX_SLOWNESS, (now - attempt.sent_at) / attempt.usual_s)
    tell(state, attempt.target, datagram.Sign.SILENT, now, ratio)


def _observe(target: states.Target, ratio: float, now: float) -> None:
    old = slowness(target, now)
    target.slowness = old + (ratio - old) * SLOWNESS_WEIGHT
    target.slowness_at = now


def record_shed(
    state: states.State, target: states.Target, retry_after_s: float, now: float
) -> None:
    """Take in that the target had no room; it is left alone for a moment."""
    _count_failure(state, target, now)
    pause = min(MAX_SHED_PAUSE_S, SHED_PAUSE_S * 2**target.sheds)
    target.sheds = min(target.sheds + 1, 8)
    target.shed_until = now + max(pause, min(retry_after_s, MAX_SHED_PAUSE_S))


def _count_failure(state: states.State, target: states.Target, now: float) -> None:
    _count_outcome(target, True, now)
    if now - target.failure_told_at >= FAILURE_TOLD_S:
        target.failure_told_at = now
        tell(state, target, datagram.Sign.FAILED, now)


def record_fault(
    state: states.State, attempt: states.Attempt, outcome: model.Outcome, now: float
) -> None:
    """Take in a fault of the target; what was sent before a backoff began tells nothing new."""
    target = attempt.target
    if outcome in (model.Outcome.CONNECT, model.Outcome.TIMEOUT):
        reach.record_silence(state, target.entry.failure_domain, now)
    _count_failure(state, target, now)
    if attempt.sent_at <= target.backed_off_at:
        return
    target.faults += 1
    if target.faults >= 2 or outcome is model.Outcome.CONNECT:
        longest = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(target.faults, 6))
        target.backed_off_at = now
        target.backoff_until = now + longest * (0.7 + 0.3 * state.rng.random())


def note_cold(target: states.Target, left_s: float, now: float) -> None:
    """Take in how long the target says it stays cold."""
    target.cold_until = now + left_s if left_s > 0.0 else states.NEVER


def update(target: states.Target, entry: model.Entry, now: float) -> None:
    """Take in a newer word of the same start of a target."""
    target.entry = entry
    target.gone_at = None
    _note_draining(target, now)
    note_cold(target, entry.cold_left_s, now)


def _note_draining(target: states.Target, now: float) -> None:
    if not target.entry.is_draining:
        target.draining_at = None
    elif target.draining_at is None:
        target.draining_at = now


def make(state: states.State, entry: model.Entry, now: float, is_new_start: bool) -> states.Target:
    """Return a target that was seen for the first time."""
    target = states.Target(entry=entry)
    target.spread = state.rng.random()
    target.cold_tokens = state.rng.random()  # spreads the daemons' first requests
    target.cold_tokens_at = now
    _note_draining(target, now)
    note_cold(target, entry.cold_left_s, now)
    if is_new_start:
        target.slowness = NEW_TARGET_SLOWNESS
        target.slowness_at = now
    return target


def is_in_reach(state: states.State, pool: str, now: float) -> bool:
    """Return whether a pool has a target in a failure domain that is in service and in reach."""
    out = state.domains_out.values()
    for target in state.pools.get(pool, {}).values():
        domain = target.entry.failure_domain
        if target.is_misdirected or domain in out:
            continue
        if target.gone_at is not None and now - target.gone_at >= GONE_GRACE_S:
            continue
        if not reach.is_lost(state, domain, now):
            return True
    return False


@attrs.frozen
class Room:
    """Whether a pool can serve at all, and why not."""

    targets: int
    usable: int


def count_room(state: states.State, pool: str, now: float) -> Room:
    """Return how many targets of a pool are known and in service."""
    targets = state.pools.get(pool, {}).values()
    usable = sum(
        target.gone_at is None
        and target.draining_at is None
        and now >= target.backoff_until
        and target.entry.failure_domain not in state.domain_lost_at
        and target.entry.failure_domain not in state.domains_out.values()
        for target in targets
    )
    return Room(len(targets), usable)
