"""Keeps a copy of the published data up to date, by listings and watches of the store or a peer.

Handles the case where the store is unreachable for all or some daemons, answers are lost, the
requested history was compacted, or a connection delivers no more data without being closed.
Revisions only increase within an era: an item is never replaced by an older revision of it. Data of
a newer era replace the copy as a whole (`era`), data of an older one are refused.

One daemon of each failure domain, the reader, watches the store, and the others follow it, so that
the calls to the store do not grow with the fleet. Each answer of a peer states the age of its data,
so any daemon whose data are current may be followed, and daemons that disagree on the reader still
read the store no more often. A daemon that cannot vouch for its data turns its followers away
immediately. They try the next daemon, and only then the store, spread over a time that grows with
the failure domain: whatever the store refuses, its calls per second stay bounded, and the first
daemon that it serves is followed by the others.
"""

import zlib

from hyssopproxy.engine import catalog
from hyssopproxy.engine import effect
from hyssopproxy.engine import era as eras
from hyssopproxy.engine import event
from hyssopproxy.engine import membership
from hyssopproxy.engine import state as states

FRESH_S = 1.8  # older data are not passed on to followers; exceeds a watch and its timeout
PEER_BACKOFF_S = 3.0  # a peer that gave no answer is not read again for this long
REFUSED_BACKOFF_S = 0.5  # the same for a peer that could not vouch for its data
PEER_INTERVAL_S = 0.25  # between reads of peers, once several in a row failed
MIN_RENEWAL_S = 0.2  # followers that wait are told only of data confirmed this much later
PEERS_BEFORE_STORE = 2  # consecutive failed reads of peers after which the store is read
QUICK_READERS = 2  # daemons of a failure domain that retry the store without further delay
STORE_SPREAD_S = 0.05  # delay of the others' reads of the store, times the size of the domain
MAX_SPREAD_FAILURES = 3  # further failures of this daemon do not increase the delay
LONG_POLL_S = 1.0  # wait of a watch; short, as a dead connection hides changes for this long
BATCH_DELAY_S = 0.25  # delay after a change, so that a burst of changes causes few reads
# Delay of the first watch after a start, in which most daemons learn of their reader.
FIRST_WATCH_DELAY_S = 0.5
PAGE_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 0.6  # time for the response to a watch, in addition to its wait
RETRY_S = 0.1
MAX_RETRY_S = 1.0
MAX_LAG_S = 0.5  # time that a peer may be ahead before the read in flight counts as stuck
FIRST_READ_TIMEOUT_S = 0.6  # time after a start until a daemon without data reads a peer


def may_serve_followers(state: states.State, now: float) -> bool:
    """Return whether this daemon can vouch for its data, so that others may follow it."""
    return state.sync.as_of is not None and state.sync.is_current(FRESH_S, now)


