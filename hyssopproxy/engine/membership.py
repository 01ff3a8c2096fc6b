"""Membership of the fleet by gossip, and this daemon's share of limits of the whole fleet.

Handles the case where shared limits (extra attempts, connections, requests to cold targets) have to
hold while a network partition separates daemons: a daemon counts as a member long after its last
heartbeat, so that the shares on all sides of the partition never add up to more than the limit. A
round of gossip costs a constant number of datagrams, whatever the size of the fleet, and a constant
number of them leave a failure domain, whose links are costly, whatever the size of the domain.
"""

import heapq
import zlib

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import reach
from hyssopproxy.engine import state as states

GOSSIP_INTERVAL_S = 0.7  # mean time between two rounds
LOCAL_FANOUT = 2  # datagrams per round within the failure domain
REMOTE_FANOUT = 1  # datagrams per round to other failure domains
REMOTE_SENDERS = 4.0  # daemons of a failure domain that send to others in a round, on average
RECORDS = 24  # member records in a datagram; keeps it under 1,400 bytes
MEMBER_EXPIRY_S = 60.0  # a daemon counts as a member for this long after its last heartbeat
MAX_MEMBERS = 4096  # more than any fleet has; bounds the memory that forged messages take
LIVE_MAX_AGE_S = 4.0  # a daemon counts as live for this long after its last heartbeat
# With 195 daemons, 30% of the members are last heard of more than 4 s ago at any time; the age
# grows with the number of members, as each datagram tells of 24.
AGE_PER_MEMBER_S = 1 / 24
# A daemon whose last synchronisation is older counts as stale; others do not choose it as reader.
SYNC_MAX_AGE_S = 2.5
GOLDEN_RATIO = 0.618034  # multiples of it, without their whole part, are spread evenly
SETTLE_S = 2.5  # time after a start in which the fleet's size is unknown and no slack is used
MIN_STARTUP_FLEET_SIZE = 16  # least size of the fleet assumed in that time


def estimate_fleet_size(state: states.State, now: float) -> int:
    """Return the number of daemons that shared limits are divided by, at least 1.

    A daemon that has just started does not know the others yet and assumes a minimum.
    """
    size = len(state.members) + 1
    return size if has_settled(state, now) else max(size, MIN_STARTUP_FLEET_SIZE)


def has_settled(state: states.State, now: float) -> bool:
    """Return whether this daemon has run for long enough to know the others."""
    return now - state.started_at >= SETTLE_S


def slack_share(state: states.State, slack: float, now: float) -> float:
    """Return this daemon's share of a fixed allowance of the fleet."""
    if not has_settled(state, now):
        return 0.0
    return slack / estimate_fleet_size(state, now)


def rounding_offset(state: states.State, name: str, now: float) -> float:
    """Return this daemon's offset, below 1, for rounding its share of a limit of that name.

    The offsets of all daemons are spread evenly by multiples of the golden ratio.
    """
    if not has_settled(state, now):
        return 0.0
    return (state.rank * GOLDEN_RATIO + zlib.crc32(name.encode()) / 2**32) % 1.0


def _update_rank(state: states.State) -> None:
    state.rank = sum(ip < state.settings.ip for ip in state.members)


def live_members(state: states.State, now: float) -> list[states.Member]:
    """Return the daemons with a recent heartbeat."""
    return [
        member for member in state.members.values() if now - member.last_seen_at <= LIVE_MAX_AGE_S
    ]


def live_age_s(state: states.State) -> float:
    """Return the age of a heartbeat above which a daemon is gone rather than not heard of.

    In large fleets, gossip takes longer to tell of a daemon than it counts as live.
    """
    return max(LIVE_MAX_AGE_S, AGE_PER_MEMBER_S * len(state.members))


def handle_gossip(
    state: states.State, received: event.GossipReceived, now: float, out: list
) -> None:
    """Update the members from a datagram; answer an unknown sender immediately."""
    gossip = received.message
    previous = state.members.get(gossip.sender.ip)
    if previous is None or previous.incarnation != gossip.sender.incarnation:
        state.new_member_ips.append(gossip.sender.ip)
    reach.record_datagram(state, gossip.sender.failure_domain, now)
    _apply_direct(state, gossip.sender, now)
    for record in gossip.records:
        _apply_relayed(state, record, now)
    if previous is None and gossip.sender.ip != state.settings.ip:
        out.append(effect.SendPeer(gossip.sender.ip, _make_gossip(state, RECORDS, now)))


def handle_ping(state: states.State, received: event.PingReceived, now: float, out: list) -> None:
    """Answer the ping of another daemon."""
    out.append(effect.SendPeer(received.message.ip, _make_gossip(state, 0, now)))


