"""Which daemon owns an organisation's quota, derived from heartbeats alone.

Handles partitions, frozen and restarted daemons without messages of its own: the owner is the first
live daemon in an order by hash. It grants the full rate only after it has been the first, has seen
most of the fleet and has not stood still for longer than any earlier owner may take to notice that
it no longer is. Until then, and in a minority, the first live daemon grants from the uncertain
amount, in proportion to the part of the fleet that it sees, and the next ones admit a few requests
each until they notice that they have become the first.
"""

import hashlib
import heapq

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import ledger
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

# Relayed heartbeats make a daemon look live for longer than `membership.live_age_s`, by a few
# rounds of gossip; in large fleets by more.
RELAY_MARGIN = 0.75  # of that age
PING_INTERVAL_S = 0.5  # between two pings to a silent daemon whose place this one takes
MAX_PINGS = 8  # at a time, for one organisation
MAX_PAUSE_S = 0.5  # time without a tick after which an owner begins anew
MAX_FLEET_AGE_S = membership.MEMBER_EXPIRY_S  # the fleet counts as known after this long
# Heartbeats of a seed that are heard before its contact counts: some 1 s while daemons start, in
# which gossip reaches most of the fleet, and 3 s later.
SEED_HEARTBEATS = 4
PLACES = 6  # 55% of them down leaves none in 1 of 36 cases
PLACES_PART = 0.4  # of the requests that are admitted without an owner
CANDIDATES = 8  # daemons that are asked one after the other
# A daemon that didn't answer is asked last for this long, doubled with each further silence; one
# lost datagram should not cost an organisation its owner.
MIN_SUSPECT_S = 0.125
MAX_SUSPECT_S = 2.0
CHECK_INTERVAL_S = 0.25  # between two looks at the fleet
CHECK_AGE_S = 0.1  # how long an owner relies on its last look at its place
SCORES_PER_TICK = 2000  # bounds the processor time for finding places, about 1 ms
_MIX = 0x9E3779B97F4A7C15  # odd, from the golden ratio, as in Fibonacci hashing (Knuth)
_MASK = 2**64 - 1
_hashes: dict[str, int] = {}  # by IP address


def _hash_member(ip: str) -> int:
    number = _hashes.get(ip)
    if number is None:
        if len(_hashes) > membership.MAX_MEMBERS:
            _hashes.clear()
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


def takeover_s(state: states.State) -> float:
    """Return how long an owner waits before it grants the full rate."""
    return (1.0 + RELAY_MARGIN) * membership.live_age_s(state)


def yield_s(state: states.State) -> float:
    """Return how long an owner goes on after a daemon before it has appeared.

    That daemon itself waits for longer, by the time that others may take to hear of it.
    """
    return membership.live_age_s(state)


def _live_peers(state: states.State, now: float) -> list[states.Member]:
    since = now - membership.live_age_s(state)
    return [
        member
        for member in state.members.values()
        if member.has_quota and member.last_seen_at >= since
    ]


def find_candidates(state: states.State, organisation: int, now: float) -> list[str]:
    """Return the daemons that may grant requests, in the order in which to ask them."""
    suspects = state.quota.suspects
    ips = [member.ip for member in _live_peers(state, now)]
    ips.append(state.settings.ip)
    first = heapq.nlargest(CANDIDATES, ips, key=lambda ip: score(organisation, ip))
    return sorted(first, key=lambda ip: suspects.get(ip, now) > now)


def find_owner(state: states.State, organisation: int, now: float) -> str:
    """Return the daemon that grants the full rate, as far as this one can tell."""
    if is_owner(state, organisation, now):
        return state.settings.ip
    seniors = [
        member.ip for member in _live_peers(state, now) if now - member.live_since >= yield_s(state)
    ]
    return max(seniors, key=lambda ip: score(organisation, ip), default="")


def is_owner(state: states.State, organisation: int, now: float) -> bool:
    """Return whether this daemon may grant the full rate of an organisation."""
    book = state.quota
    account = book.accounts.get(organisation)
    if account is None or now - book.tick_at > MAX_PAUSE_S:
        return False
    if now - account.checked_at > CHECK_AGE_S:
        _check_place(state, organisation, now)
        account = book.accounts.get(organisation)
        if account is None:
            return False
    return now >= account.started_at


def find_share(state: states.State, organisation: int, now: float) -> float:
    """Return the share of the fleet for which this daemon grants requests, 0 if it is not first.

    The shares of all sides of a partition add up to 1.
    """
    if not state.quota.knows_fleet:
        return 0.0
    own_score = score(organisation, state.settings.ip)
    peers = _live_peers(state, now)
    if any(score(organisation, member.ip) > own_score for member in peers):
        return 0.0
    return (len(peers) + 1) / max(state.quota.fleet_size, count_fleet(state))


