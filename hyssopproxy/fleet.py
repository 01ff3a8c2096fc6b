"""What the daemons tell each other: pings, fresh words, the newest configuration."""

import zlib

from hyssopproxy import configuration
from hyssopproxy import effect
from hyssopproxy import freshness
from hyssopproxy import message
from hyssopproxy import model
from hyssopproxy import share
from hyssopproxy import state as states

PING_INTERVAL_S = 1.0  # between two pings of a daemon in the own failure domain
REMOTE_PING_INTERVAL_S = 5.0  # to the other failure domains while the platform's word is fresh
PLATFORM_LOST_S = 1.5  # a platform word older than this makes pings go to all domains each time
PONG_MAX_AGE_S = 5.0  # a later pong is dropped whole
COLD_REPORT_MAX_AGE_S = 1.0  # a pong later than this brings no news of targets
ANNOUNCE_FANOUT = 4  # daemons that hear of a new version at once
READERS_PER_DOMAIN = 2  # daemons of a failure domain that watch the platform


def is_reader(state: states.State, now: float) -> bool:
    """Return whether this daemon is one of its failure domain's readers of the platform."""
    me = state.identity
    mine = (share.score("reader", me.vm), me.vm)
    ahead = 0
    for vm in state.config.vms.values():
        if vm.failure_domain != me.failure_domain or vm.id == me.vm:
            continue
        ahead += (share.score("reader", vm.id), vm.id) > mine and not freshness.is_silent(
            state, vm.id, now
        )
    return ahead < READERS_PER_DOMAIN


def make_word(state: states.State, now: float) -> message.PeerInfo:
    """Return this daemon's own word."""
    me = state.identity
    is_known = state.config_confirmed_at != states.NEVER
    return message.PeerInfo(
        vm=me.vm,
        address=me.peer_address,
        failure_domain=me.failure_domain,
        incarnation=me.incarnation,
        version=state.config.version if state.config else 0,
        confirmed_age_ms=int((now - state.config_confirmed_at) * 1000) + 1 if is_known else -1,
        is_leaving=state.stopping_at is not None,
        cold_addresses=tuple(state.cold_reports),
    )


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Ping a few daemons when it is time."""
    if now < state.next_ping_at:
        return
    state.next_ping_at = now + PING_INTERVAL_S * (0.75 + 0.5 * state.rng.random())
    if state.config is None:
        for address in state.seeds:
            out.append(effect.SendPeer(address, message.Ping(make_word(state, now), now)))
        return
    for vm in _choose_to_ping(state, now):
        _ping(state, vm, now, out)
    state.cold_reports.clear()


def _ping(state: states.State, vm: model.VM, now: float, out: list) -> None:
    state.counters["pings"] += 1
    peer = state.peers.get(vm.id)
    if peer is None:
        peer = states.Peer(vm.id, vm.failure_domain)
        state.peers[vm.id] = peer
    if peer.unanswered_since is None:
        peer.unanswered_since = now
    out.append(effect.SendPeer(vm.peer_address, message.Ping(make_word(state, now), now)))


def _choose_to_ping(state: states.State, now: float) -> list[model.VM]:
    """Return one reader and one other of the own domain, and now and then one of each other."""
    domains: dict[str, list[model.VM]] = {}
    for vm in state.config.vms.values():
        if vm.id != state.identity.vm:
            domains.setdefault(vm.failure_domain, []).append(vm)
    near = domains.pop(state.identity.failure_domain, [])
    near.sort(key=lambda vm: -share.score("reader", vm.id))
    speaking = [vm for vm in near if not freshness.is_silent(state, vm.id, now)]
    chosen = [state.rng.choice(speaking[:READERS_PER_DOMAIN])] if speaking else []
    if near:
        chosen.append(state.rng.choice(near))
    is_lost = now - state.config_confirmed_at > PLATFORM_LOST_S
    for vms in domains.values():
        if is_lost or state.rng.random() < PING_INTERVAL_S / REMOTE_PING_INTERVAL_S:
            chosen.append(state.rng.choice(vms))
    if is_lost:
        chosen.extend(speaking[: READERS_PER_DOMAIN + 1])
    return list(dict.fromkeys(chosen))


def find_address(state: states.State, vm: str, claimed: str) -> str:
    """Return where a daemon is: as published, or as it says itself when it is not."""
    known = None if state.config is None else state.config.vms.get(vm)
    return claimed if known is None else known.peer_address


def announce(state: states.State, now: float, out: list) -> None:
    """Tell a few random daemons at once, as after a new version."""
    if state.config is None:
        return
    others = [vm for vm in state.config.vms.values() if vm.id != state.identity.vm]
    for vm in state.rng.sample(others, min(ANNOUNCE_FANOUT, len(others))):
        _ping(state, vm, now, out)


def handle_ping(state: states.State, ping: message.Ping, now: float, out: list) -> None:
    """Answer a ping; its word may be old, so it only hints at a newer version."""
    pong = message.Pong(make_word(state, now), ping.sent_at)
    out.append(effect.SendPeer(find_address(state, ping.sender.vm, ping.sender.address), pong))
    _compare_version(state, ping.sender, out)
    configuration.record_reported_cold(state, ping.sender.cold_addresses, now, out)


def handle_pong(state: states.State, pong: message.Pong, now: float, out: list) -> None:
    """Take in a word; its age counts from this daemon's own ping."""
    word, asked_at = pong.sender, pong.sent_at
    if not asked_at <= now or now - asked_at > PONG_MAX_AGE_S:
        state.counters["pongs_old"] += 1
        return
    peer = state.peers.get(word.vm)
    if peer is None:
        peer = states.Peer(word.vm, word.failure_domain)
        state.peers[word.vm] = peer
    peer.last_heard_at = max(peer.last_heard_at, asked_at)
    peer.unanswered_since = None
    peer.version = max(peer.version, word.version)
    peer.is_leaving = word.is_leaving
    _compare_version(state, word, out)
    if (
        state.config is not None
        and word.version == state.config.version
        and word.confirmed_age_ms >= 0
    ):
        state.config_confirmed_at = max(
            state.config_confirmed_at, asked_at - word.confirmed_age_ms / 1000
        )
    if now - asked_at <= COLD_REPORT_MAX_AGE_S:
        configuration.record_reported_cold(state, word.cold_addresses, now, out)


def _compare_version(state: states.State, word: message.PeerInfo, out: list) -> None:
    mine = state.config.version if state.config else 0
    if word.version > mine:
        want = message.ConfigRequest(state.identity.vm, state.identity.peer_address, mine)
        out.append(effect.SendPeer(find_address(state, word.vm, word.address), want))


def handle_want(state: states.State, want: message.ConfigRequest, now: float, out: list) -> None:
    """Pass the accepted value on."""
    if state.config is None or state.config.version <= want.newer_than:
        return
    state.counters["values_passed_on"] += 1
    value = message.ConfigReply(state.config.version, state.packed_config)
    out.append(effect.SendPeer(find_address(state, want.vm, want.address), value))


def handle_value(state: states.State, value: message.ConfigReply, now: float, out: list) -> None:
    """Take in a value of a peer; it passes the same check as one of the platform."""
    if state.config is not None and value.version <= state.config.version:
        return
    unpacker = zlib.decompressobj()
    try:
        blob = unpacker.decompress(value.compressed, model.MAX_CONFIG_BYTES + 1)
    except zlib.error:
        state.counters["peer_messages_garbled"] += 1
        return
    if configuration.accept(state, blob, now, out):
        announce(state, now, out)
