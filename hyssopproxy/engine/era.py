"""Eras of the published data.

Handles the case where the store returns from a copy that is some seconds old. Later writes are lost
and their revisions are given out again, so a revision says nothing about data of another era. The
store states its era; a larger number is newer.
"""

from hyssopproxy.engine import catalog
from hyssopproxy.engine import effect
from hyssopproxy.engine import state as states


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
    fields = {
        "source": sync.source,
        "era": listing.era,
        "era_before": sync.era,
        "as_of": listing.first_as_of,
        "as_of_before": sync.as_of,
    }
    known_keys = set(sync.revisions)
    sync.era = listing.era
    sync.as_of = 0
    sync.revision = 0
    sync.revisions = {}
    sync.removed_revisions = {}
    for change in listing.changes:
        catalog.apply(state, change, now, out)
    missing_keys = known_keys - listing.seen.keys()
    for key in missing_keys:
        catalog.remove(state, key, listing.first_as_of, now, out)
    sync.as_of = listing.first_as_of
    state.counters["store_returns"] += 1
    fields |= {"items": len(listing.seen), "missing": len(missing_keys)}
    out.append(effect.Log("store_returned", fields, is_urgent=True))
