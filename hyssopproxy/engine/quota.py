"""Limits the requests of each organisation, over all daemons together.

Handles organisations that send far more than their quota through many daemons, and the loss of any
of them: every request is admitted with a credit of the organisation's owner (`tenure`), which keeps
the token bucket (`ledger`), or from some daemon's part of the amount by which the limit may be
exceeded. While the bucket is well filled, daemons hold credits in advance and need no round trip.
Otherwise a request waits for the owner's answer. One question per organisation is in flight; the
requests that arrive meanwhile are in the next one.
"""

import collections
import enum
import math

from hyssopproxy.engine import answer
from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import ledger
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states
from hyssopproxy.engine import tenure

ANSWER_TIMEOUT_S = 0.025  # a round trip takes up to 9 ms; the rest is for a busy VM
# Longest time until the last daemon is asked; its silence is noticed 25 ms later. The sum is a
# quarter of an objective of 0.25 s.
MAX_WAIT_S = 0.036
MAX_ASKS = 2  # of one daemon for the same requests: in its turn, and when another names it
UNREACHABLE_S = 0.25  # after everybody has been asked in vain, nobody is asked for this long
NO_OWNER_RETRY_S = 0.5  # told to callers then; a successor takes seconds, others may do
SPARE_RETRY_S = 1.0  # until credits in advance are asked for again that were not granted
REPORT_TIMEOUT_S = 0.5  # a report without an answer is repeated after this long
MAX_SPARE = 8  # credits held in advance
SPARE_S = 0.25  # credits are held for the requests of this time: a report's tick and round trips
IDLE_S = 120.0  # credits are returned after this time without a request
INTERVAL_WEIGHT = 0.2  # of the latest interval in the moving average
# A new owner's bucket is empty; for this long it admits from the uncertain amount besides.
NEW_OWNER_S = 10.0
ITEMS_PER_DATAGRAM = 25  # 40 bytes each; keeps a datagram under 1,400 bytes
MAX_PENDING = 600  # requests that wait for credits, as many as may be in progress
# A later answer is not used: its credits were charged when they were granted, and would be used in
# a later window. It is as long as a question waits, a frozen process gets older ones.
MAX_ANSWER_AGE_S = 0.1
DEMAND_S = 1.0  # time over which the demand is measured while nobody grants the full rate
BURST_FACTOR = 1.3  # demand over the rate that is within the variation of that time
MIN_RETRY_S = 0.1  # told to callers that are refused


