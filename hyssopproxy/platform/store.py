"""Reads published items from the metadata store, or from a peer that caches and serves them.

One daemon of each failure domain, the reader, watches the store; the other daemons of the domain,
the followers, watch the reader or each other through the same protocol.
"""

import asyncio
import functools
import math
import typing
import urllib.parse
import zlib

import msgspec

from hyssopproxy import limit
from hyssopproxy.engine import effect
from hyssopproxy.engine import era as eras
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import sync
from hyssopproxy.platform import document
from hyssopproxy.platform import header
from hyssopproxy.transport import buffer
from hyssopproxy.transport import client
from hyssopproxy.transport import message
from hyssopproxy.transport import server

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
CONNECT_TIMEOUT_S = 0.5
MAX_PAGE_ITEMS = 400
ERA_FIELD = "era"  # of a follower's watch: in which era its revision is valid
AGE_HEADER = b"data-age-ms"  # of a daemon's response: how long ago its data were current
COMPRESS_BYTES = 2048  # minimum size for compression; links between VMs may be slow
COMPRESS_LEVEL = 1  # fastest
MAX_AGE_S = 100_000.0  # states that the data were never known to be current
MAX_WAIT_MS = 30_000  # longest wait of a watch
MAX_TOMBSTONES = 500  # removals kept for followers that have not received them yet

_DEFLATE = b"deflate"


class ItemCache:
    """Newest revision of each item that was read in one era; served to followers."""

    def __init__(self) -> None:
        self.era = 0
        self.items: dict[str, document.Item] = {}
        self.tombstones: dict[str, document.Item] = {}
        self.as_of = 0  # the cache is complete up to this revision; 0 before the first listing
        self.compacted_revision = 0  # removals up to this revision are unknown

    def update(self, items: typing.Iterable[document.Item], as_of: int | None = None) -> None:
        """Store items and tombstones; ignore those not newer than the cached revision.

        An unknown item that is not newer than the whole cache has been removed since; its source
        has missed the removal. `as_of` is None for a page of a listing, which is not complete by
        itself.
        """
        complete_revision = self.as_of
        if as_of is not None:
            self.as_of = max(self.as_of, as_of)
        for item in items:
            cached = self.items.get(item.key) or self.tombstones.get(item.key)
            known_revision = complete_revision if cached is None else cached.revision
            if item.revision <= known_revision:
                continue
            if item.removed or item.value is None:
                self.items.pop(item.key, None)
                self.tombstones[item.key] = item
            else:
                self.tombstones.pop(item.key, None)
                self.items[item.key] = item
        self._prune_tombstones()

    def remove_unlisted(self, keys: set[str], as_of: int) -> None:
        """Complete a listing: remove items that are absent from it and not newer than it."""
        for key, item in list(self.items.items()):
            if key not in keys and item.revision <= as_of:
                del self.items[key]
        self.compacted_revision = max(self.compacted_revision, as_of)
        self.as_of = max(self.as_of, as_of)

    def restart(self, era: int, items: typing.Iterable[document.Item], as_of: int) -> None:
        """Replace everything by a complete listing of another era."""
        self.era = era
        self.items = {item.key: item for item in items}
        self.tombstones = {}
        self.as_of = self.compacted_revision = as_of

    def _prune_tombstones(self) -> None:
        """Drop the oldest tombstones in excess of the limit."""
        while len(self.tombstones) > MAX_TOMBSTONES:
            oldest = min(self.tombstones.values(), key=lambda item: item.revision)
            self.compacted_revision = max(self.compacted_revision, oldest.revision)
            del self.tombstones[oldest.key]

    def changes_since(self, revision: int) -> document.Events:
        """Return the changes after a revision."""
        changed_items = [
            item
            for item in (*self.items.values(), *self.tombstones.values())
            if item.revision > revision
        ]
        changed_items.sort(key=lambda item: item.revision)
        return document.Events(tuple(changed_items), self.as_of)

    def page_after(self, after: str) -> document.Page:
        """Return the page of items that follows a key, in key order."""
        keys = sorted(key for key in self.items if key > after)
        page_items = tuple(self.items[key] for key in keys[:MAX_PAGE_ITEMS])
        return document.Page(page_items, self.as_of, len(keys) > MAX_PAGE_ITEMS)


