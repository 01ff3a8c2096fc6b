import asyncio
import base64
import gc
import zlib

import msgspec
import pytest

from bench import memory
from bench import site as sites
from hyssopproxy import limit
from hyssopproxy.emulator import endless
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import sync
from hyssopproxy.platform import document
from hyssopproxy.platform import store
from hyssopproxy.transport import buffer
from hyssopproxy.transport import message


def make_item(key, revision, value="e30="):
    return document.Item(key, revision, value, removed=value is None)


def test_cache_keeps_newest_revision_of_each_key():
    cache = store.ItemCache()
    cache.update(
        [make_item("a", 5), make_item("a", 3), make_item("b", 4), make_item("b", 6, None)], 6
    )
    assert [item.revision for item in cache.page_after("").items] == [5]
    assert [item.revision for item in cache.changes_since(4).events] == [5, 6]
    assert cache.changes_since(6).events == ()


def test_listing_is_served_only_once_it_is_complete():
    cache = store.ItemCache()
    cache.update([make_item("a", 5)])
    assert cache.as_of == 0
    cache.update([make_item("b", 3)])
    cache.remove_unlisted({"a", "b"}, 6)
    assert cache.as_of == 6 and len(cache.page_after("").items) == 2


def test_item_written_after_removal_clears_tombstone():
    cache = store.ItemCache()
    cache.update([make_item("a", 5), make_item("a", 6, None), make_item("a", 7)], 7)
    assert [(item.revision, item.removed) for item in cache.changes_since(0).events] == [(7, False)]


def test_dropped_tombstones_raise_compacted_revision():
    cache = store.ItemCache()
    cache.update([make_item(f"k{number}", number, None) for number in range(1, 700)], 700)
    assert len(cache.tombstones) == store.MAX_TOMBSTONES
    assert cache.compacted_revision == 699 - store.MAX_TOMBSTONES
    cache.update([make_item("x", 800)], 800)
    cache.remove_unlisted({"x"}, 800)
    assert cache.compacted_revision == 800


def test_removed_item_does_not_return_from_a_source_that_missed_its_removal():
    """Guards against followers that get removed targets from a daemon that listed an older copy."""
    cache = store.ItemCache()
    cache.update([make_item("a", 5), make_item("b", 6)], 6)
    cache.update([make_item("b", 6)])
    cache.remove_unlisted({"b"}, 9)
    cache.update([make_item("a", 5), make_item("b", 6), make_item("c", 8)])
    cache.remove_unlisted({"a", "b", "c"}, 8)
    assert [item.key for item in cache.page_after("").items] == ["b"]
    assert cache.as_of == 9
    cache.update([make_item("a", 10)], 10)
    assert [item.key for item in cache.page_after("").items] == ["a", "b"]


def test_pages_are_sorted_by_key():
    cache = store.ItemCache()
    cache.update([make_item(f"k{number:04}", number + 1) for number in range(900)], 900)
    page = cache.page_after("")
    assert page.more_pages and len(page.items) == store.MAX_PAGE_ITEMS
    keys = [item.key for item in page.items]
    while page.more_pages:
        page = cache.page_after(keys[-1])
        keys += [item.key for item in page.items]
    assert keys == sorted(keys) and len(keys) == 900


def test_followers_receive_changes_and_removals_from_reader():
    async def scenario(site):
        site.publish(sites.plain_route(pathPrefix="/q/"))
        for daemon in site.daemons:

            async def is_served(daemon=daemon):
                return (await site.get(daemon, "/q/x")).status == 200

            await sites.wait_for(is_served, "the new route")
        name = next(name for name in site.leaves if name.startswith("i-p-"))
        site.store.remove(f"servers/{name}")

        def have_all_seen_removal():
            return all(
                any(line["event"] == "target_gone" for line in daemon.log)
                for daemon in site.daemons
            )

        await sites.wait_for(have_all_seen_removal, "the removal at every daemon")
        await asyncio.sleep(1.0)
        before = site.store.calls
        site.publish(sites.plain_route(pathPrefix="/r/"))
        await asyncio.sleep(1.0)
        assert site.store.calls - before <= 2, "one reader in each of two failure domains"

    sites.run_scenario(scenario, daemons=5)


