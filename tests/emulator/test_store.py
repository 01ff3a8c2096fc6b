import asyncio

from hyssopproxy.emulator import store
from hyssopproxy.transport import message


class FakeConnection:
    """Fake connection that records the responses sent to it."""

    def __init__(self):
        self.statuses = []
        self.responses = []

    def reply(self, response):
        self.statuses.append(response.status)
        self.responses.append(response)


def test_waiting_watch_skips_no_change_when_the_history_is_dropped():
    """Guards against tests whose daemons miss a change because of the emulated store."""

    async def run():
        emulated = store.Store()
        connection = FakeConnection()
        target = f"/v1/kv-watch?pathPrefix=&after={emulated.revision}&waitMs=5000".encode()
        emulated.handle(message.Request(b"GET", target, []), connection)
        await asyncio.sleep(0.01)
        emulated.put("a", b"{}")
        emulated.compact()
        await asyncio.sleep(0.01)
        assert connection.statuses == [410]

    asyncio.run(run())


def test_page_holds_no_more_bytes_than_a_page_of_the_platform():
    """Guards against listings that fail in tests alone, as one page exceeds the daemon's limit."""
    emulated = store.Store()
    for number in range(5):
        emulated.put(f"k{number}", b"x" * (400 << 10))
    first = emulated._range("")
    assert [item["key"] for item in first["items"]] == ["k0"] and first["morePages"]
    emulated.put("k0", b"x")
    assert len(emulated._range("")["items"]) == 2
    assert not emulated._range("k3")["morePages"]


def test_store_returns_from_an_older_copy_as_the_platform_does():
    """Guards against tests that pass because the emulated store never gives a revision twice."""

    async def run():
        emulated = store.Store()
        emulated.put("a", b"{}")
        older = emulated.make_copy()
        emulated.put("b", b"{}")
        lost_revision = emulated.revision
        emulated.restore(older)
        assert list(emulated.items) == ["a"] and emulated.revision == older.revision
        connection = FakeConnection()
        for after in (lost_revision, older.revision - 1):
            target = f"/v1/kv-watch?pathPrefix=&after={after}&waitMs=0".encode()
            emulated.handle(message.Request(b"GET", target, []), connection)
            await asyncio.sleep(0.01)
        assert connection.statuses == [410, 200]
        assert {response.get_header(b"store-era") for response in connection.responses} == {b"2"}
        emulated.put("c", b"{}")
        assert emulated.revision == lost_revision

    asyncio.run(run())
