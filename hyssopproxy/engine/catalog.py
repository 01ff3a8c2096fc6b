"""The routing table and the targets, from published items.

Answers targets that start again under the id they had, addresses that are used again, entries that
lapse while the store is away, entries of other writers, and items that arrive out of order.
"""

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import state as states

FORGET_GONE_S = 30.0  # removals are remembered this long against late repeats
SETTLED_S = 5.0  # targets first seen later than this after a start have just started themselves


def apply(state: states.State, change: model.Change, now: float, out: list) -> None:
    """Take in one item, unless something newer of its key is known."""
    sync = state.sync
    known = max(sync.revisions.get(change.key, 0), sync.removed_revisions.get(change.key, 0))
    if change.revision <= known:
        return
    sync.revision = max(sync.revision, change.revision)
    if change.error:
        state.counters["items_refused"] += 1
        out.append(effect.Log("item_refused", {"key": change.key, "reason": change.error}))
    if change.value is None:
        remove(state, change.key, change.revision, now, out)
        return
    sync.revisions[change.key] = change.revision
    sync.removed_revisions.pop(change.key, None)
    if isinstance(change.value, model.RoutingTable):
        _take_table(state, change.value, now, out)
    elif isinstance(change.value, model.Evacuation):
        state.evacuated_domains[change.key] = change.value.failure_domain
        fields = {"failure_domain": change.value.failure_domain, "revision": change.revision}
        out.append(effect.Log("domain_out", fields))
    else:
        _take_entry(state, change.key, change.value, now, out)


def _take_table(state: states.State, table: model.RoutingTable, now: float, out: list) -> None:
    old = state.table.version if state.table else 0
    if table.version <= old:
        if table.version < old:
            fields = {"version": table.version, "in_force": old}
            out.append(effect.Log("configuration_older", fields))
        return
    state.table = table
    names = {route.name for route in table.routes}
    for name in set(state.route_statistics) - names:
        if not any(query.route.name == name for query in state.queries.values()):
            del state.route_statistics[name]
            state.split_deficits.pop(name, None)
    fields = {"version": table.version, "before": old, "routes": len(table.routes)}
    out.append(effect.Log("configuration", fields))


def _take_entry(
    state: states.State, key: str, entry: model.TargetEntry, now: float, out: list
) -> None:
    known = state.targets.get(key)
    if known is not None and _is_same_start(known.entry, entry):
        was_draining = known.entry.is_draining
        placement.update_target(known, entry, now)
        if entry.is_draining and not was_draining:
            out.append(effect.Log("target_draining", {"target": entry.id, "pool": entry.pool}))
        return
    if known is not None:
        _drop(state, key, out)
    is_new_start = now - state.started_at > SETTLED_S
    target = placement.create_target(state, entry, now, is_new_start)
    state.targets[key] = target
    state.targets_by_id[entry.id] = target
    state.pools.setdefault(entry.pool, {})[key] = target
    out.append(
        effect.Log(
            "target_found",
            {"target": entry.id, "pool": entry.pool, "address": entry.address},
        )
    )


def _is_same_start(old: model.TargetEntry, new: model.TargetEntry) -> bool:
    return (old.started_at_ms, old.address, old.pool) == (new.started_at_ms, new.address, new.pool)


def remove(state: states.State, key: str, revision: int, now: float, out: list) -> None:
    """Take in that an item is gone; a target stays the last choice for a moment."""
    sync = state.sync
    sync.revision = max(sync.revision, revision)
    sync.revisions.pop(key, None)
    sync.removed_revisions[key] = revision
    if state.evacuated_domains.pop(key, None) is not None:
        out.append(effect.Log("domain_back", {"key": key, "revision": revision}))
    target = state.targets.get(key)
    if target is not None and target.removed_at is None:
        target.removed_at = now
        out.append(effect.Log("target_gone", {"target": target.id, "revision": revision}))


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Forget targets that have been gone for long."""
    for key, target in list(state.targets.items()):
        if target.removed_at is not None and now - target.removed_at > FORGET_GONE_S:
            _drop(state, key, out)
            state.sync.removed_revisions.pop(key, None)


def _drop(state: states.State, key: str, out: list) -> None:
    target = state.targets.pop(key)
    if state.targets_by_id.get(target.id) is target:
        del state.targets_by_id[target.id]
    pool = state.pools.get(target.entry.pool, {})
    pool.pop(key, None)
    if not pool:
        state.pools.pop(target.entry.pool, None)
    out.append(effect.CloseTarget(target.id))
