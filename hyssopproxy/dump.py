"""State dump of a daemon for operators."""

import typing

from hyssopproxy import lifecycle
from hyssopproxy import state as states
from hyssopproxy import target as targets


def describe(state: states.State, now: float) -> dict[str, typing.Any]:
    """Return the state as JSON values; points in time are given as ages in seconds."""
    identity = state.identity
    return {
        "vm": identity.vm,
        "failure_domain": identity.failure_domain,
        "incarnation": identity.incarnation,
        "age_s": round(now - state.started_at, 3),
        "version": state.config.version if state.config else 0,
        "config_age_s": _age(state.config_confirmed_at, now),
        "config_rejected": state.rejection,
        "unready": lifecycle.unready_reason(state),
        "domains_out": sorted(state.config.domains_out) if state.config else [],
        "searches": len(state.queries),
        "actions": len(state.actions),
        "outcomes": len(state.outcomes),
        "loop_lag_ms": round(state.loop_lag_s * 1000, 3),
        "services": {name: _describe_service(service) for name, service in state.services.items()},
        "targets": [_describe_target(state, target, now) for target in state.targets.values()],
        "peers": [_describe_peer(peer, now) for peer in state.peers.values()],
        "counters": dict(state.counters),
    }


def _age(moment: float, now: float) -> float | None:
    return None if moment == states.NEVER else round(now - moment, 3)


def _describe_service(service: states.Service) -> dict[str, typing.Any]:
    return {
        "snapshots": [route.snapshot.name for route in service.routes],
        "gone": len(service.gone_until),
        "in_flight": service.in_flight,
        "hedge_tokens": round(service.hedge_budget.tokens, 2),
        "retry_tokens": round(service.retry_budget.tokens, 2),
        "usual_ms": round((service.search_latency.read() or 0.0) * 1000, 3),
    }


def _describe_target(state: states.State, target: states.Target, now: float) -> dict:
    return {
        "address": target.spec.address,
        "service": target.service.spec.name,
        "failure_domain": target.spec.failure_domain,
        "verdict": targets.check_target(state, target, now).value,
        "cold": target.is_cold,
        "draining": target.is_draining,
        "faults": target.consecutive_faults,
        "requests": target.requests,
        "leaves": [
            {
                "in_flight": leaf.in_flight,
                "limit": round(leaf.limit.value, 2),
                "permits": targets.permits(state, leaf),
                "waiting": len(leaf.waiting),
                "latency_ms": round(leaf.latency_s * 1000, 3),
            }
            for leaf in target.leaves
        ],
    }


def _describe_peer(peer: states.Peer, now: float) -> dict[str, typing.Any]:
    return {
        "vm": peer.vm,
        "failure_domain": peer.failure_domain,
        "heard_s": _age(peer.last_heard_at, now),
        "version": peer.version,
        "leaving": peer.is_leaving,
    }