def find_pool(state: states.State, organisation: int, amount: int, now: float) -> int:
    """Return this daemon's part of an amount of requests in a window.

    The first live daemon has most of it; in a partition, these parts add up to no more over all
    sides. The first places in the order of all known daemons share the rest, for the time until the
    loss of the first one is noticed.
    """
    book, settings = state.quota, state.settings
    if not book.knows_fleet:
        return 0
    known = max(book.fleet_size, count_fleet(state))
    spread = round(PLACES_PART * amount)
    part = (amount - spread) * find_share(state, organisation, now)
    own_score = score(organisation, settings.ip)
    place = sum(
        score(organisation, member.ip) > own_score
        for member in state.members.values()
        if member.has_quota
    )
    place += known - count_fleet(state)  # unknown daemons may come before it
    places = min(PLACES, known, spread)
    if place < places:
        part += spread // places + (place < spread % places)
    # What an earlier process admitted leaves the window while this one runs.
    age_s = now - state.started_at
    return int(part * min(1.0, age_s / (settings.quota_window_s + ledger.WINDOW_MARGIN_S)))


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Follow changes of the fleet and of the configuration."""
    book = state.quota
    if now - book.tick_at > MAX_PAUSE_S:
        book.accounts.clear()
        book.majority_since = now
    book.tick_at = now
    _update_organisations(state)
    if not book.organisations:
        return
    if now >= book.next_check_at:
        book.next_check_at = now + CHECK_INTERVAL_S
        _update_fleet(state, now)
        for number in list(book.accounts):
            _check_place(state, number, now, out)
    if not book.scan:
        book.scan = list(book.organisations)
    count = min(len(book.scan), max(1, SCORES_PER_TICK // (len(state.members) + 1)))
    for _ in range(count):
        _check_place(state, book.scan.pop(), now, out)


def _update_organisations(state: states.State) -> None:
    """Take the quotas from a new routing table."""
    book, table = state.quota, state.table
    if table is None or table.version == book.version:
        return
    book.version = table.version
    owners = {owner.name: owner for owner in table.key_owners.values() if owner.has_quota}
    book.organisations = {ledger.identify(name): owner for name, owner in owners.items()}
    book.scan = []
    for number, account in list(book.accounts.items()):
        owner = book.organisations.get(number)
        if owner is None:
            del book.accounts[number]
        else:
            limit = ledger.Limit(table.version, owner.rate_per_s, owner.burst)
            account.set_limit(limit, max(account.level_at, book.tick_at))


def _update_fleet(state: states.State, now: float) -> None:
    """Update what a majority is counted of; it shrinks only while a majority is live.

    A side of a partition that has forgotten the others would otherwise take itself for the fleet.
    """
    book = state.quota
    book.knows_fleet = (
        book.knows_fleet or _has_heard_seeds(state) or now - state.started_at >= MAX_FLEET_AGE_S
    )
    known = count_fleet(state)
    has_majority = 2 * (len(_live_peers(state, now)) + 1) > max(book.fleet_size, known)
    if has_majority:
        book.fleet_size = known
    else:
        book.fleet_size = max(book.fleet_size, known)
    if not has_majority or not book.knows_fleet:
        book.majority_since = now
        book.accounts.clear()
    for ip in [ip for ip, until in book.suspects.items() if until <= now]:
        del book.suspects[ip]
    for ip in [ip for ip in book.pinged_at if ip not in state.members]:
        del book.pinged_at[ip]
    for ip in [ip for ip in book.silences if ip not in state.members]:
        del book.silences[ip]


def record_silence(state: states.State, ip: str, now: float) -> None:
    """Record that a daemon did not answer in time."""
    book = state.quota
    book.silences[ip] += 1
    book.suspects[ip] = now + min(MAX_SUSPECT_S, MIN_SUSPECT_S * 2 ** book.silences[ip])


def record_answer(state: states.State, ip: str) -> None:
    """Record that a daemon answered."""
    state.quota.suspects.pop(ip, None)
    state.quota.silences.pop(ip, None)


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


def _check_place(
    state: states.State, organisation: int, now: float, out: list | None = None
) -> None:
    """Open an account if this daemon is the first live one, close it once another has been."""
    book, settings = state.quota, state.settings
    if not book.knows_fleet or state.stopping_since is not None:
        book.accounts.pop(organisation, None)
        return
    own_score = score(organisation, settings.ip)
    before, silent = [], []
    since = now - membership.live_age_s(state)
    for member in state.members.values():
        if member.has_quota and score(organisation, member.ip) > own_score:
            (before if member.last_seen_at >= since else silent).append(member)
    account = book.accounts.get(organisation)
    if account is not None:
        account.checked_at = now
        is_full = now >= account.started_at
        if any(not is_full or now - member.live_since >= yield_s(state) for member in before):
            del book.accounts[organisation]
            if out is not None and is_full:
                fields = {"organisation": book.organisations[organisation].name}
                out.append(effect.Log("quota_lost", {**fields, "owner": before[0].ip}))
        elif out is not None and is_full and not account.is_logged:
            account.is_logged = True
            state.counters["quota_owned"] += 1
            fields = {
                "organisation": book.organisations[organisation].name,
                "daemons": book.fleet_size,
            }
            out.append(effect.Log("quota_owned", fields))
    elif not before:
        if out is None:
            return  # opened at the next tick
        owner = book.organisations[organisation]
        limit = ledger.Limit(book.version, owner.rate_per_s, owner.burst)
        started_at = max(now, book.majority_since) + takeover_s(state)
        book.accounts[organisation] = ledger.Account(
            limit,
            started_at,
            settings.quota_window_s,
            settings.quota_overrun,
            settings.quota_slack,
            checked_at=now,
        )
    if out is not None and organisation in book.accounts:
        _ping(state, silent, now, out)


def _ping(state: states.State, silent: list[states.Member], now: float, out: list) -> None:
    """Ping daemons before this one that are silent; one that answers counts as live again."""
    due = [
        member
        for member in silent
        if now - state.quota.pinged_at.get(member.ip, states.NEVER) >= PING_INTERVAL_S
    ]
    for member in due[:MAX_PINGS]:
        state.quota.pinged_at[member.ip] = now
        out.append(effect.SendPeer(member.ip, datagram.Ping(state.settings.ip)))