def _apply_direct(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    """Apply a sender's record of itself; accept a new incarnation even if its clock is behind."""
    if record.ip == state.settings.ip:
        return
    previous = state.members.get(record.ip)
    if previous is not None and previous.incarnation == record.incarnation:
        if previous.heartbeat >= record.heartbeat:
            return
    _store_member(state, record, now)


def _apply_relayed(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    if record.ip == state.settings.ip:
        return
    previous = state.members.get(record.ip)
    if previous is not None:
        if (record.incarnation, record.heartbeat) <= (previous.incarnation, previous.heartbeat):
            return
    _store_member(state, record, now)


def _store_member(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    previous = state.members.get(record.ip)
    if previous is None:
        if len(state.members) >= MAX_MEMBERS:
            state.counters["members_refused"] += 1
            return
        state.counters["members_found"] += 1
    state.members[record.ip] = states.Member(
        ip=record.ip,
        failure_domain=record.failure_domain,
        incarnation=record.incarnation,
        heartbeat=record.heartbeat,
        version=record.version,
        revision=record.revision,
        is_stale=record.is_stale,
        link_mbps=record.link_mbps,
        last_seen_at=now,
        # A daemon of an older version relays records without it.
        has_quota=record.has_quota
        or (
            previous is not None
            and previous.has_quota
            and previous.incarnation == record.incarnation
        ),
        era=record.era,
        live_since=_live_since(state, previous, record, now),
    )


def _live_since(
    state: states.State,
    previous: states.Member | None,
    record: datagram.MemberRecord,
    now: float,
) -> float:
    if (
        previous is None
        or previous.incarnation != record.incarnation
        or now - previous.last_seen_at > live_age_s(state)
    ):
        return now
    return previous.live_since


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Send a round of gossip when it is due, and remove members that have expired."""
    if now < state.next_gossip_at:
        return
    factor = 0.8 + 0.4 * state.rng.random() if has_settled(state, now) else 0.3
    state.next_gossip_at = now + GOSSIP_INTERVAL_S * factor
    state.heartbeat += 1
    for ip in [
        ip for ip, member in state.members.items() if now - member.last_seen_at > MEMBER_EXPIRY_S
    ]:
        del state.members[ip]
        out.append(effect.Log("member_forgotten", {"member": ip}))
    _update_rank(state)
    sends_remote = is_remote_sender(state, now)
    local, remote = choose_peers(state, LOCAL_FANOUT, REMOTE_FANOUT if sends_remote else 0, now)
    remote += _choose_silent_peers(state, sends_remote, now)
    message = _make_gossip(state, RECORDS, now)
    out.extend(effect.SendPeer(ip, message) for ip in (*local, *remote))


def choose_peers(
    state: states.State, local_count: int, remote_count: int, now: float
) -> tuple[list[str], list[str]]:
    """Return the IP addresses of random live daemons in this failure domain and in others."""
    local_domain = state.settings.failure_domain
    groups: dict[bool, list[str]] = {True: [], False: []}
    for member in live_members(state, now):
        groups[member.failure_domain == local_domain].append(member.ip)
    return (
        state.rng.sample(groups[True], min(local_count, len(groups[True]))),
        state.rng.sample(groups[False], min(remote_count, len(groups[False]))),
    )


def is_remote_sender(state: states.State, now: float) -> bool:
    """Return at random whether this daemon sends to other failure domains in this round."""
    local_domain = state.settings.failure_domain
    local_size = 1 + sum(
        member.failure_domain == local_domain for member in live_members(state, now)
    )
    return state.rng.random() * local_size < REMOTE_SENDERS


def _choose_silent_peers(state: states.State, sends_remote: bool, now: float) -> list[str]:
    """Return a silent member or a seed at random, or several of them while few peers are live."""
    live = {member.ip for member in live_members(state, now)}
    others = {ip: member.failure_domain for ip, member in state.members.items() if ip not in live}
    for seed in state.settings.seeds:
        ip = seed.rpartition(":")[0]
        if ip != state.settings.ip and ip not in live:
            others.setdefault(ip, "")
    if len(live) < LOCAL_FANOUT + REMOTE_FANOUT:
        return list(others)[: 2 * (LOCAL_FANOUT + REMOTE_FANOUT)]
    local_domain = state.settings.failure_domain
    ips = [ip for ip, domain in others.items() if sends_remote or domain == local_domain]
    return [state.rng.choice(ips)] if ips else []


def _make_gossip(state: states.State, count: int, now: float) -> datagram.Gossip:
    # Data that are incomplete, as during the first listing, are of no use to others.
    is_complete = state.sync.as_of is not None
    own_record = datagram.MemberRecord(
        ip=state.settings.ip,
        failure_domain=state.settings.failure_domain,
        incarnation=state.incarnation,
        heartbeat=state.heartbeat,
        version=state.table.version if is_complete and state.table else 0,
        revision=state.sync.revision if is_complete else 0,
        is_stale=not state.sync.is_current(SYNC_MAX_AGE_S, now),
        link_mbps=state.settings.link_mbps,
        has_quota=True,
        era=state.sync.era if is_complete else 0,
    )
    records = tuple(
        datagram.MemberRecord(
            member.ip,
            member.failure_domain,
            member.incarnation,
            member.heartbeat,
            member.version,
            member.revision,
            member.is_stale,
            member.link_mbps,
            member.has_quota,
            member.era,
        )
        for member in _choose_records(state, count)
    )
    return datagram.Gossip(own_record, records)


def _choose_records(state: states.State, count: int) -> list[states.Member]:
    """Return the members to tell another daemon of: half of them are the most recent news.

    The others are any members. With recent news alone, the same daemons tell each other of the same
    members, and the rest of a large fleet is forgotten.
    """
    if count == 0:
        return []
    members = list(state.members.values())
    recent = heapq.nlargest(count, members, key=lambda member: member.last_seen_at)
    chosen = state.rng.sample(recent, min(count // 2, len(recent)))
    chosen_ips = {member.ip for member in chosen}
    others = [member for member in members if member.ip not in chosen_ips]
    return chosen + state.rng.sample(others, min(count - len(chosen), len(others)))
