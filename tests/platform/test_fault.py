"""Errors outside the reducer: a daemon logs them and goes on."""

import asyncio
import contextlib
import resource
import signal

from bench import site as sites
from hyssopproxy import limit
from hyssopproxy.engine import effect
from hyssopproxy.platform import runtime
from hyssopproxy.platform import store
from hyssopproxy.transport import journal
from tests.engine import world as worlds

MAX_DESCRIPTORS = 40
MAX_RETRIES = 20  # between two lines of the log
FAULTY_CALL = """
import asyncio

from hyssopproxy.platform import service

class Watcher(service.SettingsWatcher):
    def reload(self):
        loop = asyncio.get_running_loop()
        loop.call_soon(fail, KeyError("callback"))
        loop.create_task(fail_later())
        loop.call_soon(fail, MemoryError("memory"))
        loop.call_exception_handler({"message": b"no text", "exception": "no exception"})
        raise KeyError("signal handler")

    def _stat(self):
        if self._is_served():
            raise KeyError("poll")
        return super()._stat()

    def _is_served(self):
        return self._runtime.state.table is not None

def fail(error):
    raise error

async def fail_later():
    raise KeyError("task")

service.SettingsWatcher = Watcher
service.SETTINGS_POLL_S = 0.05
service.main()
"""


def events_of(daemon):
    return [line["event"] for line in daemon.log]


async def restart(site, daemon, *arguments):
    daemon.signal(signal.SIGKILL)
    await daemon.wait()
    daemon.log.clear()
    await site.start_daemon(daemon, *arguments)


def test_errors_in_callbacks_tasks_and_handlers_are_logged_and_end_nothing():
    async def scenario(site):
        daemon = site.daemons[0]
        await restart(site, daemon, "-c", FAULTY_CALL)
        await site.wait_ready(daemon)
        daemon.signal(signal.SIGHUP)

        def are_logged():
            lines = [line for line in daemon.log if line["event"] == "internal_error"]
            text = " ".join(line["error"] for line in lines)
            names = ("callback", "task", "memory", "no exception", "signal handler")
            return all(name in text for name in names) and text.count("poll") > 1

        await sites.wait_for(are_logged, "a line for each error, and more than one poll")
        assert (await site.get(daemon)).status == 200
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)


def test_daemon_whose_descriptors_are_used_up_serves_when_some_are_free_again():
    async def scenario(site):
        daemon = site.daemons[0]
        pid = daemon.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(2 * MAX_DESCRIPTORS):
                _, writer = await site.connect(daemon)
                stack.callback(writer.close)
            await sites.wait_for(lambda: "internal_error" in events_of(daemon), "the full table")
            daemon.signal(signal.SIGHUP)  # a file that cannot be opened
            await sites.wait_for(lambda: "settings_refused" in events_of(daemon), "the refusal")
        await site.wait_ready(daemon)

        async def is_served():
            with contextlib.suppress(OSError):
                return (await site.get(daemon)).status == 200

        await sites.wait_for(is_served, "a response")
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)


def test_daemon_whose_descriptors_are_used_up_stops_with_status_0():
    async def scenario(site):
        daemon = site.daemons[0]
        pid = daemon.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(2 * MAX_DESCRIPTORS):
                _, writer = await site.connect(daemon)
                stack.callback(writer.close)
            await sites.wait_for(lambda: "internal_error" in events_of(daemon), "the full table")
            daemon.signal(signal.SIGTERM)
            assert await daemon.wait() == 0

    sites.run_scenario(scenario)


def test_retries_to_accept_do_not_multiply_while_no_descriptor_is_free():
    """Guards against a processor and a memory that fill with retries, hundreds more each second."""

    def error_lines(daemon):
        return [line for line in daemon.log if line["event"] == "internal_error"]

    async def scenario(site):
        daemon = site.daemons[0]
        pid = daemon.process.pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(2 * MAX_DESCRIPTORS):
                _, writer = await site.connect(daemon)
                stack.callback(writer.close)
            await sites.wait_for(lambda: len(error_lines(daemon)) > 3, "several retries")
        assert max(line["repeats"] for line in error_lines(daemon)) < MAX_RETRIES

    sites.run_scenario(scenario)


def test_unexpected_error_in_a_read_ends_this_read_alone(monkeypatch):
    """Guards against reads from the store that end for good, since one counts as in progress."""

    async def fail(*arguments):
        raise KeyError("unexpected")

    async def scenario():
        state = worlds.make_plain_world().state
        loop_runtime = runtime.Runtime(state, journal.Logger("n"), 0, limit.BufferLimits())
        monkeypatch.setattr(store.StoreClient, "_call", fail)
        for read in (
            effect.ReadPage(77, "", True, None, 1.0),
            effect.ReadChanges(77, "", True, 1, 1.0, 2.0),
        ):
            state.sync.read_no, state.sync.source = 77, state.settings.store
            loop_runtime._execute(read)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert state.sync.read_no == 0
        assert state.counters["internal_errors"] == 2

    asyncio.run(scenario())
