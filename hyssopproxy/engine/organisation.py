"""Identifies the organisation of a caller by its key.

Handles keys that operators take away while their callers keep connections open or have requests
waiting: a request is checked on arrival, and again before anything is sent for it.
"""

from hyssopproxy.engine import model
from hyssopproxy.engine import state as states


def identify(table: model.RoutingTable, key_digest: bytes | None) -> model.Organisation | None:
    """Return the organisation that has the key, or None."""
    return table.key_owners.get(key_digest) if key_digest is not None else None


def is_allowed(
    table: model.RoutingTable, route: model.Route, organisation: model.Organisation | None
) -> bool:
    """Return whether a caller may use the route; None stands for a caller without a known key."""
    return organisation is not None or route.is_public or not table.requires_keys


def is_still_allowed(state: states.State, query: states.Query) -> bool:
    """Return whether the configuration in force still allows a request that was allowed before."""
    table = state.table
    if table is None or table.version == query.version:
        return True
    owner = identify(table, query.key_digest)
    if query.organisation is not None:
        return owner is not None and owner.name == query.organisation.name
    return is_allowed(table, query.route, owner)
