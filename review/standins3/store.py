"""Stand-in of the platform's metadata store, which may come back from an older copy."""

import asyncio
import base64
import copy
import json
import typing
import urllib.parse

from review.standins3 import http

PAGE_ITEMS = 50


class Copy(typing.NamedTuple):
    """State of the store at a moment."""

    revision: int
    items: dict[str, dict]
    events: list[dict]


class Store:
    """Items with revisions, range reads and watches; every answer states the era."""

    def __init__(self) -> None:
        self.revision = 100
        self.era = 1
        self.items: dict[str, dict] = {}
        self.is_away = False
        self.reads = 0
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._server = http.Server(self._handle)
        self._host = ""
        self._port = 0

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self._host}:{self._port}"

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._host = host
        self._port = await self._server.start(host, 0)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def put(self, key: str, value: typing.Any) -> int:
        """Write an item; return its revision, which acknowledges it."""
        self.revision += 1
        blob = json.dumps(value, separators=(",", ":")).encode()
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(blob).decode(),
            "revision": self.revision,
            "created": previous["created"] if previous else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Remove an item; return the revision of the removal."""
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({"key": key, "revision": self.revision, "removed": True})
        return self.revision

    def read(self, key: str) -> typing.Any:
        """Return the value of an item, None if there is none; not a call of the daemons."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item is not None else None

    def make_copy(self) -> Copy:
        """Return the present state."""
        return Copy(self.revision, copy.deepcopy(self.items), list(self._events))

    def go_away(self) -> None:
        """Close the listener and reset all connections."""
        self.is_away = True
        self._server.stop()

    async def come_back(self, older: Copy | None = None) -> None:
        """Listen again, in the next era if the state is that of an older copy."""
        if older is not None:
            self.revision, self.items, self._events = older
            self.era += 1
        await self._server.start(self._host, self._port)
        self.is_away = False

    def _add_event(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: http.Request) -> http.Response:
        self.reads += 1
        parts = urllib.parse.urlsplit(request.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(parts.query).items()}
        prefix = query.get("pathPrefix", "")
        if parts.path == "/v1/kv-range":
            return self._respond(200, self._range(prefix, query.get("after", "")))
        if parts.path == "/v1/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000)
        if parts.path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is not None:
                return self._respond(200, {**item, "asOf": self.revision})
        return self._respond(404, {})

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "morePages": len(keys) > len(page), "asOf": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> http.Response:
        if after > self.revision:
            return self._respond(410, {})
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return self._respond(200, {"events": events, "asOf": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _respond(self, status: int, body: dict) -> http.Response:
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return http.Response(status, headers, json.dumps(body).encode())
