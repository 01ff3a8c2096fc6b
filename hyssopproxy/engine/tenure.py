"""Which daemon owns an organisation's quota: leases that a majority of the fleet confirms.

Handles partitions, frozen and restarted daemons, and member lists that differ: a daemon confirms
one owner of an organisation at a time, and an owner grants nothing unless more than half of the
fleet has confirmed it, counted from the time at which it asked. A daemon that has just started may
have forgotten whom it confirmed, so it confirms nobody for the length of a lease. Each unowned
organisation is claimed by the first live daemon in an order by hash, or the next one later.
"""

import hashlib

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import ledger
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

MIN_LEASE_S = 4.0  # of an owner; as long as a daemon counts as live after its last heartbeat
# Leases of large fleets are longer, which bounds an owner's claims and their answers to some 60
# datagrams a second each.
LEASE_PER_DAEMON_S = 0.04
RENEWAL_FRACTION = 0.4  # of a lease, after which it is renewed; one failed renewal is survived
RESEND_S = 0.25  # until a claim without an answer is sent again; several round trips
MAX_TRIES = 4  # of one claim
CONTEST_S = 0.6  # a claim without a majority after this long is given up
CHECK_INTERVAL_S = 0.25  # between two looks at the claims
SCAN_INTERVAL_S = 0.5  # between two looks for organisations without an owner
SCANNED_PER_TICK = 20  # organisations; each is ranked over all members
RANK_DELAY_S = 0.7  # a daemon claims later by this for each live one before it
# Heartbeats of a seed that are heard before its contact counts: some 2 s while daemons start, in
# which gossip reaches the whole fleet, and 4 s later.
SEED_HEARTBEATS = 6
ORGANISATIONS_PER_CLAIM = 100  # 9 bytes each; keeps a datagram under 1,400 bytes
_MIX = 0x9E3779B97F4A7C15  # odd, from the golden ratio, as in Fibonacci hashing (Knuth)
_MASK = 2**64 - 1
_hashes: dict[str, int] = {}  # by IP address


def _hash_member(ip: str) -> int:
    if len(_hashes) > membership.MAX_MEMBERS:
        _hashes.clear()
    number = _hashes.get(ip)
    if number is None:
        digest = hashlib.blake2b(ip.encode(), digest_size=8).digest()
        number = _hashes[ip] = int.from_bytes(digest, "big")
    return number


def score(organisation: int, ip: str) -> int:
    """Return the rank value of a daemon for an organisation; the same at all daemons."""
    mixed = (organisation ^ _hash_member(ip)) * _MIX & _MASK
    return (mixed ^ mixed >> 29) * _MIX & _MASK


def count_fleet(state: states.State) -> int:
    """Return the number of known daemons that take part; those of older versions do not."""
    return 1 + sum(member.has_quota for member in state.members.values())


def _live_peers(state: states.State, now: float) -> list[states.Member]:
    return [member for member in membership.live_members(state, now) if member.has_quota]


def lease_s(fleet_size: int) -> float:
    """Return the length of an owner's lease."""
    return max(MIN_LEASE_S, LEASE_PER_DAEMON_S * fleet_size)


def may_confirm(state: states.State, now: float) -> bool:
    """Return whether confirmations of an earlier process of this daemon have expired."""
    size = max(state.quota.fleet_size, count_fleet(state))
    return now - state.started_at >= lease_s(size)


def is_owner(state: states.State, organisation: int, now: float) -> bool:
    """Return whether this daemon may grant requests of an organisation."""
    account = state.quota.accounts.get(organisation)
    return account is not None and now < account.lease_until


def find_owner(state: states.State, organisation: int, now: float) -> str | None:
    """Return the IP address of the owner, if this daemon knows one."""
    if is_owner(state, organisation, now):
        return state.settings.ip
    vote = state.quota.votes.get(organisation)
    if vote is None or vote.ip == state.settings.ip or not _is_valid(state, vote, now):
        return None
    return vote.ip