def data_age_s(state: states.State, now: float) -> float:
    """Return how long ago this daemon's data were known to be current."""
    return now - state.sync.last_synced_at


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Start the next read if none is in flight, or read a peer that has newer data."""
    sync = state.sync
    _update_lag(state, now)
    peer = _find_newer_peer(state, now) if _should_read_peer(state, now) else None
    if peer is not None and sync.source != peer:
        sync.lagging_since = None
        state.counters["reads_of_peers"] += 1
        out.append(effect.Log("read_from_peer", {"peer": peer, "failures": sync.failures}))
        _start_read_from(state, peer, out)
        return
    if sync.read_no == 0 and now >= sync.next_read_at:
        _start_read(state, now, out)


def _start_read(state: states.State, now: float, out: list) -> None:
    sync = state.sync
    source = state.settings.store if sync.as_of is None else _choose_source(state, now)
    if source == state.settings.store and now < sync.store_retry_at:
        return
    _start_read_from(state, source, out)


def _start_read_from(state: states.State, source: str, out: list) -> None:
    """Watch a source, or list its items if this daemon has no data."""
    sync = state.sync
    if sync.as_of is None:
        _start_listing(state, source, out)
        return
    sync.listing = None
    sync.read_no = state.next_number()
    sync.source = source
    out.append(
        effect.ReadChanges(
            read_no=sync.read_no,
            source=source,
            is_store=source == state.settings.store,
            after=sync.as_of,
            wait_s=LONG_POLL_S,
            timeout_s=LONG_POLL_S + RESPONSE_TIMEOUT_S,
            era=sync.era,
        )
    )


def _choose_source(state: states.State, now: float) -> str:
    """Return the address to watch: a daemon's, or the store's.

    The store is read by the reader itself, and by others after several peers failed.
    """
    sync = state.sync
    is_store_due = now >= sync.store_retry_at
    if sync.peer_failures >= PEERS_BEFORE_STORE and is_store_due:
        return state.settings.store
    reader = find_reader(state, now, includes_self=is_store_due)
    if reader == state.settings.ip:
        return state.settings.store
    return f"{reader}:{state.settings.control_port}"


def find_reader(state: states.State, now: float, includes_self: bool = True) -> str:
    """Return the IP address of the daemon that watches the store for this failure domain.

    It is the live daemon with the highest link bandwidth, as it passes each change on to all
    others; ties are broken by rendezvous hashing. Other daemons are not eligible without data, with
    stale data or data of an older era, or for some time after a read of them failed. Daemons that
    know of different live members may follow different daemons. Without `includes_self`, this
    daemon is the last choice.
    """
    settings = state.settings
    links = {settings.ip: settings.link_mbps} if includes_self else {}
    for member in membership.live_members(state, now):
        if (
            member.failure_domain == settings.failure_domain
            and (member.version or member.revision)
            and not member.is_stale
            and member.era >= state.sync.era
            and now >= state.sync.avoided_peers.get(member.ip, states.NEVER)
        ):
            links[member.ip] = member.link_mbps
    return max(links, key=lambda ip: _rank(ip, links[ip]), default=settings.ip)


def _rank(ip: str, link_mbps: float) -> tuple:
    return (link_mbps, zlib.crc32(ip.encode()), ip)


def _store_delay_s(state: states.State, now: float) -> float:
    """Return a random delay before this daemon reads a store that others could not read.

    The delays spread over a time that grows with the failure domain and with each failure, except
    for the daemons that would be readers first.
    """
    settings = state.settings
    spread_s = STORE_SPREAD_S * (1 + min(state.sync.failures, MAX_SPREAD_FAILURES))
    own_rank = _rank(settings.ip, settings.link_mbps)
    domain_ranks = [
        _rank(member.ip, member.link_mbps)
        for member in membership.live_members(state, now)
        if member.failure_domain == settings.failure_domain
    ]
    if sum(rank > own_rank for rank in domain_ranks) < QUICK_READERS:
        return 0.0
    return spread_s * len(domain_ranks) * state.rng.random()


def _start_listing(
    state: states.State, source: str, out: list, least_era: int | None = None
) -> None:
    sync = state.sync
    sync.listing = states.Listing(sync.era if least_era is None else least_era)
    sync.read_no = state.next_number()
    sync.source = source
    out.append(_make_page_read(state, None))


def _make_page_read(state: states.State, after: str | None) -> effect.ReadPage:
    sync = state.sync
    is_store = sync.source == state.settings.store
    return effect.ReadPage(
        sync.read_no, sync.source, is_store, after, PAGE_TIMEOUT_S, sync.listing.era
    )


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
    """Return the control address of the live peer with the newest data, None if it is not newer.

    Data of a newer era are newer, whatever their version and revision. Peers of this failure domain
    are preferred.
    """
    best = None
    best_rank: tuple = ()
    for member in membership.live_members(state, now):
        if not _is_newer(state, member):
            continue
        is_local = member.failure_domain == state.settings.failure_domain
        rank = (member.era, member.version, member.revision, is_local)
        if rank > best_rank:
            best, best_rank = member, rank
    return f"{best.ip}:{state.settings.control_port}" if best else None


def _is_newer(state: states.State, member: states.Member) -> bool:
    """Return whether the data of a peer are newer than this daemon's."""
    if member.era != state.sync.era:
        return member.era > state.sync.era
    version = state.table.version if state.table else 0
    revision = state.sync.revision
    return member.version >= version and (member.version, member.revision) > (version, revision)


def handle_page(state: states.State, page: event.PageRead, now: float, out: list) -> None:
    """Apply a page of a listing; after the last one, remove the items that were not listed.

    A listing of a newer era is applied after its last page.
    """
    sync = state.sync
    if page.read_no != sync.read_no or sync.listing is None:
        return
    listing = sync.listing
    page_era = listing.era if page.era is None else page.era
    if page_era < listing.era or (listing.first_as_of is not None and page_era > listing.era):
        _handle_other_era(state, page.read_no, page_era, now, out)
        return
    if listing.first_as_of is None:
        listing.first_as_of = page.as_of
        listing.era = page_era
        if sync.as_of is None and not sync.revisions:
            sync.era = page_era
    is_new_era = listing.era > sync.era
    for change in page.changes:
        listing.seen[change.key] = change.revision
        if is_new_era:
            listing.changes.append(change)
        elif not catalog.apply(state, change, now, out):
            listing.ignored += change.revision != sync.revisions.get(change.key)
    if page.next_after is not None:
        sync.read_no = state.next_number()
        out.append(_make_page_read(state, page.next_after))
        return
    is_first = sync.as_of is None
    if is_new_era:
        eras.begin(state, listing, now, out)
    else:
        for key, revision in list(sync.revisions.items()):
            if key not in listing.seen and revision <= listing.first_as_of:
                catalog.remove(state, key, listing.first_as_of, now, out)
        sync.as_of = max(sync.as_of or 0, listing.first_as_of)
    sync.listing = None
    _record_success(state, page.age_s, True, now, out)
    if is_first and not membership.has_settled(state, now):
        sync.next_read_at = now + FIRST_WATCH_DELAY_S
    fields = {
        "source": sync.source,
        "era": sync.era,
        "as_of": listing.first_as_of,
        "copy_as_of": sync.as_of,
        "items": len(listing.seen),
        "ignored": listing.ignored,
    }
    out.append(effect.Log("listed", fields))
    sync.source = ""