class FakeConnection:
    """Fake connection that records the responses sent to it."""

    def __init__(self):
        self.statuses = []
        self.responses = []

    def reply(self, response):
        self.statuses.append(response.status)
        self.responses.append(response)


def watch(handler, after):
    connection = FakeConnection()
    target = f"/v1/kv-watch?pathPrefix=&after={after}&waitMs=1000".encode()
    handler.handle(message.Request(b"GET", target, []), connection)
    return connection


class Source:
    """What a daemon knows of its data; a test sets the fields."""

    may_serve = True
    age_s = 0.0


def make_handler(cache):
    source = Source()
    handler = store.CacheHandler(cache, lambda: source.may_serve, lambda: source.age_s)
    return handler, source


def test_reader_that_lost_store_rejects_followers_immediately():
    """Guards against a failure domain that stays stale while the store rejects its reader."""

    async def run():
        cache = store.ItemCache()
        handler, source = make_handler(cache)
        cache.update([make_item("a", 5)], 5)
        source.may_serve = False
        assert watch(handler, 4).statuses == [503], "the store was never read"
        source.may_serve = True
        assert watch(handler, 4).statuses == [200]
        pending = watch(handler, 5)
        assert pending.statuses == []
        source.may_serve = False
        handler.answer_watches()
        assert pending.statuses == [503]
        assert watch(handler, 4).statuses == [503]

    asyncio.run(run())


@pytest.mark.parametrize("loss", ["listing", "tombstones"])
def test_pending_watch_is_rejected_when_removals_since_its_revision_are_lost(loss):
    """Guards against followers that use removed targets after a loss of the store's history.

    A watch that waited while its source listed the store was answered without the removals.
    """

    async def run():
        cache = store.ItemCache()
        handler, _ = make_handler(cache)
        cache.update([make_item("a", 5), make_item("b", 6)], 6)
        pending = watch(handler, 6)
        if loss == "listing":
            cache.update([make_item("b", 6)])
            cache.remove_unlisted({"b"}, 7)
        else:
            removals = [make_item(f"k{number}", number, None) for number in range(8, 700)]
            cache.update([make_item("a", 7, None), *removals], 700)
        handler.answer_watches()
        assert pending.statuses == [410]
        assert watch(handler, 6).statuses == [410]
        assert handler.compacted_watches == 2

    asyncio.run(run())


def test_all_daemons_learn_of_removals_right_before_a_loss_of_history():
    """Guards against followers that keep what only the reader found missing in the store."""

    async def scenario(site):
        def is_logged(daemon, event):
            return any(line["event"] == event for line in daemon.log)

        async def wait_for_all(event):
            for daemon in site.daemons:
                await sites.wait_for(lambda daemon=daemon: is_logged(daemon, event), event)

        evacuation = "op/evacuate/unused"
        site.store.put(evacuation, b"{}")
        await wait_for_all("domain_out")
        name = next(name for name in site.leaves if name.startswith("i-p-"))
        site.store.remove(f"servers/{name}")
        site.store.remove(evacuation)
        site.store.compact()
        await wait_for_all("target_gone")
        await wait_for_all("domain_back")

    sites.run_scenario(scenario, daemons=6)


def test_pending_watch_is_rejected_when_data_become_stale():
    """Guards against late changes when only the reader gets no response from the store.

    The daemons of its failure domain must still apply a change within 3 s.
    """

    async def run():
        cache = store.ItemCache()
        handler, source = make_handler(cache)
        cache.update([make_item("a", 5)], 5)
        pending = watch(handler, 5)
        source.may_serve = False
        while not pending.statuses:
            await asyncio.sleep(0.02)
        assert pending.statuses == [503]

    asyncio.run(run())