def find_first(state: states.State, organisation: int, now: float) -> str | None:
    """Return the first live daemon in the order of an organisation, other than this one."""
    ips = [member.ip for member in _live_peers(state, now)]
    return max(ips, key=lambda ip: score(organisation, ip), default=None)


def handle_claim(
    state: states.State, received: event.QuotaClaimReceived, now: float, out: list
) -> None:
    """Confirm the sender as the owner of the organisations that have no other owner."""
    claim = received.message
    if claim.ip == state.settings.ip:
        return
    book, votes = state.quota, state.quota.votes
    if claim.known:
        book.fleet_size = max(book.fleet_size, min(claim.known, membership.MAX_MEMBERS))
        book.knows_fleet = True
    if claim.lease_ms == 0:
        for number in claim.organisations:
            vote = votes.get(number)
            if vote is not None and _is_from(vote, claim) and vote.claim_no < claim.claim_no:
                del votes[number]
        return
    until = now + claim.lease_ms / 1000
    is_promise = may_confirm(state, now)
    refused = []
    for number in claim.organisations:
        if not _store_vote(state, number, claim, until, is_promise, now):
            refused.append(number)
    known = max(book.fleet_size, count_fleet(state))
    vote = datagram.QuotaVote(state.settings.ip, claim.claim_no, known, tuple(refused))
    out.append(effect.SendPeer(claim.ip, vote))


def _is_from(vote: ledger.Vote, claim: datagram.QuotaClaim) -> bool:
    return vote.ip == claim.ip and vote.incarnation == claim.incarnation


def _is_valid(state: states.State, vote: ledger.Vote, now: float) -> bool:
    """Return whether the daemon that was confirmed may still be the owner.

    It isn't if another process has its address by now.
    """
    member = state.members.get(vote.ip)
    return vote.until > now and (member is None or member.incarnation <= vote.incarnation)


def _store_vote(
    state: states.State,
    organisation: int,
    claim: datagram.QuotaClaim,
    until: float,
    is_promise: bool,
    now: float,
) -> bool:
    """Record the claimant as the owner unless another one is; return whether it is confirmed."""
    votes = state.quota.votes
    vote = votes.get(organisation)
    if vote is not None and _is_valid(state, vote, now):
        # A newer process on the same VM replaces the earlier one, which has ended.
        if vote.ip != claim.ip or vote.incarnation > claim.incarnation:
            if vote.is_promise or not is_promise:
                return False
        elif vote.incarnation == claim.incarnation and claim.claim_no < vote.claim_no:
            return False
        elif vote.is_promise:
            until = max(until, vote.until)
    elif vote is None and organisation not in state.quota.organisations:
        if len(votes) >= 2 * len(state.quota.organisations) + 100:
            return False  # bounds the memory that forged claims take
    votes[organisation] = ledger.Vote(
        claim.ip, claim.incarnation, claim.claim_no, until, is_promise
    )
    return is_promise


def handle_vote(
    state: states.State, received: event.QuotaVoteReceived, now: float, out: list
) -> None:
    """Count an answer to a claim; with those of a majority, this daemon is the owner."""
    message = received.message
    book = state.quota
    claim_round = book.rounds.get(message.claim_no)
    if claim_round is None or message.ip in claim_round.voters:
        return
    claim_round.voters.add(message.ip)
    known = min(message.known, membership.MAX_MEMBERS)
    claim_round.known = max(claim_round.known, known)
    book.fleet_size = max(book.fleet_size, known)
    refused = set(message.refused)
    until = claim_round.sent_at + claim_round.lease_s
    for number in claim_round.organisations:
        if number in refused:
            continue
        claim_round.counts[number] += 1
        claim = book.claims.get(number)
        if claim is None or message.claim_no < claim.first_no:
            continue  # given up since
        if claim_round.counts[number] + 1 > claim_round.known // 2 and now < until:
            _extend(state, number, until, now, out)


def _extend(state: states.State, number: int, until: float, now: float, out: list) -> None:
    book = state.quota
    account = book.accounts.get(number)
    if account is None or account.lease_until <= now:
        owner = book.organisations.get(number)
        if owner is None:
            return
        account = book.accounts[number] = _open_account(state, owner, now)
        state.counters["quota_owned"] += 1
        fields = {"organisation": owner.name, "daemons": book.fleet_size}
        out.append(effect.Log("quota_owned", fields))
    account.lease_until = max(account.lease_until, until)


