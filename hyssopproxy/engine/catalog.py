"""Maintenance of the routing table and the targets from published items.

Handles the case where a target restarts under the same id, an address is reused, an entry expires
while the store is unreachable, an entry comes from another writer, or items arrive out of order.
"""

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from hyssopproxy.engine import placement
from hyssopproxy.engine import state as states

# How long the revisions of removals are kept, so that older items that arrive late are ignored.
REMOVED_RETENTION_S = 30.0
# A target found later than this after the daemon's start is assumed to have just started.
STARTUP_S = 5.0


def apply(state: states.State, change: model.Change, now: float, out: list) -> bool:
    """Apply an item, unless this or a newer revision of it has been applied.

    Return False if it was ignored. An unknown item that is older than the data read so far has been
    removed since, and comes from a source that has not learnt of the removal.
    """
    sync = state.sync
    known_revision = sync.revisions.get(change.key) or max(
        sync.as_of or 0, sync.removed_revisions.get(change.key, 0)
    )
    if change.revision <= known_revision:
        return False
    put(state, change, now, out)
    return True


def put(state: states.State, change: model.Change, now: float, out: list) -> None:
    """Apply an item, whatever is known of its key."""
    sync = state.sync
    sync.held.pop(change.key, None)
    sync.revision = max(sync.revision, change.revision)
    error = change.error or _find_conflict(state, change)
    if error:
        state.counters["items_refused"] += 1
        out.append(effect.Log("item_refused", {"key": change.key, "reason": error}))
    if change.value is None or error:
        remove(state, change.key, change.revision, now, out)
        return
    sync.revisions[change.key] = change.revision
    sync.removed_revisions.pop(change.key, None)
    if isinstance(change.value, model.RoutingTable):
        _apply_table(state, change.value, now, out)
    elif isinstance(change.value, model.Evacuation):
        state.evacuated_domains[change.key] = change.value.failure_domain
        fields = {"failure_domain": change.value.failure_domain, "revision": change.revision}
        out.append(effect.Log("domain_out", fields))
    else:
        _apply_entry(state, change.key, change.value, now, out)


def _find_conflict(state: states.State, change: model.Change) -> str:
    """Return why an entry cannot come from the target that it names, or "" if it can.

    A target keeps its pool, address and failure domain for as long as it runs; each start has
    another time.
    """
    previous = state.targets.get(change.key)
    if previous is None or not isinstance(change.value, model.TargetEntry):
        return ""
    old, new = previous.entry, change.value
    if old.started_at_ms != new.started_at_ms:
        return ""
    for name in ("pool", "address", "failure_domain"):
        if getattr(old, name) != getattr(new, name):
            return f"{name} changes from {getattr(old, name)!r} within one incarnation"
    return ""


def _apply_table(state: states.State, table: model.RoutingTable, now: float, out: list) -> None:
    old_version = state.table.version if state.table else 0
    if table.version <= old_version:
        if table.version < old_version:
            fields = {"version": table.version, "in_force": old_version}
            out.append(effect.Log("configuration_older", fields))
        return
    state.table = table
    names = {route.name for route in table.routes}
    for name in set(state.route_statistics) - names:
        if not any(query.route.name == name for query in state.queries.values()):
            del state.route_statistics[name]
            state.split_deficits.pop(name, None)
    fields = {"version": table.version, "before": old_version, "routes": len(table.routes)}
    out.append(effect.Log("configuration", fields))


def _apply_entry(
    state: states.State, key: str, entry: model.TargetEntry, now: float, out: list
) -> None:
    previous = state.targets.get(key)
    if previous is not None and _is_same_incarnation(previous.entry, entry):
        was_draining = previous.entry.is_draining
        placement.update_target(previous, entry, now)
        if entry.is_draining and not was_draining:
            out.append(effect.Log("target_draining", {"target": entry.id, "pool": entry.pool}))
        return
    if previous is not None:
        _drop_target(state, key, out)
    has_just_started = now - state.started_at > STARTUP_S
    target = placement.create_target(state, entry, now, has_just_started)
    state.targets[key] = target
    state.targets_by_id[entry.id] = target
    state.pools.setdefault(entry.pool, {})[key] = target
    out.append(
        effect.Log(
            "target_found",
            {"target": entry.id, "pool": entry.pool, "address": entry.address},
        )
    )


def _is_same_incarnation(old: model.TargetEntry, new: model.TargetEntry) -> bool:
    return old.started_at_ms == new.started_at_ms


def remove(state: states.State, key: str, revision: int, now: float, out: list) -> None:
    """Apply the removal of an item; a target may still be picked for a short time."""
    sync = state.sync
    sync.revision = max(sync.revision, revision)
    sync.held.pop(key, None)
    sync.revisions.pop(key, None)
    sync.removed_revisions[key] = revision
    if state.evacuated_domains.pop(key, None) is not None:
        out.append(effect.Log("domain_back", {"key": key, "revision": revision}))
    target = state.targets.get(key)
    if target is not None and target.removed_at is None:
        target.removed_at = now
        out.append(effect.Log("target_gone", {"target": target.id, "revision": revision}))


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Delete targets that were removed more than `REMOVED_RETENTION_S` ago and are not closed."""
    for key, target in list(state.targets.items()):
        if target.removed_at is None or now <= target.closed_until:
            continue
        if now - target.removed_at > REMOVED_RETENTION_S:
            _drop_target(state, key, out)
            state.sync.removed_revisions.pop(key, None)


def _drop_target(state: states.State, key: str, out: list) -> None:
    target = state.targets.pop(key)
    if state.targets_by_id.get(target.id) is target:
        del state.targets_by_id[target.id]
    pool = state.pools.get(target.entry.pool, {})
    pool.pop(key, None)
    if not pool:
        state.pools.pop(target.entry.pool, None)
    out.append(effect.CloseTarget(target.id, target.entry.started_at_ms))