class Decision(enum.Enum):
    """Whether an organisation's quota allows a request."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"  # the request continues when another daemon has answered


def decide(state: states.State, admission: states.Admission, now: float, out: list) -> Decision:
    """Return whether the quota allows a request; a pending one is admitted or refused later."""
    owner = admission.query.organisation
    if owner is None or not owner.has_quota:
        return Decision.ADMITTED
    purse = _find_purse(state, owner, admission.query.version)
    _record_request(purse, now)
    if not purse.pending and purse.credits(now) > 0:
        _use_credit(state, purse, now, out)
        return Decision.ADMITTED
    if now < purse.unreachable_until:
        _refuse(state, purse, admission, "no_owner", NO_OWNER_RETRY_S, now, out)
        return Decision.REFUSED
    if len(state.quota.waiting) >= MAX_PENDING:
        answer.refuse_new(state, admission.arrived, model.Refusal.OVERLOADED, now, out)
        return Decision.REFUSED
    purse.pending.append(admission)
    state.quota.waiting[admission.query.number] = purse
    if not purse.ask_no or purse.is_report:  # a report in flight may get lost
        _start_asking(state, purse, now, out)
    if admission in state.quota.ready:  # this daemon has granted it
        state.quota.ready.remove(admission)
        return Decision.ADMITTED
    is_pending = admission.query.number in state.quota.waiting
    return Decision.PENDING if is_pending else Decision.REFUSED


def _find_purse(state: states.State, owner: model.Organisation, version: int) -> ledger.Purse:
    purses = state.quota.purses
    number = ledger.identify(owner.name)
    purse = purses.get(number)
    if purse is None:
        limit = ledger.Limit(version, owner.rate_per_s, owner.burst)
        purse = purses[number] = ledger.Purse(number, owner.name, limit)
    elif version > purse.limit.version:
        is_same = (owner.rate_per_s, owner.burst) == (purse.limit.rate_per_s, purse.limit.burst)
        purse.limit = ledger.Limit(version, owner.rate_per_s, owner.burst)
        if not is_same:
            purse.granted = purse.used
            purse.ask_no = 0  # an answer to it would be of the earlier limit
            purse.is_reported = False
    return purse


def _record_request(purse: ledger.Purse, now: float) -> None:
    interval_s = min(IDLE_S, now - purse.last_request_at)
    purse.interval_s += INTERVAL_WEIGHT * (interval_s - purse.interval_s)
    purse.last_request_at = now


def _use_credit(state: states.State, purse: ledger.Purse, now: float, out: list) -> None:
    purse.used += 1
    purse.is_reported = False
    state.counters["quota_admitted_at_once"] += 1
    if purse.credits(now) == 0 and not purse.ask_no and purse.owner_ip:
        purse.is_reported = False
        _report(state, [purse], purse.owner_ip, now, out)


def _spare(purse: ledger.Purse, now: float) -> int:
    """Return how many credits a daemon should hold in advance."""
    if now - purse.last_request_at > IDLE_S:
        return 0
    return min(MAX_SPARE, 1 + int(SPARE_S / max(purse.interval_s, 1e-3)))


def _make_item(purse: ledger.Purse, now: float) -> datagram.QuotaItem:
    purse.asked_for = len(purse.pending)
    limit = purse.limit
    return datagram.QuotaItem(
        purse.organisation,
        purse.used,
        purse.credits(now),
        purse.asked_for,
        _spare(purse, now),
        limit.version,
        limit.rate_per_s,
        limit.burst,
    )


def _start_asking(state: states.State, purse: ledger.Purse, now: float, out: list) -> None:
    purse.tried.clear()
    purse.waiting_since = now
    _ask_next(state, purse, now, out, purse.owner_ip)


def _ask_next(
    state: states.State, purse: ledger.Purse, now: float, out: list, named: str = ""
) -> None:
    """Ask the daemon that is named as the owner, or the next in the order; at the end, refuse."""
    candidates = tenure.find_candidates(state, purse.organisation, now)
    chosen = ""
    if now - purse.waiting_since <= MAX_WAIT_S:
        may_ask_named = named in candidates and purse.tried[named] < MAX_ASKS
        if may_ask_named and named not in state.quota.suspects:
            chosen = named
        else:
            chosen = next((ip for ip in candidates if not purse.tried[ip]), "")
            if not chosen and may_ask_named:
                chosen = named
    if not chosen:
        _refuse_pending(state, purse, now, out)
        return
    purse.tried[chosen] += 1
    purse.is_report = False
    _send_items(state, chosen, [purse], now, out)
    if chosen != state.settings.ip and purse.ask_no:
        due = event.QuotaDue(purse.organisation, purse.ask_no)
        out.append(effect.ScheduleEvent(now + ANSWER_TIMEOUT_S, due))


def _refuse_pending(state: states.State, purse: ledger.Purse, now: float, out: list) -> None:
    purse.ask_no = 0
    purse.is_reported = False
    purse.unreachable_until = now + UNREACHABLE_S
    state.counters["quota_owner_silent"] += 1
    while purse.pending:
        admission = _take_pending(state, purse)
        _refuse(state, purse, admission, "no_owner", NO_OWNER_RETRY_S, now, out)


def _report(
    state: states.State, purses: list[ledger.Purse], owner: str, now: float, out: list
) -> None:
    for purse in purses:
        purse.is_report = True
    _send_items(state, owner, purses, now, out)


def _send_items(
    state: states.State, owner: str, purses: list[ledger.Purse], now: float, out: list
) -> None:
    ask_no = state.next_number()
    for purse in purses:
        purse.ask_no = ask_no
        purse.asked_ip = owner
        purse.asked_at = now
        purse.is_reported = True
    items = tuple(_make_item(purse, now) for purse in purses)
    ask = datagram.QuotaAsk(state.settings.ip, state.incarnation, ask_no, items)
    if owner == state.settings.ip:
        _apply_answer(state, _answer(state, ask, now, out), now, out)
    else:
        out.append(effect.SendPeer(owner, ask))
        state.counters["quota_asks_sent"] += 1


def handle_ask(
    state: states.State, received: event.QuotaAskReceived, now: float, out: list
) -> None:
    """Answer another daemon that asks for credits."""
    reply = _answer(state, received.message, now, out)
    if reply.items:
        out.append(effect.SendPeer(received.message.ip, reply))


def _answer(
    state: states.State, ask: datagram.QuotaAsk, now: float, out: list
) -> datagram.QuotaAnswer:
    grants = []
    for item in ask.items:
        if not tenure.is_owner(state, item.organisation, now):
            owner = tenure.find_owner(state, item.organisation, now) or "?"
            pooled = _use_pool(state, item, item.wanted, now)
            grants.append(datagram.QuotaGrant(item.organisation, 0, 0, owner, pooled))
            continue
        account = state.quota.accounts[item.organisation]
        if item.rate_per_s > 0.0:
            limit = ledger.Limit(item.version, item.rate_per_s, item.burst)
            account.set_limit(limit, now)
        account.refill(now)
        pooled = 0
        holder = account.holders.get(ask.ip)
        is_repeated = (
            holder is not None
            and holder.incarnation == ask.incarnation
            and holder.ask_no == ask.ask_no
        )
        if not is_repeated:
            holder = account.settle(ask.ip, ask.incarnation, ask.ask_no, item.used, item.held)
            if holder is None:
                continue  # late, its sender has asked again since
            denied = account.grant(holder, item.wanted, item.spare, now)
            state.counters["quota_denied"] += denied
            if denied and now < account.started_at + NEW_OWNER_S:
                pooled = _use_pool(state, item, denied, now)
        retry_ms = math.ceil(holder.retry_after_s * 1000)
        grants.append(datagram.QuotaGrant(item.organisation, holder.granted, retry_ms, "", pooled))
    return datagram.QuotaAnswer(state.settings.ip, ask.ask_no, tuple(grants))


def _use_pool(state: states.State, item: datagram.QuotaItem, wanted: int, now: float) -> int:
    """Admit requests without the full rate; return how many.

    They are of this daemon's part of the uncertain amount. An organisation whose demand here is
    within its rate, in proportion to the part of the fleet that is seen, cannot exceed its limit,
    and may use that.
    """
    if not wanted:
        return 0
    settings = state.settings
    limit = ledger.Limit(item.version, item.rate_per_s, item.burst)
    owner = state.quota.organisations.get(item.organisation)
    if owner is not None and state.quota.version >= item.version:
        limit = ledger.Limit(state.quota.version, owner.rate_per_s, owner.burst)
    uncertain = limit.uncertain(
        settings.quota_window_s, settings.quota_overrun, settings.quota_slack
    )
    amount = int(ledger.POOL_PART * uncertain)
    part = tenure.find_pool(state, item.organisation, amount, now)
    pool = state.quota.pools.setdefault(item.organisation, ledger.Pool())
    pool.advance(now, DEMAND_S, settings.quota_window_s + ledger.WINDOW_MARGIN_S)
    pool.asked_at.extend([now] * wanted)
    share = 0.0  # an owner that grants the full rate has no more
    if not tenure.is_owner(state, item.organisation, now):
        share = tenure.find_share(state, item.organisation, now)
    if len(pool.asked_at) <= BURST_FACTOR * share * limit.rate_per_s * DEMAND_S:
        part = max(part, int(share * limit.rate_per_s * settings.quota_window_s))
    count = max(0, min(wanted, part - len(pool.used_at)))
    pool.used_at.extend([now] * count)
    state.counters["quota_pooled"] += count
    return count


def handle_answer(
    state: states.State, received: event.QuotaAnswerReceived, now: float, out: list
) -> None:
    """Use the credits that an owner has granted."""
    _apply_answer(state, received.message, now, out)


def _apply_answer(
    state: states.State, message: datagram.QuotaAnswer, now: float, out: list
) -> None:
    tenure.record_answer(state, message.ip)
    for grant in message.items:
        purse = state.quota.purses.get(grant.organisation)
        if purse is None or not purse.ask_no or purse.ask_no != message.ask_no:
            continue
        if message.ip != purse.asked_ip:
            continue
        purse.ask_no = 0
        if now - purse.asked_at > MAX_ANSWER_AGE_S:
            purse.is_reported = False
            if purse.pending:
                _start_asking(state, purse, now, out)
        elif grant.owner:
            _handle_not_owner(state, purse, grant, now, out)
        else:
            purse.owner_ip = message.ip
            purse.granted = grant.granted
            purse.expires_at = purse.asked_at + ledger.CREDIT_TTL_S
            purse.owner_heard_at = now
            purse.unreachable_until = 0.0
            _admit_pooled(state, purse, grant.pooled)
            _admit_pending(state, purse, grant.retry_ms / 1000, now, out)
            if not purse.ask_no and purse.credits(now) == 0 and _spare(purse, now):
                purse.is_reported = False  # asks again, as the bucket may be fuller by then
                purse.next_report_at = now + max(SPARE_RETRY_S, 0.25 * purse.interval_s)


def _admit_pending(
    state: states.State, purse: ledger.Purse, retry_after_s: float, now: float, out: list
) -> None:
    """Admit waiting requests with credits, refuse those that got none, ask for later ones."""
    asked_for = purse.asked_for
    while purse.pending and purse.credits(now) > 0:
        purse.used += 1
        purse.is_reported = False
        asked_for -= 1
        state.quota.ready.append(_take_pending(state, purse))
        state.counters["quota_admitted_by_owner"] += 1
    for _ in range(max(0, min(asked_for, len(purse.pending)))):
        _refuse(state, purse, _take_pending(state, purse), "limited", retry_after_s, now, out)
    if purse.pending:
        _start_asking(state, purse, now, out)


def _take_pending(state: states.State, purse: ledger.Purse) -> states.Admission:
    admission = purse.pending.popleft()
    state.quota.waiting.pop(admission.query.number, None)
    return admission


def _handle_not_owner(
    state: states.State, purse: ledger.Purse, grant: datagram.QuotaGrant, now: float, out: list
) -> None:
    """Admit what another daemon admits without being the owner, and ask the one it names."""
    purse.owner_ip = "" if grant.owner == purse.asked_ip else grant.owner
    if purse.is_report:
        purse.is_reported = False
        purse.next_report_at = now + UNREACHABLE_S
    _admit_pooled(state, purse, grant.pooled)
    if purse.pending:
        _ask_next(state, purse, now, out, grant.owner)


def _admit_pooled(state: states.State, purse: ledger.Purse, pooled: int) -> None:
    for _ in range(min(pooled, purse.asked_for, len(purse.pending))):
        purse.alone += 1
        purse.asked_for -= 1
        state.quota.ready.append(_take_pending(state, purse))
        state.counters["quota_admitted_alone"] += 1


def handle_due(state: states.State, due: event.QuotaDue, now: float, out: list) -> None:
    """Ask the next daemon, since one has not answered."""
    purse = state.quota.purses.get(due.organisation)
    if purse is None or not purse.ask_no or purse.ask_no != due.ask_no:
        return
    tenure.record_silence(state, purse.asked_ip, now)
    purse.ask_no = 0
    purse.is_reported = False
    if purse.owner_ip == purse.asked_ip:
        purse.owner_ip = ""
    if purse.pending:
        _ask_next(state, purse, now, out)


def _refuse(
    state: states.State,
    purse: ledger.Purse,
    admission: states.Admission,
    mode: str,
    retry_after_s: float,
    now: float,
    out: list,
) -> None:
    purse.refused += 1
    jitter = 1.0 + 0.5 * state.rng.random()
    details = {
        "organisation": purse.name,
        "rate_per_s": purse.limit.rate_per_s,
        "burst": purse.limit.burst,
        "limit_version": purse.limit.version,
        "used_here": purse.used,
        "mode": mode,
        "asked": purse.asked_ip,
        "owner_age_s": round(now - purse.owner_heard_at, 2) if purse.expires_at else None,
    }
    answer.refuse_new(
        state,
        admission.arrived,
        model.Refusal.OVER_QUOTA,
        now,
        out,
        min_retry_s=max(MIN_RETRY_S, retry_after_s) * jitter,
        details=details,
    )


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Report what was used since the last tick, renew credits, and return those not needed."""
    by_owner: dict[str, list[ledger.Purse]] = collections.defaultdict(list)
    for purse in state.quota.purses.values():
        if purse.ask_no:
            if not purse.is_report or now - purse.asked_at < REPORT_TIMEOUT_S:
                continue
            purse.ask_no = 0
            purse.is_reported = False
            purse.owner_ip = ""
        if purse.pending:
            _start_asking(state, purse, now, out)
            continue
        if purse.granted > purse.used:
            is_idle = now - purse.last_request_at > IDLE_S
            left_s = purse.expires_at - now
            if left_s <= 0.0 or (is_idle and left_s < ledger.CREDIT_TTL_S / 2):
                purse.granted = purse.used
                purse.is_reported = False
            elif left_s < ledger.CREDIT_TTL_S / 2:
                purse.is_reported = False
        if purse.is_reported or now < purse.next_report_at:
            continue
        owner = purse.owner_ip
        if not owner:
            owner = tenure.find_owner(state, purse.organisation, now)
        if owner and owner not in state.quota.suspects:
            by_owner[owner].append(purse)
        else:
            purse.next_report_at = now + UNREACHABLE_S
    for owner, purses in by_owner.items():
        for first in range(0, len(purses), ITEMS_PER_DATAGRAM):
            _report(state, purses[first : first + ITEMS_PER_DATAGRAM], owner, now, out)


def forget(state: states.State, query_no: int) -> None:
    """Forget a pending request whose caller has disconnected."""
    purse = state.quota.waiting.pop(query_no, None)
    if purse is not None:
        kept = [admission for admission in purse.pending if admission.query.number != query_no]
        purse.pending = collections.deque(kept)


def has_pending(state: states.State) -> bool:
    """Return whether requests wait for credits."""
    return bool(state.quota.waiting)


def refuse_all(state: states.State, now: float, out: list) -> None:
    """Refuse the requests that wait for credits, since this daemon stops."""
    for purse in state.quota.purses.values():
        while purse.pending:
            arrived = _take_pending(state, purse).arrived
            answer.refuse_new(state, arrived, model.Refusal.STOPPING, now, out)
