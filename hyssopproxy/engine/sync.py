"""Following the published data: listings, watches, and peers while the store is out of reach.

Answers outages of the store for all or for some daemons, lost answers, dropped history and
connections that fall silent. Versions only rise; an item is never replaced by an older one. One
daemon of each failure domain, the reader, watches the store, and the others watch the reader, so
that a change costs the store a few calls whatever the size of the fleet. A reader that fails to
read the store turns its followers away at once, and they read the store themselves.
"""

import zlib

from hyssopproxy.engine import catalog
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

PEER_RETRY_S = 3.0  # after a failed read of a reader, the store is asked for this long
WAIT_S = 1.0  # a waiting read; short, because a silent connection hides changes this long
GATHER_S = 0.25  # after a change, so that a series of changes takes few reads
PAGE_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 0.6  # over the time that the read waits
RETRY_S = 0.1
MAX_RETRY_S = 1.0
LAG_S = 0.5  # a peer may know of a change this long before the own read counts as stuck
FIRST_ANSWER_S = 0.6  # a daemon without data asks a peer when the store is silent this long


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Start the next read when none is in flight, or go to a peer that knows more."""
    sync = state.sync
    _note_lag(state, now)
    peer = _find_ahead(state, now) if _wants_peer(state, now) else None
    if peer is not None and sync.source != peer:
        sync.lagging_since = None
        state.counters["reads_of_peers"] += 1
        out.append(effect.Log("read_from_peer", {"peer": peer, "failures": sync.failures}))
        _list(state, peer, out)
        return
    if sync.read_no == 0 and now >= sync.next_read_at:
        _read(state, now, out)


def _read(state: states.State, now: float, out: list) -> None:
    sync = state.sync
    if sync.as_of is None:
        _list(state, state.settings.store, out)
        return
    sync.read_no = state.next_number()
    sync.source = _choose_source(state, now)
    out.append(
        effect.ReadChanges(
            read_no=sync.read_no,
            source=sync.source,
            is_store=sync.source == state.settings.store,
            after=sync.as_of,
            wait_s=WAIT_S,
            timeout_s=WAIT_S + ANSWER_TIMEOUT_S,
        )
    )


def _choose_source(state: states.State, now: float) -> str:
    """Return the store's address on the reader of a failure domain, else the reader's."""
    reader = find_reader(state, now)
    if reader == state.settings.ip or now < state.sync.peer_backoff_until:
        return state.settings.store
    return f"{reader}:{state.settings.control_port}"


def find_reader(state: states.State, now: float) -> str:
    """Return the IP number of the daemon that watches the store for this failure domain.

    The one with the widest link, as it passes each change on to all others, and among equals by
    rendezvous hashing over the daemons heard of lately; daemons that hear of different ones follow
    different readers, which costs calls and no freshness.
    """
    own = state.settings
    links = {own.ip: own.link_mbps}
    for one in membership.live_members(state, now):
        if one.failure_domain == own.failure_domain and one.version and not one.is_stale:
            links[one.ip] = one.link_mbps
    return max(links, key=lambda ip: (links[ip], zlib.crc32(ip.encode()), ip))


def _list(state: states.State, source: str, out: list) -> None:
    sync = state.sync
    sync.listing = states.Listing()
    sync.read_no = state.next_number()
    sync.source = source
    out.append(_read_page(state, None))


def _read_page(state: states.State, after: str | None) -> effect.ReadPage:
    sync = state.sync
    is_store = sync.source == state.settings.store
    return effect.ReadPage(sync.read_no, sync.source, is_store, after, PAGE_TIMEOUT_S)


def _note_lag(state: states.State, now: float) -> None:
    """Remember since when a peer has had newer data."""
    sync = state.sync
    if _find_ahead(state, now) is None:
        sync.lagging_since = None
    elif sync.lagging_since is None:
        sync.lagging_since = now


def _wants_peer(state: states.State, now: float) -> bool:
    sync = state.sync
    if sync.listing is not None and sync.source != state.settings.store:
        return False
    if state.table is None or sync.as_of is None:
        return now - state.started_at > FIRST_ANSWER_S
    return sync.lagging_since is not None and now - sync.lagging_since > LAG_S


def _find_ahead(state: states.State, now: float) -> str | None:
    """Return the control address of the live peer with the newest data, if newer than ours."""
    version = state.table.version if state.table else 0
    best = None
    best_rank = (version, state.sync.revision)
    for one in membership.live_members(state, now):
        rank = (one.version, one.revision)
        if one.version >= version and rank > best_rank:
            best, best_rank = one, rank
    return f"{best.ip}:{state.settings.control_port}" if best else None


def handle_page(state: states.State, page: event.PageRead, now: float, out: list) -> None:
    """Take in one page; after the last one, what was not listed is gone."""
    sync = state.sync
    if page.read_no != sync.read_no or sync.listing is None:
        return
    listing = sync.listing
    if listing.first_as_of is None:
        listing.first_as_of = page.as_of
    for change in page.changes:
        listing.seen[change.key] = change.revision
        catalog.apply(state, change, now, out)
    if page.next_after is not None:
        sync.read_no = state.next_number()
        out.append(_read_page(state, page.next_after))
        return
    for key, revision in list(sync.revisions.items()):
        if key not in listing.seen and revision <= listing.first_as_of:
            catalog.remove(state, key, listing.first_as_of, now, out)
    _succeed(state, now, out)
    sync.as_of = max(sync.as_of or 0, listing.first_as_of)
    sync.listing = None
    fields = {"source": sync.source, "as_of": sync.as_of, "items": len(listing.seen)}
    out.append(effect.Log("listed", fields))
    sync.source = ""


def handle_changes(state: states.State, read: event.ChangesRead, now: float, out: list) -> None:
    """Take in what changed."""
    sync = state.sync
    if read.read_no != sync.read_no:
        return
    source = sync.source
    for change in read.changes:
        catalog.apply(state, change, now, out)
    sync.as_of = max(sync.as_of or 0, read.as_of)
    _succeed(state, now, out)
    if read.changes and source == state.settings.store:
        sync.next_read_at = now + GATHER_S
    else:
        _read(state, now, out)


def _succeed(state: states.State, now: float, out: list) -> None:
    sync = state.sync
    sync.read_no = 0
    sync.next_read_at = now
    if sync.source != state.settings.store:
        if sync.listing is None:
            sync.last_synced_at = now
        return
    if sync.has_lost_store:
        out.append(effect.Log("store_back", {"silent_s": round(now - sync.last_synced_at, 2)}))
    sync.has_lost_store = False
    sync.failures = 0
    sync.last_synced_at = now


def handle_read_failed(
    state: states.State, failed: event.ReadFailed, now: float, out: list
) -> None:
    """Read again later; a dropped history is read anew from the start."""
    sync = state.sync
    if failed.read_no != sync.read_no:
        return
    sync.read_no = 0
    sync.listing = None
    if failed.is_compacted:
        out.append(effect.Log("history_dropped", {"after": sync.as_of}))
        _list(state, state.settings.store, out)
        return
    state.counters["reads_failed"] += 1
    is_store = sync.source == state.settings.store
    sync.source = ""
    if not is_store:
        sync.peer_backoff_until = now + PEER_RETRY_S
        sync.next_read_at = now
        return
    sync.failures += 1
    if sync.failures == 2:
        sync.has_lost_store = True
        out.append(effect.Log("store_lost", {"reason": failed.reason}))
    delay = min(MAX_RETRY_S, RETRY_S * 2 ** min(sync.failures, 6))
    sync.next_read_at = now + delay * (0.5 + state.rng.random())