class StoreClient:
    """Reads from the store or from peers, over one connection per source.

    The connection is closed if a request on it gets no response.
    """

    def __init__(
        self,
        post: typing.Callable[[typing.Any], None],
        cache: ItemCache,
        limits: limit.ResponseLimits,
        account: buffer.Account,
    ) -> None:
        self._post = post
        self._cache = cache
        self._limits = limits
        self._account = account
        self._idle: dict[str, client.Connection] = {}
        self._newest_read_no = 0
        # Of the listing in progress.
        self._listed_keys: set[str] = set()
        self._listed_as_of: int | None = None
        self._listed_era = 0
        self._listed_items: list[document.Item] = []  # of a newer era than the cache's

    async def read_page(self, read: effect.ReadPage) -> None:
        """Read one page of a listing of all items."""
        query = {"pathPrefix": ""}
        if read.after is not None:
            query["after"] = read.after
        path = f"{RANGE_PATH}?{urllib.parse.urlencode(query)}"
        decoded = await self._read(read, path, document.decode_page)
        if decoded is None:
            return
        page, age_s, era = decoded
        if read.after is None:
            self._start_listing(read, page, era)
        elif era is not None and era != self._listed_era:
            self._fail(read, "the era changed during the listing", is_compacted=True)
            return
        self._listed_keys.update(item.key for item in page.items)
        if self._listed_era > self._cache.era:
            self._listed_items.extend(page.items)
        elif self._listed_era == self._cache.era:
            self._cache.update(page.items)
        if page.more_pages and not page.items and page.unread:
            self._fail(read, "garbled: a page without an item that can be read")
            return
        next_after = page.items[-1].key if page.more_pages and page.items else None
        if next_after is None:
            self._complete_listing()
        changes = _decode(page.items, page.unread, self._listed_as_of)
        self._post(
            event.PageRead(read.read_no, changes, page.as_of, next_after, age_s, self._listed_era)
        )

    def _start_listing(
        self, read: effect.ReadPage, page: document.Page, stated_era: int | None
    ) -> None:
        self._listed_keys = set()
        self._listed_items = []
        self._listed_as_of = page.as_of
        is_older = page.as_of < self._cache.as_of
        self._listed_era = eras.resolve(stated_era, read.era, self._cache.era, is_older)

    def _complete_listing(self) -> None:
        """Update the cache, unless the listing is of an older era."""
        if self._listed_era > self._cache.era:
            self._cache.restart(self._listed_era, self._listed_items, self._listed_as_of)
        elif self._listed_era == self._cache.era:
            self._cache.remove_unlisted(self._listed_keys, self._listed_as_of)
        self._listed_items = []

    async def read_changes(self, read: effect.ReadChanges) -> None:
        """Watch for changes (long poll)."""
        query = {"pathPrefix": "", "after": read.after, "waitMs": int(read.wait_s * 1000)}
        if not read.is_store:
            query[ERA_FIELD] = read.era
        path = f"{WATCH_PATH}?{urllib.parse.urlencode(query)}"
        decoded = await self._read(read, path, document.decode_events)
        if decoded is None:
            return
        events, age_s, era = decoded
        if era is None:
            era = read.era
        if era == self._cache.era:
            self._cache.update(events.events, events.as_of)
        changes = _decode(events.events, events.unread, events.as_of)
        self._post(event.ChangesRead(read.read_no, changes, events.as_of, age_s, era))

    async def _read(
        self,
        read: effect.ReadPage | effect.ReadChanges,
        path: str,
        decode: typing.Callable[[bytes], typing.Any],
    ) -> tuple[typing.Any, float, int | None] | None:
        """Return the decoded body of a 200 response, the age of its data in seconds and their era.

        The era is None if the store states none; a daemon that states none is of an older version.
        Return None after posting a failure, and for a read that the engine has abandoned for a
        newer one: its late page would mix two listings.
        """
        self._newest_read_no = max(self._newest_read_no, read.read_no)
        response = await self._call(read, path)
        if response is None or read.read_no < self._newest_read_no:
            return None
        try:
            body = decompress(response, self._limits.body_bytes)
            era = parse_era(response)
            if read.is_store:
                return decode(body), 0.0, era
            return decode(body), parse_age_s(response), era or 0
        except (zlib.error, *document.DECODE_ERRORS) as error:
            self._fail(read, f"garbled: {str(error)[:160]}")
            return None

    async def _call(
        self, read: effect.ReadPage | effect.ReadChanges, path: str
    ) -> message.Response | None:
        """Return a 200 response, or None after posting a failure."""
        connection = None
        try:
            async with asyncio.timeout(read.timeout_s):
                connection = await self._connect(read.source)
                response = await _exchange(connection, read.source, path)
        except TimeoutError:
            if connection is not None:
                connection.close()
            self._fail(read, "timed out")
            return None
        except _TooLargeError as error:
            # The missed changes only become more; a listing holds the newest of each key.
            self._fail(read, str(error), is_compacted=isinstance(read, effect.ReadChanges))
            return None
        except OSError as error:
            self._fail(read, f"{type(error).__name__}: {error}")
            return None
        self._idle[read.source] = connection
        if response.status != 200:
            status = response.status
            self._fail(read, f"status {status}", status == 410, status == 503)
            return None
        return response

    async def _connect(self, source: str) -> client.Connection:
        idle = self._idle.pop(source, None)
        if idle is not None:
            if idle.is_open():
                return idle
            idle.close()
        host, _, port = source.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(self._make_connection, host, int(port))
        return connection

    def _make_connection(self) -> client.Connection:
        return client.Connection(self._limits, self._account)

    def _fail(
        self,
        read: effect.ReadPage | effect.ReadChanges,
        reason: str,
        is_compacted: bool = False,
        is_refused: bool = False,
    ) -> None:
        self._post(event.ReadFailed(read.read_no, reason, is_compacted, is_refused))


