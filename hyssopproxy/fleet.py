"""Gossip between daemons: pings, freshness of the configuration, newest configuration."""

import zlib

from hyssopproxy import configuration
from hyssopproxy import effect
from hyssopproxy import freshness
from hyssopproxy import message
from hyssopproxy import model
from hyssopproxy import share
from hyssopproxy import state as states

PING_INTERVAL_S = 1.0  # mean interval between pings within the failure domain
# Mean interval between pings to another failure domain while the configuration is confirmed.
REMOTE_PING_INTERVAL_S = 5.0
# Without a confirmation of the configuration for this long, every round pings all domains.
PLATFORM_LOST_S = 1.5
PONG_MAX_AGE_S = 5.0  # a pong with a longer round trip is dropped
COLD_REPORT_MAX_AGE_S = 1.0  # cold reports of a pong with a longer round trip are ignored
ANNOUNCE_FANOUT = 4  # daemons that are notified of a new version immediately
READERS_PER_DOMAIN = 2  # daemons of a failure domain that read the platform


def is_reader(state: states.State, now: float) -> bool:
    """Return whether this daemon reads the platform on behalf of its failure domain."""
    identity = state.identity
    own_rank = (share.score("reader", identity.vm), identity.vm)
    outranking = 0
    for vm in state.config.vms.values():
        if vm.failure_domain != identity.failure_domain or vm.id == identity.vm:
            continue
        outranking += (share.score("reader", vm.id), vm.id) > own_rank and not freshness.is_silent(
            state, vm.id, now
        )
    return outranking < READERS_PER_DOMAIN


def make_peer_info(state: states.State, now: float) -> message.PeerInfo:
    """Return what this daemon reports about itself in pings and pongs."""
    identity = state.identity
    is_confirmed = state.config_confirmed_at != states.NEVER
    return message.PeerInfo(
        vm=identity.vm,
        address=identity.peer_address,
        failure_domain=identity.failure_domain,
        incarnation=identity.incarnation,
        version=state.config.version if state.config else 0,
        confirmed_age_ms=int((now - state.config_confirmed_at) * 1000) + 1 if is_confirmed else -1,
        is_leaving=state.stopping_at is not None,
        cold_addresses=tuple(state.cold_reports),
    )


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Ping a few daemons if a round of pings is due."""
    if now < state.next_ping_at:
        return
    state.next_ping_at = now + PING_INTERVAL_S * (0.75 + 0.5 * state.rng.random())
    if state.config is None:
        for address in state.seeds:
            out.append(effect.SendPeer(address, message.Ping(make_peer_info(state, now), now)))
        return
    for vm in _choose_peers_to_ping(state, now):
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
    out.append(effect.SendPeer(vm.peer_address, message.Ping(make_peer_info(state, now), now)))


def _choose_peers_to_ping(state: states.State, now: float) -> list[model.VM]:
    """Return a reader and a random VM of this domain, and sometimes a VM of each other domain.

    While the platform is lost, always include a VM of each other domain, and more VMs of this
    domain.
    """
    domains: dict[str, list[model.VM]] = {}
    for vm in state.config.vms.values():
        if vm.id != state.identity.vm:
            domains.setdefault(vm.failure_domain, []).append(vm)
    near = domains.pop(state.identity.failure_domain, [])
    near.sort(key=lambda vm: -share.score("reader", vm.id))
    responsive = [vm for vm in near if not freshness.is_silent(state, vm.id, now)]
    chosen = [state.rng.choice(responsive[:READERS_PER_DOMAIN])] if responsive else []
    if near:
        chosen.append(state.rng.choice(near))
    is_platform_lost = now - state.config_confirmed_at > PLATFORM_LOST_S
    for vms in domains.values():
        if is_platform_lost or state.rng.random() < PING_INTERVAL_S / REMOTE_PING_INTERVAL_S:
            chosen.append(state.rng.choice(vms))
    if is_platform_lost:
        chosen.extend(responsive[: READERS_PER_DOMAIN + 1])
    return list(dict.fromkeys(chosen))


def find_address(state: states.State, vm: str, claimed: str) -> str:
    """Return a daemon's published address, or the one it claims if it is not published."""
    published = None if state.config is None else state.config.vms.get(vm)
    return claimed if published is None else published.peer_address


def announce(state: states.State, now: float, out: list) -> None:
    """Ping a few random daemons immediately, for example after a new version."""
    if state.config is None:
        return
    others = [vm for vm in state.config.vms.values() if vm.id != state.identity.vm]
    for vm in state.rng.sample(others, min(ANNOUNCE_FANOUT, len(others))):
        _ping(state, vm, now, out)


def handle_ping(state: states.State, ping: message.Ping, now: float, out: list) -> None:
    """Answer a ping; since it may be old, use only its version and its cold reports."""
    pong = message.Pong(make_peer_info(state, now), ping.sent_at)
    out.append(effect.SendPeer(find_address(state, ping.sender.vm, ping.sender.address), pong))
    _compare_version(state, ping.sender, out)
    configuration.record_reported_cold(state, ping.sender.cold_addresses, now, out)


def handle_pong(state: states.State, pong: message.Pong, now: float, out: list) -> None:
    """Record the sender's information; its age counts from the send time of this daemon's ping."""
    sender, pinged_at = pong.sender, pong.sent_at
    if not pinged_at <= now or now - pinged_at > PONG_MAX_AGE_S:
        state.counters["pongs_old"] += 1
        return
    peer = state.peers.get(sender.vm)
    if peer is None:
        peer = states.Peer(sender.vm, sender.failure_domain)
        state.peers[sender.vm] = peer
    peer.last_heard_at = max(peer.last_heard_at, pinged_at)
    peer.unanswered_since = None
    peer.version = max(peer.version, sender.version)
    peer.is_leaving = sender.is_leaving
    _compare_version(state, sender, out)
    if (
        state.config is not None
        and sender.version == state.config.version
        and sender.confirmed_age_ms >= 0
    ):
        state.config_confirmed_at = max(
            state.config_confirmed_at, pinged_at - sender.confirmed_age_ms / 1000
        )
    if now - pinged_at <= COLD_REPORT_MAX_AGE_S:
        configuration.record_reported_cold(state, sender.cold_addresses, now, out)


def _compare_version(state: states.State, sender: message.PeerInfo, out: list) -> None:
    own_version = state.config.version if state.config else 0
    if sender.version > own_version:
        request = message.ConfigRequest(state.identity.vm, state.identity.peer_address, own_version)
        out.append(effect.SendPeer(find_address(state, sender.vm, sender.address), request))


def handle_config_request(
    state: states.State, request: message.ConfigRequest, now: float, out: list
) -> None:
    """Send the accepted configuration to a peer that has an older one."""
    if state.config is None or state.config.version <= request.newer_than:
        return
    state.counters["values_passed_on"] += 1
    reply = message.ConfigReply(state.config.version, state.packed_config)
    out.append(effect.SendPeer(find_address(state, request.vm, request.address), reply))


def handle_config_reply(
    state: states.State, reply: message.ConfigReply, now: float, out: list
) -> None:
    """Validate and accept a peer's configuration value as if it came from the platform."""
    if state.config is not None and reply.version <= state.config.version:
        return
    unpacker = zlib.decompressobj()
    try:
        blob = unpacker.decompress(reply.compressed, model.MAX_CONFIG_BYTES + 1)
    except zlib.error:
        state.counters["peer_messages_garbled"] += 1
        return
    if configuration.accept(state, blob, now, out):
        announce(state, now, out)
