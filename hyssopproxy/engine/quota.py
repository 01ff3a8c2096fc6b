"""Limits the requests of each organisation, over all daemons together.

Handles organisations that send far more than their quota through many daemons, and the loss of any
of them: every request is admitted with a credit of the organisation's owner (`tenure`), which keeps
the token bucket (`ledger`), or with this daemon's share of the amount by which the limit may be
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

ANSWER_TIMEOUT_S = (0.03, 0.06)  # per try; a round trip takes up to 9 ms, a busy VM adds some 20 ms
UNREACHABLE_S = 0.5  # an owner that didn't answer is not asked again for this long
UNREACHABLE_RETRY_S = 0.5  # told to callers then; a successor takes seconds, another daemon may do
MAX_SPARE = 8  # credits held in advance
SPARE_S = 0.25  # credits are held for the requests of this time: a report's tick and round trips
IDLE_S = 30.0  # credits are returned after this time without a request
INTERVAL_WEIGHT = 0.2  # of the latest interval in the moving average
ITEMS_PER_DATAGRAM = 25  # 40 bytes each; keeps a datagram under 1,400 bytes
MAX_PENDING = 600  # requests that wait for credits, as many as may be in progress
# A later answer is not used: its credits were charged when they were granted, and would be used in
# a later window. It is as long as a question waits, a frozen process gets older ones.
MAX_ANSWER_AGE_S = 0.1
MIN_RETRY_S = 0.1  # told to callers that are refused
SHOWN_ORGANISATIONS = 20  # in metrics; the rest are added up
REST = "other"  # the label of the rest; an organisation of that name is added to it
WINDOW_MARGIN_S = 0.5  # requests may run later than they are admitted by about this


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
        return _decide_alone(state, purse, admission, now, out)
    if len(state.quota.waiting) >= MAX_PENDING:
        answer.refuse_new(state, admission.arrived, model.Refusal.OVERLOADED, now, out)
        return Decision.REFUSED
    purse.pending.append(admission)
    state.quota.waiting[admission.query.number] = purse
    if not purse.ask_no or not purse.tries:  # a report in flight may get lost
        _ask(state, purse, now, out)
    if admission in state.quota.ready:  # this daemon is the owner, or there is none
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
    if purse.credits(now) == 0 and not purse.ask_no and now >= purse.unreachable_until:
        _ask(state, purse, now, out)


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


def _ask(
    state: states.State, purse: ledger.Purse, now: float, out: list, owner: str | None = None
) -> None:
    """Ask the owner for credits; decide without one if there is none."""
    if owner is None:
        owner = tenure.find_owner(state, purse.organisation, now)
    if owner is None:
        owner = tenure.find_first(state, purse.organisation, now)
    if owner is None:
        _decide_pending_alone(state, purse, now, out)
        return
    purse.tries = 1
    _send_items(state, owner, [purse], now, out)
    if owner != state.settings.ip:
        due = event.QuotaDue(purse.organisation, purse.ask_no)
        out.append(effect.ScheduleEvent(now + ANSWER_TIMEOUT_S[0], due))


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
            grants.append(datagram.QuotaGrant(item.organisation, 0, 0, owner))
            continue
        account = state.quota.accounts[item.organisation]
        if item.rate_per_s > 0.0:
            limit = ledger.Limit(item.version, item.rate_per_s, item.burst)
            account.set_limit(limit, now)
        account.refill(now)
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
            state.counters["quota_denied"] += account.grant(holder, item.wanted, item.spare, now)
        retry_ms = math.ceil(holder.retry_after_s * 1000)
        grants.append(datagram.QuotaGrant(item.organisation, holder.granted, retry_ms))
    return datagram.QuotaAnswer(state.settings.ip, ask.ask_no, tuple(grants))


def handle_answer(
    state: states.State, received: event.QuotaAnswerReceived, now: float, out: list
) -> None:
    """Use the credits that an owner has granted."""
    _apply_answer(state, received.message, now, out)


def _apply_answer(
    state: states.State, message: datagram.QuotaAnswer, now: float, out: list
) -> None:
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
                _ask(state, purse, now, out)
            continue
        if grant.owner:
            _handle_not_owner(state, purse, grant.owner, now, out)
            continue
        purse.granted = grant.granted
        purse.expires_at = purse.asked_at + ledger.CREDIT_TTL_S
        purse.owner_heard_at = now
        purse.unreachable_until = 0.0
        _admit_pending(state, purse, grant.retry_ms / 1000, now, out)


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
        _ask(state, purse, now, out)


def _take_pending(state: states.State, purse: ledger.Purse) -> states.Admission:
    admission = purse.pending.popleft()
    state.quota.waiting.pop(admission.query.number, None)
    return admission


def _handle_not_owner(
    state: states.State, purse: ledger.Purse, owner: str, now: float, out: list
) -> None:
    """Ask the owner that another daemon knows, once; without one, decide alone."""
    if owner not in ("?", purse.asked_ip, state.settings.ip) and purse.tries < 2:
        _ask(state, purse, now, out, owner)
        purse.tries = 2
    else:
        _decide_pending_alone(state, purse, now, out)


def handle_due(state: states.State, due: event.QuotaDue, now: float, out: list) -> None:
    """Ask again if there is no answer yet, and then decide alone."""
    purse = state.quota.purses.get(due.organisation)
    if purse is None or not purse.ask_no or purse.ask_no != due.ask_no:
        return
    if purse.tries < len(ANSWER_TIMEOUT_S):
        timeout_s = ANSWER_TIMEOUT_S[purse.tries]
        tries = purse.tries + 1
        owner = tenure.find_owner(state, purse.organisation, now) or purse.asked_ip
        _send_items(state, owner, [purse], now, out)
        purse.tries = tries
        out.append(
            effect.ScheduleEvent(now + timeout_s, event.QuotaDue(due.organisation, purse.ask_no))
        )
        return
    purse.ask_no = 0
    state.counters["quota_owner_silent"] += 1
    _decide_pending_alone(state, purse, now, out)


def _decide_pending_alone(state: states.State, purse: ledger.Purse, now: float, out: list) -> None:
    purse.ask_no = 0
    purse.unreachable_until = now + UNREACHABLE_S
    purse.is_reported = False
    for _ in range(len(purse.pending)):
        admission = _take_pending(state, purse)
        if _decide_alone(state, purse, admission, now, out) is Decision.ADMITTED:
            state.quota.ready.append(admission)


def _decide_alone(
    state: states.State,
    purse: ledger.Purse,
    admission: states.Admission,
    now: float,
    out: list,
) -> Decision:
    """Admit a request with this daemon's share of the uncertain amount, or refuse it."""
    horizon = now - state.settings.quota_window_s - WINDOW_MARGIN_S
    while purse.fallbacks and purse.fallbacks[0] <= horizon:
        purse.fallbacks.popleft()
    if len(purse.fallbacks) < fallback_share(state, purse, now):
        purse.fallbacks.append(now)
        purse.alone += 1
        state.counters["quota_admitted_alone"] += 1
        return Decision.ADMITTED
    _refuse(state, purse, admission, "no_owner", UNREACHABLE_RETRY_S, now, out)
    return Decision.REFUSED


