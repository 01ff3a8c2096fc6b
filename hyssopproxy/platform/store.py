"""Reads published items from the metadata store, or from a daemon that serves them alike."""

import asyncio
import functools
import typing
import urllib.parse
import zlib

import msgspec

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import document
from hyssopproxy.transport import client
from hyssopproxy.transport import clock
from hyssopproxy.transport import message
from hyssopproxy.transport import server

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
CONNECT_TIMEOUT_S = 0.5
MAX_PAGE_ITEMS = 400
FRESH_S = 1.8  # a waiting read with its time-out; the store was heard within this time
COMPRESS_BYTES = 2048  # a daemon compresses longer answers; links between VMs may be narrow
COMPRESS_LEVEL = 1  # the fastest
MAX_BODY_BYTES = 64 << 20  # of an answer once it is decompressed
MAX_REMOVED = 500  # removals that followers may still ask for

_DEFLATE = b"deflate"


class Shelf:
    """The newest items as they were read, for daemons that can't reach the store."""

    def __init__(self) -> None:
        self.items: dict[str, document.Item] = {}
        self.removed: dict[str, document.Item] = {}
        self.as_of = 0
        self.floor = 0  # removals up to this revision are not known
        self.fresh_at = float("-inf")  # the store answered
        self.listeners: list[typing.Callable[[], None]] = []

    def take(self, items: typing.Iterable[document.Item], as_of: int) -> None:
        """Take in items; older ones than those known change nothing."""
        self.as_of = max(self.as_of, as_of)
        for item in items:
            known = self.items.get(item.key) or self.removed.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            if item.removed or item.value is None:
                self.items.pop(item.key, None)
                self.removed[item.key] = item
            else:
                self.removed.pop(item.key, None)
                self.items[item.key] = item
        self._prune()
        for listener in self.listeners:
            listener()

    def keep_listed(self, keys: set[str], as_of: int) -> None:
        """Drop what a complete listing no longer holds."""
        for key, item in list(self.items.items()):
            if key not in keys and item.revision <= as_of:
                del self.items[key]
        self.floor = max(self.floor, as_of)

    def note_read(self, now: float) -> None:
        """Take in that the store answered."""
        self.fresh_at = now

    def note_failure(self) -> None:
        """Take in that the store could not be read: what is here may be old."""
        self.fresh_at = float("-inf")
        for listener in self.listeners:
            listener()

    def is_fresh(self, now: float) -> bool:
        """Return whether other daemons may rely on what was read here."""
        return now - self.fresh_at <= FRESH_S

    def _prune(self) -> None:
        """Forget the oldest removals."""
        while len(self.removed) > MAX_REMOVED:
            oldest = min(self.removed.values(), key=lambda item: item.revision)
            self.floor = max(self.floor, oldest.revision)
            del self.removed[oldest.key]

    def since(self, revision: int) -> document.Events:
        """Return what changed after a revision."""
        changed = [
            item
            for item in (*self.items.values(), *self.removed.values())
            if item.revision > revision
        ]
        changed.sort(key=lambda item: item.revision)
        return document.Events(tuple(changed), self.as_of)

    def page(self, after: str) -> document.Page:
        """Return the items after a key."""
        keys = sorted(key for key in self.items if key > after)
        chosen = tuple(self.items[key] for key in keys[:MAX_PAGE_ITEMS])
        return document.Page(chosen, self.as_of, len(keys) > MAX_PAGE_ITEMS)


class StoreClient:
    """One connection for each source; a call that gets no answer ends its connection."""

    def __init__(self, post: typing.Callable[[typing.Any], None], shelf: Shelf) -> None:
        self._post = post
        self._shelf = shelf
        self._kept: dict[str, client.Connection] = {}
        self._listed: set[str] = set()
        self._listed_as_of: int | None = None

    async def read_page(self, wanted: effect.ReadPage) -> None:
        """Read one page of all items."""
        query = {"pathPrefix": ""}
        if wanted.after is not None:
            query["after"] = wanted.after
        path = f"{RANGE_PATH}?{urllib.parse.urlencode(query)}"
        page = await self._read(wanted, path, document.decode_page)
        if page is None:
            return
        if wanted.after is None:
            self._listed = set()
            self._listed_as_of = page.as_of
        self._listed.update(item.key for item in page.items)
        self._shelf.take(page.items, self._listed_as_of)
        next_after = page.items[-1].key if page.more_pages and page.items else None
        if next_after is None:
            self._shelf.keep_listed(self._listed, self._listed_as_of)
        changes = _decode(page.items)
        self._post(event.PageRead(wanted.read_no, changes, page.as_of, next_after))

    async def read_changes(self, wanted: effect.ReadChanges) -> None:
        """Wait for changes."""
        query = {"pathPrefix": "", "after": wanted.after, "waitMs": int(wanted.wait_s * 1000)}
        path = f"{WATCH_PATH}?{urllib.parse.urlencode(query)}"
        events = await self._read(wanted, path, document.decode_events)
        if events is None:
            return
        self._shelf.take(events.events, events.as_of)
        self._post(event.ChangesRead(wanted.read_no, _decode(events.events), events.as_of))

    async def _read(
        self,
        wanted: effect.ReadPage | effect.ReadChanges,
        path: str,
        decode: typing.Callable[[bytes], typing.Any],
    ) -> typing.Any:
        """Return the decoded body of a 200, or None after a failure was reported."""
        body = await self._call(wanted, path)
        if body is None:
            return None
        try:
            return decode(body)
        except msgspec.MsgspecError as error:
            self._fail(wanted, f"garbled: {error}")
            return None

    async def _call(self, wanted: effect.ReadPage | effect.ReadChanges, path: str) -> bytes | None:
        """Return the body of a 200, or None after a failure was reported."""
        connection = None
        try:
            async with asyncio.timeout(wanted.timeout_s):
                connection = await self._connect(wanted.source)
                response = await _exchange(connection, wanted.source, path)
        except TimeoutError:
            if connection is not None:
                connection.close()
            self._fail(wanted, "no answer in time")
            return None
        except OSError as error:
            self._fail(wanted, f"{type(error).__name__}: {error}")
            return None
        self._kept[wanted.source] = connection
        if response.status != 200:
            self._fail(wanted, f"status {response.status}", response.status == 410)
            return None
        if wanted.is_store:
            self._shelf.note_read(clock.read())
        try:
            return decompress(response)
        except zlib.error as error:
            self._fail(wanted, f"garbled: {error}")
            return None

    async def _connect(self, source: str) -> client.Connection:
        kept = self._kept.pop(source, None)
        if kept is not None:
            if kept.is_open():
                return kept
            kept.close()
        host, _, port = source.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(client.Connection, host, int(port))
        return connection

    def _fail(
        self,
        wanted: effect.ReadPage | effect.ReadChanges,
        reason: str,
        is_compacted: bool = False,
    ) -> None:
        self._shelf.note_failure()
        self._post(event.ReadFailed(wanted.read_no, reason, is_compacted))