class _TooLargeError(ConnectionError):
    """The response exceeds a limit."""


async def _exchange(connection: client.Connection, source: str, path: str) -> message.Response:
    """Send a GET request and return the response; raise ConnectionError if there is none."""
    future = asyncio.get_running_loop().create_future()

    def finish(response: message.Response | None, failure: client.Failure | None) -> None:
        if not future.done():
            future.set_result(response or failure)

    head = f"GET {path} HTTP/1.1\r\nHost: {source}\r\n\r\n"
    connection.send(head.encode(), finish)
    result = await future
    if result is client.Failure.TOO_LARGE:
        raise _TooLargeError(f"no response: {result.value}")
    if isinstance(result, client.Failure):
        raise ConnectionError(f"no response: {result.value}")
    return result


def _decode(
    items: typing.Iterable[document.Item], unread: int, as_of: int
) -> tuple[model.Change, ...]:
    """Return the changes that the items make; items that could not be read are one more."""
    changes = [change for change in map(document.decode_item, items) if change is not None]
    if unread:
        reason = f"{unread} items could not be read"
        changes.append(model.Change(document.UNREAD_KEY, as_of, None, error=reason))
    return tuple(changes)


class CacheHandler(server.Handler):
    """Serves the cached items to followers.

    Watches are answered only while `may_serve` returns True. Listings always are, for daemons that
    start without the store. `read_age_s` returns how long ago the items were known to be current.
    """

    def __init__(
        self,
        cache: ItemCache,
        may_serve: typing.Callable[[], bool],
        read_age_s: typing.Callable[[], float],
    ) -> None:
        self._cache = cache
        self._may_serve = may_serve
        self._read_age_s = read_age_s
        # Last revision seen and its era, by connection. Daemons of older versions state no era.
        self._watches: dict[server.Connection, tuple[int, int | None]] = {}
        self.compacted_watches = 0  # watches answered that the changes are no longer available

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        parts = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        if not self._cache.as_of:
            connection.reply(message.Response(503, [], b"nothing read yet"))
        elif parts.path == RANGE_PATH:
            self._reply(connection, self._cache.page_after(query.get("after", "")))
        elif parts.path == WATCH_PATH:
            after = _parse_count(query.get("after", ""))
            wait_ms = _parse_count(query.get("waitMs", "0"))
            if after is None or wait_ms is None:
                connection.reply(message.Response(400, [], b"after and waitMs are whole numbers"))
            else:
                wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
                era = _parse_count(query.get(ERA_FIELD, ""))
                self._handle_watch((after, era), wait_s, connection)
        else:
            connection.reply(message.Response(404, []))

    def handle_disconnect(self, connection: server.Connection) -> None:
        self._watches.pop(connection, None)

    def _handle_watch(
        self, position: tuple[int, int | None], wait_s: float, connection: server.Connection
    ) -> None:
        if (refusal := self._find_refusal(*position)) is not None:
            connection.reply(refusal)
        elif (events := self._cache.changes_since(position[0])).events:
            self._reply(connection, events)
        else:
            self._watches[connection] = position
            loop = asyncio.get_running_loop()
            loop.call_later(wait_s, self._end_watch, connection, position)

    def _find_refusal(self, after: int, era: int | None) -> message.Response | None:
        """Return the refusal of a watch, or None if the cache has all changes after its revision.

        The cache may lose removals or begin an era while a watch waits, so this is checked before
        each answer.
        """
        if not self._may_serve():
            return message.Response(503, [], b"the data may be out of date")
        if era is not None and era > self._cache.era:
            return message.Response(503, [], b"the data are of an older era")
        is_other_era = era is not None and era != self._cache.era
        if is_other_era or after < self._cache.compacted_revision:
            self.compacted_watches += 1
            return message.Response(410, [])
        return None

    def answer_watches(self) -> None:
        """Answer all pending watches, with the changes or the age of the data or a refusal."""
        for connection, position in list(self._watches.items()):
            self._end_watch(connection, position)

    def _end_watch(self, connection: server.Connection, position: tuple[int, int | None]) -> None:
        if self._watches.get(connection) == position:
            del self._watches[connection]
            if (refusal := self._find_refusal(*position)) is not None:
                connection.reply(refusal)
            else:
                self._reply(connection, self._cache.changes_since(position[0]))

    def _reply(self, connection: server.Connection, value: msgspec.Struct) -> None:
        body = msgspec.json.encode(value)
        age_s = min(MAX_AGE_S, self._read_age_s())
        headers = [
            (b"Content-Type", b"application/json"),
            (AGE_HEADER, b"%d" % math.ceil(age_s * 1000)),
            (header.SEND_STORE_ERA, b"%d" % self._cache.era),
        ]
        if len(body) >= COMPRESS_BYTES:
            body = _compress(body)
            headers.append((b"Content-Encoding", _DEFLATE))
        connection.reply(message.Response(200, headers, body))


