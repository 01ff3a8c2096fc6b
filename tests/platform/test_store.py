import asyncio
import base64

import msgspec

from bench import site as sites
from hyssopproxy.platform import document
from hyssopproxy.platform import store
from hyssopproxy.transport import clock
from hyssopproxy.transport import message


def item(key, revision, value="e30="):
    return document.Item(key, revision, value, removed=value is None)


def test_a_shelf_keeps_the_newest_of_each_key():
    cache = store.ItemCache()
    cache.update([item("a", 5), item("a", 3), item("b", 4), item("b", 6, None)], 6)
    assert [one.revision for one in cache.page_after("").items] == [5]
    assert [one.revision for one in cache.changes_since(4).events] == [5, 6]
    assert cache.changes_since(6).events == ()


def test_an_item_that_returns_is_no_removal_any_more():
    cache = store.ItemCache()
    cache.update([item("a", 5), item("a", 6, None), item("a", 7)], 7)
    assert [(one.revision, one.removed) for one in cache.changes_since(0).events] == [(7, False)]


def test_removals_that_were_forgotten_send_followers_to_a_listing():
    cache = store.ItemCache()
    cache.update([item(f"k{number}", number, None) for number in range(1, 700)], 700)
    assert len(cache.tombstones) == store.MAX_TOMBSTONES
    assert cache.compacted_revision == 699 - store.MAX_TOMBSTONES
    cache.update([item("x", 800)], 800)
    cache.remove_unlisted({"x"}, 800)
    assert cache.compacted_revision == 800


def test_pages_are_in_order_of_keys():
    cache = store.ItemCache()
    cache.update([item(f"k{number:04}", number + 1) for number in range(900)], 900)
    first = cache.page_after("")
    assert first.more_pages and len(first.items) == store.MAX_PAGE_ITEMS
    keys = [one.key for one in first.items]
    while first.more_pages:
        first = cache.page_after(keys[-1])
        keys += [one.key for one in first.items]
    assert keys == sorted(keys) and len(keys) == 900


def test_followers_hear_changes_and_removals_of_their_reader():
    async def scenario(site):
        site.publish(sites.plain_route(pathPrefix="/q/"))
        for daemon in site.daemons:

            async def is_served(daemon=daemon):
                return (await site.get(daemon, "/q/x")).status == 200

            await sites.wait_for(is_served, "the new route")
        name = next(name for name in site.leaves if name.startswith("i-p-"))
        site.store.remove(f"servers/{name}")

        def all_heard():
            return all(
                any(line["event"] == "target_gone" for line in daemon.log)
                for daemon in site.daemons
            )

        await sites.wait_for(all_heard, "the removal at every daemon")
        await asyncio.sleep(1.0)
        before = site.store.calls
        site.publish(sites.plain_route(pathPrefix="/r/"))
        await asyncio.sleep(1.0)
        assert site.store.calls - before <= 2, "one reader in each of two domains"

    sites.run_scenario(scenario, daemons=5)


class Follower:
    """A connection that keeps what it is answered."""

    def __init__(self):
        self.replies = []
        self.responses = []

    def reply(self, response):
        self.replies.append(response.status)
        self.responses.append(response)


def watch(control, after):
    follower = Follower()
    target = f"/v1/kv-watch?pathPrefix=&after={after}&waitMs=1000".encode()
    control.handle(message.Request(b"GET", target, []), follower)
    return follower


def test_a_reader_that_lost_the_store_turns_its_followers_away_at_once():
    """Found by hunts: each reader was turned away by the store, and its domain stayed behind."""

    async def run():
        cache = store.ItemCache()
        control = store.CacheHandler(cache)
        cache.update([item("a", 5)], 5)
        assert watch(control, 4).replies == [503], "the store was never heard"
        cache.record_store_read(clock.read())
        assert watch(control, 4).replies == [200]
        waiting = watch(control, 5)
        assert waiting.replies == []
        cache.record_failure()
        assert waiting.replies == [503]
        assert watch(control, 4).replies == [503]

    asyncio.run(run())


def test_a_follower_that_waits_is_told_in_time_that_its_reader_hears_nothing():
    """The store falls silent for the reader alone; a change is to be in force in 3 s."""

    async def run():
        cache = store.ItemCache()
        control = store.CacheHandler(cache)
        cache.update([item("a", 5)], 5)
        cache.record_store_read(clock.read() - store.FRESH_S + 0.5)
        waiting = watch(control, 5)
        while not waiting.replies:
            await asyncio.sleep(0.02)
        assert waiting.replies == [503]

    asyncio.run(run())


def make_table(shards=54, routes=44):
    """A published table of the size that held up a reader's narrow link."""
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


def test_a_large_table_is_passed_on_compressed_and_arrives_whole():
    """Found by a hunt: a table for 18 followers filled a link of 20 Mbit/s for 0.7 s."""
    cache = store.ItemCache()
    control = store.CacheHandler(cache)
    table = make_table()
    cache.update([item("op/config", 5, table)], 5)
    cache.record_store_read(clock.read())
    (response,) = watch(control, 4).responses
    assert len(table) > 50_000
    link_s = 18 * len(response.body) * 8 / 20e6
    assert 2 * link_s <= 0.5, "two tables in a row make no request half a second late"
    events = document.decode_events(store.decompress(response))
    assert events.events[0].value == table


def test_small_and_foreign_answers_are_read_as_they_are():
    cache = store.ItemCache()
    control = store.CacheHandler(cache)
    cache.update([item("a", 5)], 5)
    cache.record_store_read(clock.read())
    (response,) = watch(control, 4).responses
    assert response.get_header(b"content-encoding") is None
    assert document.decode_events(store.decompress(response)).as_of == 5