async def _exchange(connection: client.Connection, source: str, path: str) -> message.Response:
    """Return the response; raise ConnectionError if there is none."""
    future = asyncio.get_running_loop().create_future()

    def finish(response: message.Response | None, failure: client.Failure | None) -> None:
        if not future.done():
            future.set_result(response)

    head = f"GET {path} HTTP/1.1\r\nHost: {source}\r\n\r\n"
    connection.send(head.encode(), finish)
    response = await future
    if response is None:
        raise ConnectionError("the connection ended without an answer")
    return response


def _decode(items: typing.Iterable[document.Item]) -> tuple[model.Change, ...]:
    changes = (document.decode_item(item) for item in items)
    return tuple(change for change in changes if change is not None)


class Control(server.Handler):
    """Serves the items read here to daemons that don't read the store themselves."""

    def __init__(self, shelf: Shelf) -> None:
        self._shelf = shelf
        self._waiting: dict[server.Connection, int] = {}  # -> revision
        shelf.listeners.append(self._answer_waiting)

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        parts = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        if not self._shelf.as_of:
            connection.reply(message.Response(503, [], b"nothing read yet"))
        elif parts.path == RANGE_PATH:
            _reply(connection, self._shelf.page(query.get("after", "")))
        elif parts.path == WATCH_PATH and query.get("after", "").isdigit():
            self._watch(int(query["after"]), int(query.get("waitMs", "0")) / 1000, connection)
        else:
            connection.reply(message.Response(404, []))

    def handle_gone(self, connection: server.Connection) -> None:
        self._waiting.pop(connection, None)

    def _watch(self, after: int, wait_s: float, connection: server.Connection) -> None:
        if not self._shelf.is_fresh(clock.read()):
            connection.reply(message.Response(503, [], b"the store is not heard"))
            return
        if after < self._shelf.floor:
            connection.reply(message.Response(410, []))
            return
        events = self._shelf.since(after)
        if events.events:
            _reply(connection, events)
            return
        self._waiting[connection] = after
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, self._answer_empty, connection, after)

    def _answer_waiting(self) -> None:
        if not self._shelf.is_fresh(clock.read()):
            for connection in list(self._waiting):
                self._answer_empty(connection, self._waiting[connection])
            return
        for connection, after in list(self._waiting.items()):
            events = self._shelf.since(after)
            if events.events:
                del self._waiting[connection]
                _reply(connection, events)

    def _answer_empty(self, connection: server.Connection, after: int) -> None:
        if self._waiting.get(connection) == after:
            del self._waiting[connection]
            if self._shelf.is_fresh(clock.read()):
                _reply(connection, self._shelf.since(after))
            else:
                connection.reply(message.Response(503, [], b"the store is not heard"))


def _reply(connection: server.Connection, value: msgspec.Struct) -> None:
    body = msgspec.json.encode(value)
    headers = [(b"Content-Type", b"application/json")]
    if len(body) >= COMPRESS_BYTES:
        body = _compress(body)
        headers.append((b"Content-Encoding", _DEFLATE))
    connection.reply(message.Response(200, headers, body))


@functools.lru_cache(maxsize=2)  # all followers get the same change
def _compress(body: bytes) -> bytes:
    return zlib.compress(body, COMPRESS_LEVEL)


def decompress(response: message.Response) -> bytes:
    """Return the body as it was encoded; raise zlib.error if it cannot be had."""
    if response.get_header(b"content-encoding") != _DEFLATE:
        return response.body
    return zlib.decompressobj().decompress(response.body, MAX_BODY_BYTES)
