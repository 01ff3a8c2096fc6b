"""Eras of the published data.

Handles the case where the store returns from a copy that is some seconds old. Later writes are lost
and their revisions are given out again, so a revision says nothing about data of another era. The
store states its era; a larger number is newer.

What the store lost is written again within a moment. Until then this daemon may know better than
the store: a target that drains or is gone stands in the copy as ready, and an evacuation that
operators have ordered is missing, or one that they have taken back is listed. Such changes are held
for some seconds, and dropped if the item is written again. Entries that are missing are removed at
once: their targets remain the last choice for as long as it takes to publish them again.
"""

from hyssopproxy.engine import catalog
from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states

# Time from the last confirmation of the copy until held changes are applied. It exceeds a short
# outage of the store and the time in which the store drops the entry of a target that is gone.
HOLD_S = 6.0


def resolve(stated: int | None, least_era: int, known_era: int, is_older: bool) -> int:
    """Return the era of a listing of the store.

    `stated` is what the store stated, None if that is missing or cannot be read. `least_era` is one
    that is known to have begun, `known_era` that of the copy. `is_older` says that the listing is
    of a lower revision than the copy: the store's reads are linearizable, so a store that states no
    era has returned from an older copy.
    """
    if stated is not None:
        return stated
    if least_era > known_era:
        return least_era
    return known_era + is_older


def begin(state: states.State, listing: states.Listing, now: float, out: list) -> None:
    """Replace the published data by a complete listing of a newer era."""
    sync = state.sync
    held = _find_held(state, listing, now)
    fields = {
        "source": sync.source,
        "era": listing.era,
        "era_before": sync.era,
        "as_of": listing.first_as_of,
        "as_of_before": sync.as_of,
    }
    known_keys = {*sync.revisions, *state.evacuated_domains}
    sync.era = listing.era
    sync.as_of = 0
    sync.revision = 0
    sync.revisions = {}
    sync.removed_revisions = {}
    sync.held = {}
    for change in listing.changes:
        if change.key in held:
            sync.revisions[change.key] = change.revision
            sync.revision = max(sync.revision, change.revision)
        else:
            catalog.apply(state, change, now, out)
    missing_keys = known_keys - listing.seen.keys()
    for key in missing_keys - held.keys():
        catalog.remove(state, key, listing.first_as_of, now, out)
    sync.held = held
    sync.as_of = listing.first_as_of
    state.counters["store_returns"] += 1
    fields |= {"items": len(listing.seen), "missing": len(missing_keys), "held": sorted(held)}
    out.append(effect.Log("store_returned", fields, is_urgent=True))


def _find_held(
    state: states.State, listing: states.Listing, now: float
) -> dict[str, states.HeldChange]:
    """Return the changes of a listing to hold, by key."""
    sync = state.sync
    until = sync.last_synced_at + HOLD_S
    if now >= until:
        return {}
    changes = [change for change in listing.changes if _may_be_outdated(state, change)]
    changes += [
        model.Change(key, listing.first_as_of, None)
        for key in state.evacuated_domains
        if key not in listing.seen
    ]
    return {change.key: states.HeldChange(change, until) for change in changes}


def _may_be_outdated(state: states.State, change: model.Change) -> bool:
    """Return whether a listed item may precede what this daemon knows from the era before.

    An item with a higher revision than the newest one known of its key was written after it: the
    copy that the store returned from holds no such revision.
    """
    sync = state.sync
    known_revision = max(
        sync.revisions.get(change.key, 0), sync.removed_revisions.get(change.key, 0)
    )
    held = sync.held.get(change.key)
    is_held = held is not None and change.revision <= held.change.revision
    if change.revision >= known_revision and not is_held:
        return False
    if isinstance(change.value, model.Evacuation):
        return change.key not in state.evacuated_domains
    if isinstance(change.value, model.TargetEntry):
        return _undoes(state.targets.get(change.key), change.value)
    return False


def _undoes(target: states.Target | None, entry: model.TargetEntry) -> bool:
    """Return whether an entry would end that a target is gone or drains, or an incarnation."""
    if target is None or entry.started_at_ms > target.entry.started_at_ms:
        return False
    if target.removed_at is not None or entry.started_at_ms < target.entry.started_at_ms:
        return True
    return target.entry.is_draining and not entry.is_draining


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Apply the held changes whose time has ended."""
    for held in list(state.sync.held.values()):
        if now >= held.until:
            out.append(effect.Log("held_change_applied", {"key": held.change.key}))
            catalog.put(state, held.change, now, out)