def test_response_states_the_age_of_the_data():
    """A follower must not take old data for current ones because its source has just answered."""

    async def run():
        cache = store.ItemCache()
        handler, source = make_handler(cache)
        cache.update([make_item("a", 5)], 5)
        source.age_s = 1.2341
        assert store.parse_age_s(watch(handler, 4).responses[0]) == 1.235
        source.age_s = float("inf")
        assert store.parse_age_s(watch(handler, 4).responses[0]) >= 3600.0
        pending = watch(handler, 5)
        source.age_s = 0.0
        handler.answer_watches()
        assert store.parse_age_s(pending.responses[0]) == 0.0
        assert store.parse_age_s(message.Response(200, [])) == sync.FRESH_S, "an earlier version"

    asyncio.run(run())


def make_table(shards=54, routes=44):
    """Return an encoded routing table of the size that congested the slow link of a reader."""
    gather = [f"shard-{number:03}-{number * 7919 % 1000:03}" for number in range(shards)]
    table = {
        "version": 9,
        "routes": [
            sites.search_route(*gather, name=f"r-{number * 104729 % 9973}")
            for number in range(routes)
        ],
        "backends": [{"name": name, "maxConnections": 71} for name in gather],
    }
    return base64.b64encode(msgspec.json.encode(table)).decode()


def test_large_table_is_served_compressed_and_decoded_intact():
    """Guards against link congestion: a table for 18 followers took 0.7 s at 20 Mbit/s."""
    cache = store.ItemCache()
    handler, _ = make_handler(cache)
    table = make_table()
    cache.update([make_item("op/config", 5, table)], 5)
    (response,) = watch(handler, 4).responses
    assert len(table) > 50_000
    link_s = 18 * len(response.body) * 8 / 20e6
    assert 2 * link_s <= 0.5, "two tables in a row delay no request by more than 0.5 s"
    events = document.decode_events(store.decompress(response))
    assert events.events[0].value == table


def test_small_responses_are_not_compressed():
    cache = store.ItemCache()
    handler, _ = make_handler(cache)
    cache.update([make_item("a", 5)], 5)
    (response,) = watch(handler, 4).responses
    assert response.get_header(b"content-encoding") is None
    assert document.decode_events(store.decompress(response)).as_of == 5


@pytest.mark.parametrize("name", sorted(endless.RESPONSES))
def test_endless_response_of_a_source_fails_the_read_and_leaves_memory_bounded(name):
    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await endless.send(writer, name, b"")
        except ConnectionError:
            pass  # the client has closed the connection
        finally:
            writer.close()

    async def run():
        posted = []
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        source = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        limits = limit.BufferLimits()
        account = buffer.Account(limits.total_bytes)
        cache = store.ItemCache()
        client = store.StoreClient(posted.append, cache, limits.store, account)
        await client.read_page(effect.ReadPage(1, source, True, None, sites.WAIT_S))
        server.close()
        return posted, account

    before = memory.resident_bytes()
    (failed,), account = asyncio.run(run())
    assert isinstance(failed, event.ReadFailed) and not failed.is_compacted
    assert "too_large" in failed.reason or "garbled" in failed.reason
    assert account.total_bytes == 0
    assert memory.resident_bytes() - before < 40 << 20