def _handle_other_era(state: states.State, read_no: int, era: int, now: float, out: list) -> None:
    """List the items of a source whose era is newer than this daemon's; refuse older data."""
    is_newer = era > state.sync.era
    reason = f"era {era} instead of {state.sync.era}"
    failed = event.ReadFailed(read_no, reason, is_newer, not is_newer, era)
    handle_read_failed(state, failed, now, out)


def handle_changes(state: states.State, read: event.ChangesRead, now: float, out: list) -> None:
    """Apply changes and continue the watch."""
    sync = state.sync
    if read.read_no != sync.read_no:
        return
    if read.era is not None and read.era != sync.era:
        _handle_other_era(state, read.read_no, read.era, now, out)
        return
    source = sync.source
    _log_gap(read, sync.as_of or 0, source, out)
    for change in read.changes:
        catalog.apply(state, change, now, out)
    sync.as_of = max(sync.as_of or 0, read.as_of)
    _record_success(state, read.age_s, bool(read.changes), now, out)
    if read.changes and source == state.settings.store:
        sync.next_read_at = now + BATCH_DELAY_S
    else:
        _start_read(state, now, out)


def _log_gap(read: event.ChangesRead, after: int, source: str, out: list) -> None:
    """Log a watch with fewer changes than revisions: some were superseded, or lost on the way."""
    if len(read.changes) < read.as_of - after:
        fields = {
            "source": source,
            "after": after,
            "as_of": read.as_of,
            "changes": len(read.changes),
        }
        out.append(effect.Log("changes_skipped", fields))


def _record_success(
    state: states.State, age_s: float, has_changes: bool, now: float, out: list
) -> None:
    """Record a read; followers are answered if there is anything new for them.

    Daemons that follow each other would otherwise answer each other without end.
    """
    sync = state.sync
    sync.read_no = 0
    sync.next_read_at = now
    sync.peer_failures = 0
    is_renewed = now - age_s >= sync.last_synced_at + MIN_RENEWAL_S
    sync.last_synced_at = max(sync.last_synced_at, now - age_s)
    if sync.source == state.settings.store:
        sync.failures = 0
        sync.store_retry_at = states.NEVER
        if sync.lost_store_at is not None:
            fields = {"after_s": round(now - sync.lost_store_at, 2)}
            out.append(effect.Log("store_back", fields))
            sync.lost_store_at = None
    elif (member := state.members.get(_ip(sync.source))) is not None:
        member.last_seen_at = now
        member.era = sync.era
    if is_renewed or has_changes:
        out.append(effect.AnswerFollowers())


def _ip(source: str) -> str:
    return source.rpartition(":")[0]


def handle_read_failed(
    state: states.State, failed: event.ReadFailed, now: float, out: list
) -> None:
    """Choose when and from where to read next; after compacted history, start a new listing."""
    sync = state.sync
    if failed.read_no != sync.read_no:
        return
    sync.read_no = 0
    sync.listing = None
    source, sync.source = sync.source, ""
    if failed.is_compacted:
        out.append(effect.Log("history_dropped", {"after": sync.as_of, "source": source}))
        _start_listing(state, source, out, max(sync.era, failed.era))
        return
    state.counters["reads_failed"] += 1
    if source != state.settings.store:
        _record_peer_failure(state, _ip(source), failed.is_refused, now)
        return
    sync.failures += 1
    sync.peer_failures = 0
    sync.store_failed_at = now
    out.append(effect.AnswerFollowers())
    if sync.failures == 2:
        sync.lost_store_at = now
        out.append(effect.Log("store_lost", {"reason": failed.reason}))
    delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(sync.failures, 6))
    delay_s = delay_s * (0.5 + state.rng.random()) + _store_delay_s(state, now)
    sync.store_retry_at = now + delay_s
    sync.next_read_at = now


def _record_peer_failure(state: states.State, ip: str, is_refused: bool, now: float) -> None:
    """Try another peer next, and the store after several; from then on, peers only now and then."""
    sync = state.sync
    sync.avoided_peers = {peer: at for peer, at in sync.avoided_peers.items() if at > now}
    sync.avoided_peers[ip] = now + (REFUSED_BACKOFF_S if is_refused else PEER_BACKOFF_S)
    sync.peer_failures += 1
    if sync.peer_failures == PEERS_BEFORE_STORE:
        sync.store_retry_at = max(sync.store_retry_at, now + _store_delay_s(state, now))
    is_store_next = sync.peer_failures >= PEERS_BEFORE_STORE and now >= sync.store_retry_at
    is_paced = sync.peer_failures >= PEERS_BEFORE_STORE and not is_store_next
    sync.next_read_at = now + (PEER_INTERVAL_S if is_paced else 0.0)
