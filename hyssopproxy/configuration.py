"""Accepts configuration values whole or not at all; versions only rise."""

import zlib

from hyssopproxy import config as configs
from hyssopproxy import effect
from hyssopproxy import model
from hyssopproxy import quantile
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target as targets
from hyssopproxy.policy import registry

MEMBERSHIPS_KEPT = 50
INITIAL_HEDGE_TOKENS = 5.0  # lets the first searches of a service hedge
INITIAL_RETRY_TOKENS = 10.0  # lets a service with little traffic retry


def accept(state: states.State, blob: bytes, now: float, out: list) -> bool:
    """Put a value into force when it is valid and newer; return whether it was."""
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
        state.actions_refused_until = (
            now + state.action_window_s
        )  # versions between may have moved keys
    state.config = config
    state.config_blob = blob
    state.packed_config = zlib.compress(blob)
    state.rejection = ""
    _record_membership(state, config, now)
    share.count_sharing_vms(state, now)
    _build_services(state, config, is_first=old is None, now=now, out=out)
    _apply_domain_changes(state, old, now, out)
    _forget_peers(state, out)
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
    """Keep the list of VMs that share; those leaving or in a domain that is out keep no key."""
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
    del state.memberships[:-MEMBERSHIPS_KEPT]


def _forget_peers(state: states.State, out: list) -> None:
    """Drop what belongs to VMs that are no longer published."""
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
        kept = state.services.get(name)
        if kept is not None and kept.spec is spec:
            services[name] = kept
            state.targets.update((one.spec.address, one) for one in kept.targets.values())
            continue
        service = _make_service(kept, spec)
        for target in spec.targets.values():
            known = old_targets.get(target.address)
            built = _make_target(known, target, service)
            service.targets[target.name] = built
            state.targets[target.address] = built
            if known is None and not is_first:
                targets.mark_cold(state, built, "new", now, out)
        service.routes = [_make_route(service, snapshot) for snapshot in spec.snapshots]
        services[name] = service
    state.services = services


def _make_service(known: states.Service | None, spec: model.Service) -> states.Service:
    service = states.Service(
        spec=spec,
        hedge=registry.HEDGES[spec.hedge](),
        wait=registry.WAITS[spec.wait](),
        replica=registry.REPLICAS[spec.replica](),
        hedge_budget=quantile.Budget(spec.hedge_percent / 100, INITIAL_HEDGE_TOKENS),
        retry_budget=quantile.Budget(spec.retry_percent / 100, INITIAL_RETRY_TOKENS),
    )
    if known is not None:
        shards = {shard for snapshot in spec.snapshots for shard in snapshot.shards}
        service.hedge_budget.tokens = min(known.hedge_budget.tokens, service.hedge_budget.cap)
        service.retry_budget.tokens = known.retry_budget.tokens
        service.gone_until = known.gone_until
        service.search_latency = known.search_latency
        if known.spec.hedge_percent == spec.hedge_percent:
            service.shard_latencies = {
                shard: tracker
                for shard, tracker in known.shard_latencies.items()
                if shard in shards
            }
    return service


def _make_target(
    known: states.Target | None, spec: model.Target, service: states.Service
) -> states.Target:
    target = known or states.Target(spec, service)
    if known is not None and known.service.spec.limit != service.spec.limit:
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
    """Targets of a domain that returns are cold; the own domain's state sets /readyz."""
    was_out = old.domains_out if old else frozenset()
    is_out = state.config.domains_out
    for target in state.targets.values():
        domain = target.spec.failure_domain
        if domain in was_out and domain not in is_out:
            targets.mark_cold(state, target, "domain_back", now, out)
    home = state.identity.failure_domain
    if home not in is_out:
        state.domain_out_since = None
    elif state.domain_out_since is None:
        state.domain_out_since = now
    for domain in sorted(is_out ^ was_out):
        change = "domain_out" if domain in is_out else "domain_back"
        out.append(effect.Log(change, {"failure_domain": domain}))


def record_reported_cold(
    state: states.State, addresses: tuple[str, ...], now: float, out: list
) -> None:
    """Take in a peer's word that targets turned cold just now."""
    for address in addresses:
        target = state.targets.get(address)
        if (
            target is None
            or target.is_cold
            or now - target.cold_reported_at < targets.COLD_REPORT_TTL_S
        ):
            continue
        target.cold_reported_at = now
        targets.mark_cold(state, target, "peer", now, out)