def parse_age_s(response: message.Response) -> float:
    """Return the age of a daemon's data that its response states, in seconds.

    A daemon of an earlier version states none; it serves no data older than `sync.FRESH_S`.
    """
    text = response.get_header(AGE_HEADER)
    is_number = text is not None and text.isdigit() and len(text) < 10
    return int(text) / 1000 if is_number else sync.FRESH_S


def parse_era(response: message.Response) -> int | None:
    """Return the era that a response states, or None if it states none that can be read."""
    text = response.get_header(header.STORE_ERA)
    return _parse_count(text.decode("latin-1")) if text is not None else None


def _parse_count(text: str) -> int | None:
    """Return a whole number, or None if the text is none."""
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 else None


@functools.lru_cache(maxsize=2)  # all followers get the same response
def _compress(body: bytes) -> bytes:
    return zlib.compress(body, COMPRESS_LEVEL)


def decompress(
    response: message.Response, max_bytes: int = limit.BufferLimits().store.body_bytes
) -> bytes:
    """Return the body with its content encoding undone.

    Raise zlib.error if it is corrupt, incomplete or larger than `max_bytes`.
    """
    if response.get_header(b"content-encoding") != _DEFLATE:
        return response.body
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(response.body, max_bytes)
    if not decompressor.eof:
        raise zlib.error(f"incomplete or larger than {max_bytes} bytes")
    return body