def fallback_share(state: states.State, purse: ledger.Purse, now: float) -> int:
    """Return how many requests this daemon may admit in a window without the owner.

    If there are more daemons than requests, only the first in the organisation's order get one. A
    daemon that has just started may have used its share before.
    """
    settings = state.settings
    if now - state.started_at < settings.quota_window_s + WINDOW_MARGIN_S:
        return 0
    if not state.quota.knows_fleet:
        return 0
    amount = ledger.FALLBACK_PART * purse.limit.uncertain(
        settings.quota_window_s, settings.quota_overrun, settings.quota_slack
    )
    known = tenure.count_fleet(state)
    size = max(state.quota.fleet_size, known)
    if amount >= size:
        return int(amount / size)
    own_score = tenure.score(purse.organisation, settings.ip)
    rank = sum(
        tenure.score(purse.organisation, member.ip) > own_score
        for member in state.members.values()
        if member.has_quota
    )
    rank += size - known  # daemons that this one doesn't know may come before it
    return 1 if rank < int(amount) else 0


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
        "owner": purse.asked_ip,
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
            if purse.tries or now - purse.asked_at < UNREACHABLE_S:
                continue
            purse.ask_no = 0  # a report without an answer
            purse.is_reported = False
        if purse.pending:
            _ask(state, purse, now, out)
            continue
        if now < purse.unreachable_until:
            continue
        if purse.granted > purse.used:
            is_idle = now - purse.last_request_at > IDLE_S
            left_s = purse.expires_at - now
            if left_s <= 0.0 or (is_idle and left_s < ledger.CREDIT_TTL_S / 2):
                purse.granted = purse.used
                purse.is_reported = False
            elif left_s < ledger.CREDIT_TTL_S / 2:
                purse.is_reported = False
        if not purse.is_reported:
            owner = tenure.find_owner(state, purse.organisation, now)
            if owner is not None:
                by_owner[owner].append(purse)
    for owner, purses in by_owner.items():
        for first in range(0, len(purses), ITEMS_PER_DATAGRAM):
            chunk = purses[first : first + ITEMS_PER_DATAGRAM]
            for purse in chunk:
                purse.tries = 0  # nothing waits for the answer
            _send_items(state, owner, chunk, now, out)


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


def summarise(state: states.State, now: float) -> dict[str, dict[str, float]]:
    """Return metrics by organisation, for those with the most requests and the rest as one."""
    purses = sorted(
        state.quota.purses.values(),
        key=lambda purse: purse.used + purse.alone + purse.refused,
        reverse=True,
    )
    metrics: dict[str, dict[str, float]] = {}
    for index, purse in enumerate(purses):
        label = purse.name if index < SHOWN_ORGANISATIONS else REST
        for name, value in (
            ("quota_admitted", purse.used),
            ("quota_admitted_without_owner", purse.alone),
            ("quota_refused", purse.refused),
            ("quota_limit_per_s", purse.limit.rate_per_s),
        ):
            values = metrics.setdefault(name, {})
            values[label] = values.get(label, 0) + value
    owned = sorted(
        (
            (state.quota.organisations[number].name, account)
            for number, account in state.quota.accounts.items()
            if number in state.quota.organisations and tenure.is_owner(state, number, now)
        ),
        key=lambda pair: pair[1].limit.rate_per_s,
        reverse=True,
    )
    for name, account in owned[:SHOWN_ORGANISATIONS]:
        metrics.setdefault("quota_tokens", {})[name] = round(account.available(now), 2)
        metrics.setdefault("quota_credits_out", {})[name] = account.outstanding
    if owned:
        metrics["quota_organisations_owned"] = {"all": len(owned)}
    return metrics
