"""Applies configuration values: each is accepted or rejected as a whole; versions only increase."""

import zlib

from hyssopproxy import config as configs
from hyssopproxy import effect
from hyssopproxy import model
from hyssopproxy import quantile
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy.policy import registry

MAX_MEMBERSHIPS = 50
INITIAL_HEDGE_TOKENS = 5.0  # lets the first searches of a service hedge
INITIAL_RETRY_TOKENS = 10.0  # lets a service with little traffic retry


def accept(state: states.State, blob: bytes, now: float, out: list) -> bool:
    """Apply a value if it is valid and newer; return whether it was applied."""
    config = configs.decode(blob, state.config)
    if isinstance(config, configs.Rejected):
        _reject(state, config, out)
        return False
    old = state.config
    if old is not None and config.version <= old.version:
        state.counters["config_not_newer"] += config.version < old.version
        return False
    if (
        old is not None
        and now - state.config_confirmed_at >= state.action_window_s * states.LEASE_FRACTION
    ):
        # Versions that this daemon missed may have moved keys.
        state.actions_refused_until = now + state.action_window_s
    state.config = config
    state.config_blob = blob
    state.packed_config = zlib.compress(blob)
    state.rejection = ""
    _record_membership(state, config, now)
    share.update_sharing_vms(state, now)
    _build_services(state, config, is_first=old is None, now=now, out=out)
    _apply_domain_changes(state, old, now, out)
    _drop_unpublished_peers(state, out)
    state.counters["config_accepted"] += 1
    out.append(effect.Log("config_accepted", {"version": config.version}))
    return True


def _reject(state: states.State, rejected: configs.Rejected, out: list) -> None:
    state.counters["config_rejected"] += 1
    reasons = "; ".join(rejected.reasons)
    if reasons != state.rejection:
        out.append(effect.Log("config_rejected", {"reasons": reasons}))
    state.rejection = reasons


def _record_membership(state: states.State, config: model.Config, now: float) -> None:
    """Record the list of VMs; those that are leaving or in a domain that is out own no keys."""
    vms = tuple(sorted(config.vms))
    owners = tuple(
        vm
        for vm in vms
        if not config.vms[vm].leaving and config.vms[vm].failure_domain not in config.domains_out
    )
    if state.memberships and (vms, owners) == (
        state.memberships[-1].vms,
        state.memberships[-1].owners,
    ):
        return
    state.memberships.append(states.Membership(vms, owners, now))
    del state.memberships[:-MAX_MEMBERSHIPS]


def _drop_unpublished_peers(state: states.State, out: list) -> None:
    """Drop the peers that are no longer published and close the connections to them."""
    vms = state.config.vms
    state.peers = {vm: peer for vm, peer in state.peers.items() if vm in vms}
    addresses = frozenset(vm.peer_address for vm in vms.values()) | frozenset(state.seeds)
    out.append(effect.KeepPeers(addresses))


def _build_services(
    state: states.State, config: model.Config, is_first: bool, now: float, out: list
) -> None:
    old_targets = state.targets
    state.targets = {}
    services = {}
    for name, spec in config.services.items():
        old = state.services.get(name)
        if old is not None and old.spec is spec:
            services[name] = old
            state.targets.update((target.spec.address, target) for target in old.targets.values())
            continue
        service = _make_service(old, spec)
        for target_spec in spec.targets.values():
            old_target = old_targets.get(target_spec.address)
            target = _make_target(old_target, target_spec, service)
            service.targets[target_spec.name] = target
            state.targets[target_spec.address] = target
            if old_target is None and not is_first:
                targets.mark_cold(state, target, "new", now, out)
        service.routes = [_make_route(service, snapshot) for snapshot in spec.snapshots]
        services[name] = service
    state.services = services


def _make_service(old: states.Service | None, spec: model.Service) -> states.Service:
    service = states.Service(
        spec=spec,
        hedge=registry.HEDGES[spec.hedge](),
        wait=registry.WAITS[spec.wait](),
        replica=registry.REPLICAS[spec.replica](),
        hedge_budget=quantile.Budget(spec.hedge_percent / 100, INITIAL_HEDGE_TOKENS),
        retry_budget=quantile.Budget(spec.retry_percent / 100, INITIAL_RETRY_TOKENS),
    )
    if old is not None:
        shards = {shard for snapshot in spec.snapshots for shard in snapshot.shards}
        service.hedge_budget.tokens = min(old.hedge_budget.tokens, service.hedge_budget.cap)
        service.retry_budget.tokens = min(old.retry_budget.tokens, service.retry_budget.cap)
        service.gone_until = old.gone_until
        service.search_latency = old.search_latency
        if old.spec.hedge_percent == spec.hedge_percent:
            service.shard_latencies = {
                shard: tracker for shard, tracker in old.shard_latencies.items() if shard in shards
            }
    return service


def _make_target(
    old: states.Target | None, spec: model.Target, service: states.Service
) -> states.Target:
    target = old or states.Target(spec, service)
    if old is not None and old.service.spec.limit != service.spec.limit:
        target.leaves = []
    target.spec = spec
    target.service = service
    for index in range(len(target.leaves), spec.leaves):
        limit = registry.LIMITS[service.spec.limit]()
        target.leaves.append(states.Leaf(target, index, limit))
    return target


def _make_route(service: states.Service, snapshot: model.Snapshot) -> states.Route:
    shards = {}
    for shard, replicas in snapshot.shards.items():
        leaves = [service.targets[replica.target].leaves[replica.leaf] for replica in replicas]
        shards[shard] = tuple(leaves)
    return states.Route(snapshot, shards)


def _apply_domain_changes(
    state: states.State, old: model.Config | None, now: float, out: list
) -> None:
    """Mark targets of a returning domain as cold; record whether this daemon's domain is out.

    A daemon whose failure domain is out is unready.
    """
    was_out = old.domains_out if old else frozenset()
    is_out = state.config.domains_out
    for target in state.targets.values():
        domain = target.spec.failure_domain
        if domain in was_out and domain not in is_out:
            targets.mark_cold(state, target, "domain_back", now, out)
    local_domain = state.identity.failure_domain
    if local_domain not in is_out:
        state.domain_out_since = None
    elif state.domain_out_since is None:
        state.domain_out_since = now
    for domain in sorted(is_out ^ was_out):
        change = "domain_out" if domain in is_out else "domain_back"
        out.append(effect.Log(change, {"failure_domain": domain}))


def record_reported_cold(
    state: states.State, addresses: tuple[str, ...], now: float, out: list
) -> None:
    """Mark targets as cold that a peer reports to have just become cold."""
    for address in addresses:
        target = state.targets.get(address)
        if (
            target is None
            or target.is_cold
            or now - target.cold_reported_at < targets.COLD_REPORT_HOLDOFF_S
        ):
            continue
        target.cold_reported_at = now
        targets.mark_cold(state, target, "peer", now, out)
