"""Keeps a copy of the published data up to date, by listings and watches of the store or a peer.

Handles the case where the store is unreachable for all or some daemons, answers are lost, the
requested history was compacted, or a connection delivers no more data without being closed.
Revisions only increase: an item is never replaced by an older revision of it. One daemon of each
failure domain, the reader, watches the store, and the others watch the reader, so that a change
costs the store a few calls whatever the size of the fleet. A reader that cannot read the store
rejects the reads of its followers immediately, and they read the store themselves.
"""

import zlib

from hyssopproxy.engine import catalog
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

PEER_BACKOFF_S = 3.0  # the store is read for this long after a failed read of a peer
LONG_POLL_S = 1.0  # wait of a watch; short, as a dead connection hides changes for this long
BATCH_DELAY_S = 0.25  # delay after a change, so that a burst of changes causes few reads
PAGE_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 0.6  # time for the response to a watch, in addition to its wait
RETRY_S = 0.1
MAX_RETRY_S = 1.0
MAX_LAG_S = 0.5  # time that a peer may be ahead before the read in flight counts as stuck
FIRST_READ_TIMEOUT_S = 0.6  # time after a start until a daemon without data reads a peer


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Start the next read if none is in flight, or read a peer that has newer data."""
    sync = state.sync
    _update_lag(state, now)
    peer = _find_newer_peer(state, now) if _should_read_peer(state, now) else None
    if peer is not None and sync.source != peer:
        sync.lagging_since = None
        state.counters["reads_of_peers"] += 1
        out.append(effect.Log("read_from_peer", {"peer": peer, "failures": sync.failures}))
        _start_listing(state, peer, out)
        return
    if sync.read_no == 0 and now >= sync.next_read_at:
        _start_read(state, now, out)


def _start_read(state: states.State, now: float, out: list) -> None:
    sync = state.sync
    if sync.as_of is None:
        _start_listing(state, state.settings.store, out)
        return
    sync.read_no = state.next_number()
    sync.source = _choose_source(state, now)
    out.append(
        effect.ReadChanges(
            read_no=sync.read_no,
            source=sync.source,
            is_store=sync.source == state.settings.store,
            after=sync.as_of,
            wait_s=LONG_POLL_S,
            timeout_s=LONG_POLL_S + RESPONSE_TIMEOUT_S,
        )
    )


def _choose_source(state: states.State, now: float) -> str:
    """Return the address to watch: the reader's, or the store's if this daemon is the reader.

    For `PEER_BACKOFF_S` after a failed read of a peer, it is the store's address.
    """
    reader = find_reader(state, now)
    if reader == state.settings.ip or now < state.sync.peer_backoff_until:
        return state.settings.store
    return f"{reader}:{state.settings.control_port}"


def find_reader(state: states.State, now: float) -> str:
    """Return the IP address of the daemon that watches the store for this failure domain.

    It is the live daemon with the highest link bandwidth, as it passes each change on to all
    others; ties are broken by rendezvous hashing. Other daemons without data or with stale data are
    not eligible. Daemons that know of different live members may follow different readers, which
    costs additional calls but does not delay changes.
    """
    settings = state.settings
    links = {settings.ip: settings.link_mbps}
    for member in membership.live_members(state, now):
        if (
            member.failure_domain == settings.failure_domain
            and member.version
            and not member.is_stale
        ):
            links[member.ip] = member.link_mbps
    return max(links, key=lambda ip: (links[ip], zlib.crc32(ip.encode()), ip))


def _start_listing(state: states.State, source: str, out: list) -> None:
    sync = state.sync
    sync.listing = states.Listing()
    sync.read_no = state.next_number()
    sync.source = source
    out.append(_make_page_read(state, None))


def _make_page_read(state: states.State, after: str | None) -> effect.ReadPage:
    sync = state.sync
    is_store = sync.source == state.settings.store
    return effect.ReadPage(sync.read_no, sync.source, is_store, after, PAGE_TIMEOUT_S)


def _update_lag(state: states.State, now: float) -> None:
    """Record since when a peer has had newer data."""
    sync = state.sync
    if _find_newer_peer(state, now) is None:
        sync.lagging_since = None
    elif sync.lagging_since is None:
        sync.lagging_since = now


def _should_read_peer(state: states.State, now: float) -> bool:
    sync = state.sync
    if sync.listing is not None and sync.source != state.settings.store:
        return False
    if state.table is None or sync.as_of is None:
        return now - state.started_at > FIRST_READ_TIMEOUT_S
    return sync.lagging_since is not None and now - sync.lagging_since > MAX_LAG_S


def _find_newer_peer(state: states.State, now: float) -> str | None:
    """Return the control address of the live peer with the newest data, None if it is not newer."""
    version = state.table.version if state.table else 0
    best = None
    best_rank = (version, state.sync.revision)
    for member in membership.live_members(state, now):
        rank = (member.version, member.revision)
        if member.version >= version and rank > best_rank:
            best, best_rank = member, rank
    return f"{best.ip}:{state.settings.control_port}" if best else None


def handle_page(state: states.State, page: event.PageRead, now: float, out: list) -> None:
    """Apply a page of a listing; after the last one, remove the items that were not listed."""
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
        out.append(_make_page_read(state, page.next_after))
        return
    for key, revision in list(sync.revisions.items()):
        if key not in listing.seen and revision <= listing.first_as_of:
            catalog.remove(state, key, listing.first_as_of, now, out)
    _record_success(state, now, out)
    sync.as_of = max(sync.as_of or 0, listing.first_as_of)
    sync.listing = None
    fields = {"source": sync.source, "as_of": sync.as_of, "items": len(listing.seen)}
    out.append(effect.Log("listed", fields))
    sync.source = ""


def handle_changes(state: states.State, read: event.ChangesRead, now: float, out: list) -> None:
    """Apply changes and continue the watch."""
    sync = state.sync
    if read.read_no != sync.read_no:
        return
    source = sync.source
    for change in read.changes:
        catalog.apply(state, change, now, out)
    sync.as_of = max(sync.as_of or 0, read.as_of)
    _record_success(state, now, out)
    if read.changes and source == state.settings.store:
        sync.next_read_at = now + BATCH_DELAY_S
    else:
        _start_read(state, now, out)


def _record_success(state: states.State, now: float, out: list) -> None:
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
    """Schedule a retry, or start a new listing if the history was compacted."""
    sync = state.sync
    if failed.read_no != sync.read_no:
        return
    sync.read_no = 0
    sync.listing = None
    if failed.is_compacted:
        out.append(effect.Log("history_dropped", {"after": sync.as_of}))
        _start_listing(state, state.settings.store, out)
        return
    state.counters["reads_failed"] += 1
    is_store = sync.source == state.settings.store
    sync.source = ""
    if not is_store:
        sync.peer_backoff_until = now + PEER_BACKOFF_S
        sync.next_read_at = now
        return
    sync.failures += 1
    if sync.failures == 2:
        sync.has_lost_store = True
        out.append(effect.Log("store_lost", {"reason": failed.reason}))
    delay = min(MAX_RETRY_S, RETRY_S * 2 ** min(sync.failures, 6))
    sync.next_read_at = now + delay * (0.5 + state.rng.random())
