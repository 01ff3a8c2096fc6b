"""Emulated metadata store of the hosting platform, with injectable faults."""

import asyncio
import base64
import typing
import urllib.parse

import attrs
import msgspec

from hyssopproxy.transport import message
from hyssopproxy.transport import server

PAGE_BYTES = 1 << 20  # of encoded items; a page holds at least one


@attrs.frozen
class Copy:
    """State of a store at a moment."""

    items: dict[str, dict]
    revision: int


class Store(server.Handler):
    """Store of items with revisions, range reads and watches.

    Each response states the era, which rises when the store returns from an older copy.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.oldest_revision = 1  # events before this revision are dropped
        self.era = 1
        self.states_era = True
        self.calls = 0
        self.fault = ""  # refuse (status 503) or silent (no response)
        self.page_items = 500
        self.encoded_items: dict[int, bytes] = {}  # by revision, sent in place of their items
        self._server = server.Server(self)
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        await self._server.start(host, port)

    def stop(self) -> None:
        """Close the listener and cancel all watches."""
        self._server.stop_accepting()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, value: typing.Any) -> None:
        """Write an item; bytes are stored unchanged, other values as JSON."""
        self.revision += 1
        blob = value if isinstance(value, bytes) else msgspec.json.encode(value)
        item = {
            "key": key,
            "value": base64.b64encode(blob).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._add_event(item)

    def put_encoded(self, key: str, encoded: bytes) -> None:
        """Write an item that responses contain as these bytes, whether they are valid or not."""
        self.encoded_items[self.revision + 1] = encoded
        self.put(key, b"")

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({"key": key, "revision": self.revision, "removed": True})

    def compact(self) -> None:
        """Drop all past events."""
        self.events.clear()
        self.oldest_revision = self.revision + 1

    def make_copy(self) -> Copy:
        """Return a copy of the current state."""
        return Copy(dict(self.items), self.revision)

    def restore(self, older: Copy) -> None:
        """Return from an older copy: later writes are lost, their revisions are given out again."""
        self.era += 1
        self.items = dict(older.items)
        self.revision = older.revision
        self.encoded_items = {
            revision: encoded
            for revision, encoded in self.encoded_items.items()
            if revision <= older.revision
        }
        self.events = [item for item in self.events if item["revision"] <= older.revision]
        self.oldest_revision = min(self.oldest_revision, older.revision + 1)
        self._changed.set()
        self._changed = asyncio.Event()

    def _add_event(self, item: dict) -> None:
        self.events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        self.calls += 1
        if self.fault == "silent":
            return
        if self.fault == "refuse":
            connection.reply(self._make_response(503))
            return
        parts = urllib.parse.urlsplit(request.target.decode())
        query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            self._reply(connection, "items", self._range(query.get("after", "")))
        elif parts.path == "/v1/kv-watch":
            task = asyncio.get_running_loop().create_task(self._watch(query, connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            connection.reply(self._make_response(404))

    def _range(self, after: str) -> dict:
        keys = sorted(key for key in self.items if key > after)
        page_items = []
        page_bytes = 0
        for key in keys[: self.page_items]:
            page_bytes += len(self._encode(self.items[key]))
            if page_items and page_bytes > PAGE_BYTES:
                break
            page_items.append(self.items[key])
        has_more = len(keys) > len(page_items)
        return {"items": page_items, "morePages": has_more, "asOf": self.revision}

    async def _watch(self, query: dict, connection: server.Connection) -> None:
        after = int(query["after"])
        if not self._has_history_after(after):
            connection.reply(self._make_response(410))
            return
        changed = self._changed
        if not any(item["revision"] > after for item in self.events):
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass  # a watch without changes ends with an empty response
        if self.fault == "silent":
            return
        if not self._has_history_after(after):  # it was dropped meanwhile
            connection.reply(self._make_response(410))
            return
        events = [item for item in self.events if item["revision"] > after]
        self._reply(connection, "events", {"events": events, "asOf": self.revision})

    def _has_history_after(self, revision: int) -> bool:
        return self.oldest_revision <= revision + 1 <= self.revision + 1

    def _make_response(self, status: int, body: bytes = b"") -> message.Response:
        headers = [(b"Store-Era", b"%d" % self.era)] if self.states_era else []
        return message.Response(status, headers, body)

    def _encode(self, item: dict) -> bytes:
        return self.encoded_items.get(item["revision"]) or msgspec.json.encode(item)

    def _reply(self, connection: server.Connection, field: str, value: dict) -> None:
        items = [msgspec.Raw(self._encode(item)) for item in value[field]]
        body = msgspec.json.encode({**value, field: items})
        connection.reply(self._make_response(200, body))