async def read_too_much(read, limit_bytes=1000):
    """Return what a read posts whose response exceeds the limit."""
    size = 2 * limit_bytes
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b" " * size

    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        except (ConnectionError, EOFError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    posted = []
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    source = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    limits = limit.ResponseLimits(body_bytes=limit_bytes)
    account = buffer.Account(2 * limit_bytes)
    client = store.StoreClient(posted.append, store.ItemCache(), limits, account)
    await read(client, source)
    server.close()
    return posted


def test_changes_that_exceed_the_limit_lead_to_a_new_listing():
    async def read(client, source):
        await client.read_changes(effect.ReadChanges(1, source, True, 7, 1.0, sites.WAIT_S))

    (failed,) = asyncio.run(read_too_much(read))
    assert isinstance(failed, event.ReadFailed) and failed.is_compacted


def test_page_that_exceeds_the_limit_is_a_failed_read():
    async def read(client, source):
        await client.read_page(effect.ReadPage(1, source, True, None, sites.WAIT_S))

    (failed,) = asyncio.run(read_too_much(read))
    assert isinstance(failed, event.ReadFailed) and not failed.is_compacted


def test_failed_reads_leave_memory_bounded_without_garbage_collection():
    async def read(client, source):
        for number in range(12):
            change = effect.ReadChanges(number, source, True, 7, 1.0, sites.WAIT_S)
            await client.read_changes(change)

    gc.collect()
    gc.disable()  # a daemon that is not busy collects rarely
    try:
        before = memory.resident_bytes()
        posted = asyncio.run(read_too_much(read, 8 << 20))
        assert memory.resident_bytes() - before < 60 << 20
    finally:
        gc.enable()
    assert len(posted) == 12


def test_compressed_response_that_expands_beyond_the_limit_is_refused():
    body = zlib.compress(b"x" * (1 << 20))
    response = message.Response(200, [(b"Content-Encoding", b"deflate")], body)
    assert len(store.decompress(response, 1 << 20)) == 1 << 20
    with pytest.raises(zlib.error):
        store.decompress(response, (1 << 20) - 1)
    with pytest.raises(zlib.error):
        store.decompress(message.Response(200, response.headers, body[:-6]))


def test_late_page_of_an_abandoned_listing_does_not_remove_items():
    """Guards against followers without targets that their source dropped by mistake.

    A slow store answered the first page of a listing after a peer had answered the first of two.
    """
    items = [make_item(f"k{number}", number + 1) for number in range(4)]
    pages = {
        "store": [document.Page(tuple(items[:1]), 4, True)],
        "peer": [document.Page(tuple(items[:3]), 4, True), document.Page(tuple(items[3:]), 4)],
    }

    async def run():
        may_answer = {name: asyncio.Event() for name in pages}

        async def serve(name):
            async def handle(reader, writer):
                try:
                    for page in pages[name]:
                        await reader.readuntil(b"\r\n\r\n")
                        await may_answer[name].wait()
                        body = msgspec.json.encode(page)
                        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                        writer.write(head + body)
                except asyncio.IncompleteReadError:
                    pass  # the client has closed the connection
                finally:
                    writer.close()

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            servers.append(server)
            return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

        servers = []
        limits = limit.BufferLimits()
        account = buffer.Account(limits.total_bytes)
        cache = store.ItemCache()
        client = store.StoreClient(lambda posted: None, cache, limits.store, account)

        def start_read(read_no, source, after, is_store=False):
            read = effect.ReadPage(read_no, source, is_store, after, sites.WAIT_S)
            return asyncio.create_task(client.read_page(read))

        store_address, peer_address = await serve("store"), await serve("peer")
        abandoned = start_read(1, store_address, None, is_store=True)
        await asyncio.sleep(0)
        may_answer["peer"].set()
        await start_read(2, peer_address, None)
        may_answer["store"].set()
        await abandoned
        await start_read(3, peer_address, "k2")
        for server in servers:
            server.close()
        return [item.key for item in cache.page_after("").items]

    assert asyncio.run(run()) == ["k0", "k1", "k2", "k3"]


def watch_in_era(handler, after, era):
    connection = FakeConnection()
    target = f"/v1/kv-watch?pathPrefix=&after={after}&waitMs=1000&era={era}".encode()
    handler.handle(message.Request(b"GET", target, []), connection)
    return connection


def test_new_era_replaces_the_cache_and_ends_watches_of_the_era_before():
    """Guards against followers that go on from a revision that the store has given out again."""

    async def run():
        cache = store.ItemCache()
        handler, _ = make_handler(cache)
        cache.restart(1, [make_item("a", 5), make_item("b", 9)], 9)
        pending = watch_in_era(handler, 9, 1)
        cache.restart(2, [make_item("a", 3)], 4)
        handler.answer_watches()
        assert pending.statuses == [410]
        assert watch_in_era(handler, 4, 1).statuses == [410]
        assert watch_in_era(handler, 9, 3).statuses == [503], "this daemon is behind"
        cache.update([make_item("c", 5)], 5)
        (response,) = watch_in_era(handler, 4, 2).responses
        assert store.parse_era(response) == 2
        events = document.decode_events(response.body)
        assert [(item.key, item.revision) for item in events.events] == [("c", 5)]
        assert [item.key for item in cache.page_after("").items] == ["a", "c"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("value", "era"),
    [(b"3", 3), (b"0", 0), (b"-1", None), (b"1.0", None), (b"", None), (b"\xb2", None)]
    + [(b"9" * 40, None), (None, None)],
)
def test_era_that_cannot_be_read_counts_as_not_stated(value, era):
    headers = [] if value is None else [(b"Store-Era", value)]
    assert store.parse_era(message.Response(200, headers)) == era


def make_era_client(responses):
    """Return a client whose reads get these eras and bodies in turn, its cache and its events."""
    posted = []
    limits = limit.BufferLimits()
    cache = store.ItemCache()
    account = buffer.Account(limits.total_bytes)
    client = store.StoreClient(posted.append, cache, limits.store, account)

    async def call(read, path):
        stated_era, body = responses.pop(0)
        headers = [] if stated_era is None else [(b"store-era", b"%d" % stated_era)]
        response = message.Response(200, headers)
        response.body = msgspec.json.encode(body)
        return response

    client._call = call
    return client, cache, posted


def test_listing_across_a_return_of_the_store_begins_anew():
    """Guards against a copy of two eras: its pages were read before and after the return."""
    pages = [
        (1, document.Page((make_item("a", 5),), 9, True)),
        (2, document.Page((make_item("b", 4),), 4)),
    ]
    client, cache, posted = make_era_client(pages)
    for read_no, after in ((1, None), (2, "a")):
        asyncio.run(client.read_page(effect.ReadPage(read_no, "s", True, after, 1.0)))
    assert posted[0].era == 1 and posted[1].is_compacted
    assert cache.as_of == 0


@pytest.mark.parametrize("is_store", [True, False])
def test_answer_without_an_era(is_store):
    """A store that states none is in the era of the copy; an older daemon may be in any."""
    client, cache, posted = make_era_client([(None, document.Events((make_item("b", 4),), 12))])
    cache.restart(3, [make_item("a", 5)], 9)
    read = effect.ReadChanges(1, "s", is_store, 9, 1.0, 1.0, 3)
    asyncio.run(client.read_changes(read))
    assert posted[0].era == (3 if is_store else 0)
    assert cache.as_of == (12 if is_store else 9)


def test_listing_below_the_copy_without_an_era_begins_one():
    client, cache, posted = make_era_client([(None, document.Page((make_item("a", 3),), 4))])
    cache.restart(3, [make_item("a", 5), make_item("b", 9)], 9)
    asyncio.run(client.read_page(effect.ReadPage(1, "s", True, None, 1.0, 3)))
    assert (posted[0].era, cache.era, cache.as_of) == (4, 4, 4)
    assert [item.revision for item in cache.page_after("").items] == [3]


def test_listing_of_an_older_era_leaves_the_cache_unchanged():
    client, cache, posted = make_era_client([(2, document.Page((make_item("c", 30),), 40))])
    cache.restart(3, [make_item("a", 5)], 9)
    asyncio.run(client.read_page(effect.ReadPage(1, "s", True, None, 1.0, 3)))
    assert (posted[0].era, cache.era, cache.as_of) == (2, 3, 9)
    assert [item.key for item in cache.page_after("").items] == ["a"]