def _open_account(state: states.State, owner, now: float) -> ledger.Account:
    settings = state.settings
    limit = ledger.Limit(state.quota.version, owner.rate_per_s, owner.burst)
    return ledger.Account(
        limit, now, settings.quota_window_s, settings.quota_overrun, settings.quota_slack
    )


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Claim organisations without an owner, and renew or give up the claims of this daemon."""
    book = state.quota
    _update_organisations(state, now)
    if not book.organisations and not book.claims:
        return
    _resend(state, now, out)
    if now >= book.next_check_at:
        book.next_check_at = now + CHECK_INTERVAL_S
        _update_fleet_size(state, now)
        _give_up_failed(state, now, out)
        if book.claims and now >= book.next_renewal_at:
            book.next_renewal_at = now + RENEWAL_FRACTION * lease_s(book.fleet_size)
            _claim(state, list(book.claims), now, out)
    if not book.scan and now >= book.next_scan_at:
        book.next_scan_at = now + SCAN_INTERVAL_S
        book.scan = list(book.organisations)
    if book.scan and _may_claim(state, now):
        numbers = [book.scan.pop() for _ in range(min(SCANNED_PER_TICK, len(book.scan)))]
        found = [number for number in numbers if _should_claim(state, number, now)]
        if found:
            _claim(state, found, now, out)


def _update_organisations(state: states.State, now: float) -> None:
    """Take the quotas from a new routing table."""
    book, table = state.quota, state.table
    if table is None or table.version == book.version:
        return
    book.version = table.version
    owners = {owner.name: owner for owner in table.key_owners.values() if owner.has_quota}
    book.organisations = {ledger.identify(name): owner for name, owner in owners.items()}
    for number, owner in book.organisations.items():
        account = book.accounts.get(number)
        if account is not None:
            limit = ledger.Limit(table.version, owner.rate_per_s, owner.burst)
            account.set_limit(limit, now)
    for number in [number for number in book.unowned_since if number not in book.organisations]:
        del book.unowned_since[number]


def _update_fleet_size(state: states.State, now: float) -> None:
    """Update what a majority is counted of; it shrinks only while a majority is live.

    A side of a partition that has forgotten the others would otherwise take itself for the fleet.
    """
    book = state.quota
    book.knows_fleet = book.knows_fleet or _has_heard_seeds(state)
    known = count_fleet(state)
    live = len(_live_peers(state, now)) + 1
    if live > book.fleet_size // 2:
        book.fleet_size = known
    else:
        book.fleet_size = max(book.fleet_size, known)


def _has_heard_seeds(state: states.State) -> bool:
    """Return whether this daemon has been in contact with most seeds for some time.

    After a start of the whole fleet in a partition, no more than one side has most seeds; each
    side would otherwise take itself for the fleet. The time is needed to hear of the others.
    """
    first, settings = state.quota.seed_heartbeats, state.settings
    seeds = {seed.rpartition(":")[0] for seed in settings.seeds}
    heard = not seeds or settings.ip in seeds
    for ip in seeds - {settings.ip}:
        member = state.members.get(ip)
        if member is None:
            continue
        if ip not in first or first[ip][0] != member.incarnation:
            first[ip] = member.incarnation, member.heartbeat
        heard += member.heartbeat - first[ip][1] >= SEED_HEARTBEATS
    return 2 * heard > len(seeds)


def _may_claim(state: states.State, now: float) -> bool:
    if state.stopping_since is not None or not may_confirm(state, now):
        return False
    return (
        state.quota.knows_fleet and len(_live_peers(state, now)) + 1 > state.quota.fleet_size // 2
    )


def _should_claim(state: states.State, number: int, now: float) -> bool:
    """Return whether an organisation has had no owner for as long as this daemon has to wait."""
    book = state.quota
    vote = book.votes.get(number)
    if number in book.claims or (vote is not None and _is_valid(state, vote, now)):
        book.unowned_since.pop(number, None)
        return False
    since = book.unowned_since.setdefault(number, now)
    own_score = score(number, state.settings.ip)
    rank = sum(score(number, member.ip) > own_score for member in _live_peers(state, now))
    return now >= max(since + RANK_DELAY_S * rank, book.retry_claim_at.get(number, 0.0))


def _claim(state: states.State, numbers: list[int], now: float, out: list) -> None:
    """Send a claim to all members, and confirm it as far as this daemon is concerned."""
    book = state.quota
    known = max(book.fleet_size, count_fleet(state))
    length_s = lease_s(known)
    for first in range(0, len(numbers), ORGANISATIONS_PER_CLAIM):
        chunk = tuple(numbers[first : first + ORGANISATIONS_PER_CLAIM])
        number = state.next_number()
        next_try_at = now + RESEND_S
        book.rounds[number] = ledger.Round(now, length_s, chunk, known, next_try_at)
        for organisation in chunk:
            book.claims.setdefault(organisation, ledger.Claim(number, now))
            book.unowned_since.pop(organisation, None)
            book.votes[organisation] = ledger.Vote(
                state.settings.ip, state.incarnation, number, now + length_s
            )
            if known == 1:
                _extend(state, organisation, now + length_s, now, out)
        _send_round(state, number, out)


def _send_round(state: states.State, number: int, out: list) -> None:
    claim_round = state.quota.rounds[number]
    lease_ms = round(claim_round.lease_s * 1000)
    book = state.quota
    organisations = tuple(
        organisation
        for organisation in claim_round.organisations
        if organisation in book.claims and book.claims[organisation].first_no <= number
    )
    message = datagram.QuotaClaim(
        state.settings.ip, state.incarnation, number, lease_ms, organisations, claim_round.known
    )
    for ip in state.members if organisations else ():
        if ip not in claim_round.voters:
            out.append(effect.SendPeer(ip, message))
            state.counters["quota_claims_sent"] += 1


def _resend(state: states.State, now: float, out: list) -> None:
    """Send recent claims again to the daemons without an answer; forget old ones."""
    rounds = state.quota.rounds
    for number, claim_round in list(rounds.items()):
        if now - claim_round.sent_at >= claim_round.lease_s:
            del rounds[number]
        elif claim_round.tries < MAX_TRIES and now >= claim_round.next_try_at:
            claim_round.tries += 1
            claim_round.next_try_at = now + RESEND_S
            if 2 * (len(claim_round.voters) + 1) <= claim_round.known:
                _send_round(state, number, out)


def _is_own_vote(state: states.State, number: int) -> bool:
    vote = state.quota.votes.get(number)
    return vote is not None and vote.ip == state.settings.ip


def _give_up_failed(state: states.State, now: float, out: list) -> None:
    """Give up the claims that no majority confirms, and all while this daemon is stopping."""
    book = state.quota
    failed = [
        number
        for number, claim in book.claims.items()
        if number not in book.organisations
        or state.stopping_since is not None
        or (not is_owner(state, number, now) and now - claim.since >= CONTEST_S)
        or not _is_own_vote(state, number)  # it has confirmed another since its lease ended
    ]
    for number in failed:
        if state.stopping_since is None and number in book.accounts:
            fields = {"organisation": getattr(book.organisations.get(number), "name", "")}
            out.append(effect.Log("quota_lost", fields))
        book.claims.pop(number)
        book.accounts.pop(number, None)
        if _is_own_vote(state, number):
            del book.votes[number]
        book.retry_claim_at[number] = now + CONTEST_S * (1.0 + 2.0 * state.rng.random())
    for first in range(0, len(failed), ORGANISATIONS_PER_CLAIM):
        chunk = tuple(failed[first : first + ORGANISATIONS_PER_CLAIM])
        message = datagram.QuotaClaim(
            state.settings.ip, state.incarnation, state.next_number(), 0, chunk, 0
        )
        out.extend(effect.SendPeer(ip, message) for ip in state.members)
