"""Which daemons there are, told by gossip, and this daemon's part of what all share.

Answers shared bounds (extra requests, connection caps, cold targets) that have to hold while some
daemons are cut off: a daemon counts for long after it was last heard, so the parts of all sides of
a partition never add up to more than the bound. Each round costs a constant number of datagrams,
whatever the size of the fleet.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import reach
from hyssopproxy.engine import state as states

GOSSIP_S = 0.7  # between two rounds
NEAR_FANOUT = 2  # datagrams a round within the own failure domain
FAR_FANOUT = 1  # datagrams a round to other failure domains, whose links are costly
NEAR_RECORDS = 12  # daemons told of in one datagram within the own failure domain
FAR_RECORDS = 6  # daemons told of in one datagram to another failure domain
EARLY_RECORDS = 24  # after a start; such a datagram stays under 1,400 bytes
FORGET_S = 60.0  # a silent daemon counts this long
LIVE_S = 4.0  # a daemon heard within this time can be asked
STALE_S = 2.5  # a daemon that did not hear the store for longer is not followed
SETTLE_S = 2.5  # after a start the number of daemons is not known; no slack is used
SETTLING_SHARERS = 16  # daemons assumed at least until then


def count_sharers(state: states.State, now: float) -> int:
    """Return the number of daemons that shared bounds are divided by, at least 1.

    A daemon that has just started has not heard of the others and assumes several.
    """
    known = len(state.members) + 1
    return known if has_settled(state, now) else max(known, SETTLING_SHARERS)


def has_settled(state: states.State, now: float) -> bool:
    """Return whether this daemon has run for long enough to have heard of the others."""
    return now - state.started_at >= SETTLE_S


def slack_share(state: states.State, slack: float, now: float) -> float:
    """Return this daemon's part of a fixed allowance of the fleet."""
    if not has_settled(state, now):
        return 0.0
    return slack / count_sharers(state, now)


def live_members(state: states.State, now: float) -> list[states.Member]:
    """Return the daemons heard of lately."""
    return [one for one in state.members.values() if now - one.last_seen_at <= LIVE_S]


def handle_gossip(state: states.State, spoke: event.GossipReceived, now: float, out: list) -> None:
    """Take in a datagram; a daemon not known before is answered at once."""
    gossip = spoke.message
    known = state.members.get(gossip.sender.ip)
    if known is None or known.incarnation != gossip.sender.incarnation:
        state.new_member_ips.append(gossip.sender.ip)
    reach.record_datagram(state, gossip.sender.failure_domain, now)
    _take_direct(state, gossip.sender, now)
    for record in gossip.records:
        _take_relayed(state, record, now)
    if known is None and gossip.sender.ip != state.settings.ip:
        out.append(effect.SendPeer(gossip.sender.ip, _compose(state, EARLY_RECORDS, now)))


def handle_ping(state: states.State, pinged: event.PingReceived, now: float, out: list) -> None:
    """Give another daemon a sign of life."""
    out.append(effect.SendPeer(pinged.message.ip, _compose(state, 0, now)))


def _take_direct(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    """A datagram from the daemon itself counts whatever its clock says."""
    if record.ip == state.settings.ip:
        return
    known = state.members.get(record.ip)
    if known is not None and known.incarnation == record.incarnation:
        if known.heartbeat >= record.heartbeat:
            return
    _store(state, record, now)


def _take_relayed(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    if record.ip == state.settings.ip:
        return
    known = state.members.get(record.ip)
    if known is not None:
        if (record.incarnation, record.heartbeat) <= (known.incarnation, known.heartbeat):
            return
    _store(state, record, now)


def _store(state: states.State, record: datagram.MemberRecord, now: float) -> None:
    if record.ip not in state.members:
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
    )


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Send a round of gossip when due and forget daemons that are silent for long."""
    if now < state.next_gossip_at:
        return
    pace = 0.8 + 0.4 * state.rng.random() if has_settled(state, now) else 0.3
    state.next_gossip_at = now + GOSSIP_S * pace
    state.heartbeat += 1
    for ip in [ip for ip, one in state.members.items() if now - one.last_seen_at > FORGET_S]:
        del state.members[ip]
        out.append(effect.Log("member_forgotten", {"member": ip}))
    near, far = choose_peers(state, NEAR_FANOUT, FAR_FANOUT, now)
    far += _choose_silent(state, len(near) + len(far), now)
    early = not has_settled(state, now)
    for ips, records in ((near, NEAR_RECORDS), (far, FAR_RECORDS)):
        message = _compose(state, EARLY_RECORDS if early else records, now)
        out.extend(effect.SendPeer(ip, message) for ip in ips)


def choose_peers(
    state: states.State, near: int, far: int, now: float
) -> tuple[list[str], list[str]]:
    """Return IP numbers of live daemons, drawn within the own failure domain and outside it."""
    own = state.settings.failure_domain
    groups: dict[bool, list[str]] = {True: [], False: []}
    for one in live_members(state, now):
        groups[one.failure_domain == own].append(one.ip)
    return (
        state.rng.sample(groups[True], min(near, len(groups[True]))),
        state.rng.sample(groups[False], min(far, len(groups[False]))),
    )


def _choose_silent(state: states.State, chosen: int, now: float) -> list[str]:
    """Return a silent daemon or a seed, and more of them while few daemons are heard."""
    live = {one.ip for one in live_members(state, now)}
    others = [ip for ip in state.members if ip not in live]
    for seed in state.settings.seeds:
        ip = seed.rpartition(":")[0]
        if ip != state.settings.ip and ip not in live and ip not in others:
            others.append(ip)
    if chosen < NEAR_FANOUT + FAR_FANOUT:
        return others[: 2 * (NEAR_FANOUT + FAR_FANOUT)]
    return [state.rng.choice(others)] if others else []


def _compose(state: states.State, count: int, now: float) -> datagram.Gossip:
    me = datagram.MemberRecord(
        ip=state.settings.ip,
        failure_domain=state.settings.failure_domain,
        incarnation=state.incarnation,
        heartbeat=state.heartbeat,
        version=state.table.version if state.table else 0,
        revision=state.sync.revision,
        is_stale=state.sync.failures > 0 or now - state.sync.last_synced_at > STALE_S,
        link_mbps=state.settings.link_mbps,
    )
    recent = sorted(live_members(state, now), key=lambda one: -one.last_seen_at)[: 2 * count]
    chosen = state.rng.sample(recent, min(count, len(recent)))
    records = tuple(
        datagram.MemberRecord(
            one.ip,
            one.failure_domain,
            one.incarnation,
            one.heartbeat,
            one.version,
            one.revision,
            one.is_stale,
            one.link_mbps,
        )
        for one in chosen
    )
    return datagram.Gossip(me, records)
