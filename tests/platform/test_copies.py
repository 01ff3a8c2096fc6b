"""Copies of the store's items at daemons that read it directly, or through one or two others."""

import asyncio

import hypothesis
from hypothesis import strategies

from hyssopproxy import limit
from hyssopproxy.emulator import store as stores
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.platform import store
from hyssopproxy.transport import buffer
from hyssopproxy.transport import message

KEYS = ("op/evacuate/a", "servers/a", "servers/b", "servers/c", "servers/d")
WAIT_S = 0.002  # of a watch


class PendingReply:
    """A connection of a server that carries one request."""

    def __init__(self):
        self.response = asyncio.get_running_loop().create_future()

    def reply(self, response):
        if not self.response.done():
            self.response.set_result(response)


class Copy:
    """A copy of a source's items, read as `engine.sync` reads them; further copies may read it.

    The exchange over a connection is replaced by a call of the source's handler.
    """

    def __init__(self, source):
        self.source = source
        self.events = []
        self.restart()

    def handle(self, request, connection):
        self.handler.handle(request, connection)

    def restart(self):
        limits = limit.BufferLimits()
        self.cache = store.ItemCache()
        self.handler = store.CacheHandler(self.cache, lambda: True, lambda: 0.0)
        account = buffer.Account(limits.total_bytes)
        self.client = store.StoreClient(self.events.append, self.cache, limits.store, account)
        self.client._call = self._call
        self.after = None  # revision to watch from; None before the first listing
        self.era = 0  # in which it is valid; the least one of a listing
        self.page_after = None
        self.listed_as_of = None
        self.read_no = 0

    async def _call(self, read, path):
        connection = PendingReply()
        self.source.handle(message.Request(b"GET", path.encode(), []), connection)
        response = await connection.response
        if response.status == 200:
            return response
        self.client._fail(read, f"status {response.status}", response.status == 410)
        return None

    async def read(self, wait_s=0.0):
        """Read one page of a listing, or the changes since the last read."""
        self.read_no += 1
        if self.after is None:
            page = effect.ReadPage(self.read_no, "source", False, self.page_after, 1.0, self.era)
            await self.client.read_page(page)
        else:
            watch = effect.ReadChanges(
                self.read_no, "source", False, self.after, wait_s, 1.0, self.era
            )
            await self.client.read_changes(watch)
        self._handle(self.events.pop())

    def _handle(self, read):
        if not isinstance(read, event.ReadFailed) and read.era < self.era:
            self.page_after, self.listed_as_of = None, None
        elif isinstance(read, event.ChangesRead) and read.era > self.era:
            self.after, self.era = None, read.era
        elif isinstance(read, event.ReadFailed):
            self.page_after, self.listed_as_of = None, None
            if read.is_compacted:
                self.after = None
        elif isinstance(read, event.PageRead):
            if self.listed_as_of is None:
                self.listed_as_of, self.era = read.as_of, read.era
            self.page_after = read.next_after
            if read.next_after is None:
                self.after, self.listed_as_of = self.listed_as_of, None
                self.handler.answer_watches()
        else:
            self.after = max(self.after, read.as_of)
            if read.changes:
                self.handler.answer_watches()

    def items(self):
        return {key: (item.revision, item.value) for key, item in self.cache.items.items()}


def make_steps():
    write = strategies.tuples(strategies.just("put"), strategies.sampled_from(KEYS))
    remove = strategies.tuples(strategies.just("remove"), strategies.sampled_from(KEYS))
    compact = strategies.tuples(strategies.just("compact"), strategies.none())
    copy = strategies.tuples(strategies.just("copy"), strategies.none())
    restore = strategies.tuples(strategies.just("restore"), strategies.none())
    read = strategies.tuples(strategies.just("read"), strategies.integers(0, 2))
    watch = strategies.tuples(strategies.just("watch"), strategies.integers(1, 2))
    restart = strategies.tuples(strategies.just("restart"), strategies.integers(0, 2))
    follow = strategies.tuples(strategies.just("follow"), strategies.integers(0, 1))
    step = strategies.one_of(
        write, write, remove, compact, copy, restore, read, read, watch, restart, follow
    )
    return strategies.lists(step, max_size=60)


async def play(steps):
    """Play the steps, let all copies read until nothing changes, and compare them."""
    emulated = stores.Store()
    emulated.page_items = 2
    for key in KEYS[:3]:
        emulated.put(key, b"{}")
    reader = Copy(emulated)
    follower = Copy(reader)
    copies = [reader, follower, Copy(follower)]
    waiting = {}
    older = emulated.make_copy()
    for number, (name, argument) in enumerate(steps):
        if name == "put":
            emulated.put(argument, b"%d" % number)
        elif name == "copy":
            older = emulated.make_copy()
        elif name == "restore":
            emulated.restore(older)
        elif name == "remove" and argument in emulated.items:
            emulated.remove(argument)
        elif name == "compact":
            emulated.compact()
        elif name == "follow":  # the last daemon follows another one
            copies[2].source = copies[argument]
        elif name == "restart" and argument not in waiting:
            copies[argument].restart()
        elif name == "read" and argument not in waiting:
            await copies[argument].read()
        elif name == "watch" and argument not in waiting:
            waiting[argument] = asyncio.create_task(copies[argument].read(WAIT_S))
            await asyncio.sleep(0)
    await asyncio.gather(*waiting.values())
    for copy in copies:
        for _ in range(12):
            await copy.read()
    expected = {key: (item["revision"], item["value"]) for key, item in emulated.items.items()}
    for copy in copies:
        assert copy.items() == expected
        assert copy.cache.era == emulated.era
    emulated.stop()


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(make_steps())
@hypothesis.example(
    [
        *[("read", number) for number in (0, 0, 1, 2)],
        ("watch", 1),
        ("remove", "servers/a"),
        ("compact", None),
        *[("read", 0)] * 3,
    ]
)
@hypothesis.example(
    [
        *[("read", number) for number in (0, 0, 1, 1, 2, 2)],
        *[("put", "op/evacuate/a")] * 3,
        *[("read", number) for number in (0, 1, 2)],
        ("watch", 2),
        ("restore", None),
        *[("put", "servers/d")] * 4,
        ("read", 1),
    ]
)
def test_copies_equal_the_store_once_all_is_quiet(steps):
    """Guards against copies that keep or lack an item.

    After losses of history, returns of the store from an older copy, and restarts.
    """
    asyncio.run(play(steps))
