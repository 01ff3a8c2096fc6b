import asyncio

from hyssopproxy.emulator import store
from hyssopproxy.transport import message


class FakeConnection:
    """Fake connection that records the statuses sent to it."""

    def __init__(self):
        self.statuses = []

    def reply(self, response):
        self.statuses.append(response.status)


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
