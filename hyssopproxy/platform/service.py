"""The daemon on the users' platform, from its settings to its end."""

import asyncio
import functools
import gc
import os
import random
import signal
import sys
import time
import traceback

from hyssopproxy import problem
from hyssopproxy.engine import event
from hyssopproxy.engine import policy
from hyssopproxy.engine import state as states
from hyssopproxy.platform import nodefile
from hyssopproxy.platform import operator
from hyssopproxy.platform import runtime as runtimes
from hyssopproxy.platform import store
from hyssopproxy.transport import clock
from hyssopproxy.transport import journal as journals
from hyssopproxy.transport import server

METRICS_VARIABLE = "HYSSOPPROXY_METRICS_PORT"
DEFAULT_METRICS_PORT = "9464"
SETTINGS_POLL_S = 1.0  # the settings file may change without a signal
GC_THRESHOLD = 20_000  # allocations between collections; fewer collections, shorter tails
POLICY_PREFIX = "HYSSOPPROXY_POLICY_"  # HYSSOPPROXY_POLICY_HEDGE=none picks a baseline


def main() -> None:
    """Run the daemon."""
    path = nodefile.path(os.environ)
    try:
        node = nodefile.load(path)
        metrics_port = _read_port(os.environ)
        policies = policy.from_names(_read_policy_names(os.environ))
    except problem.UserError as error:
        print(f"hyssopproxy: the settings are refused:\n{error}", file=sys.stderr)
        raise SystemExit(2) from None
    sys.exit(asyncio.run(serve(node, policies, path, metrics_port)))


def _read_port(environ: os._Environ) -> int:
    value = environ.get(METRICS_VARIABLE, DEFAULT_METRICS_PORT)
    if not value.isdigit() or not 0 < int(value) < 65536:
        raise problem.UserError([f"{METRICS_VARIABLE}: {value!r}: give a port up to 65535"])
    return int(value)


def _read_policy_names(environ: os._Environ) -> dict[str, str]:
    start = len(POLICY_PREFIX)
    return {
        name[start:].lower(): value
        for name, value in environ.items()
        if name.startswith(POLICY_PREFIX)
    }


def make_state(node: nodefile.NodeFile, policies: policy.Policies) -> states.State:
    """Return the state of a daemon that starts now."""
    return states.State(
        settings=node.engine,
        rng=random.Random(),
        started_at=clock.read(),
        incarnation=time.time_ns() // 1000,
        policies=policies,
    )


async def serve(
    node: nodefile.NodeFile, policies: policy.Policies, path: str, metrics_port: int
) -> int:
    """Serve until a signal; return the exit status."""
    journal = journals.Journal(node.name)
    runtime = runtimes.Runtime(make_state(node, policies), journal, node.peer_port)
    listeners = [
        (runtime.front, node.front.host, node.front.port),
        (server.Server(operator.Readiness(runtime)), node.readiness.host, node.readiness.port),
        (server.Server(operator.Metrics(runtime)), node.engine.ip, metrics_port),
    ]
    if node.control is not None:
        control = server.Server(store.Control(runtime.shelf))
        listeners.append((control, node.control.host, node.control.port))
    try:
        for listener, host, port in listeners:
            await listener.start(host, port)
        await runtime.start()
    except OSError as error:
        print(f"hyssopproxy: an address cannot be had: {error}", file=sys.stderr)
        return 2
    journal.write("started", {"settings": path}, clock.read(), is_urgent=True)
    watcher = SettingsWatcher(runtime, path)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(functools.partial(_log_error, journal))
    loop.add_signal_handler(signal.SIGTERM, runtime.post, event.StopRequested())
    loop.add_signal_handler(signal.SIGHUP, watcher.read)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    watcher.poll()
    await runtime.ended.wait()
    await asyncio.sleep(0)  # lets the last answers reach their sockets
    return 0


def _log_error(journal: journals.Journal, loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Log what no caller of ours took; the process goes on."""
    error = context.get("exception")
    where = traceback.format_exception(error)[-3:] if error else []
    fields = {"message": context.get("message", ""), "error": repr(error), "where": where}
    journal.write("internal_error", fields, clock.read(), is_urgent=True)


class SettingsWatcher:
    """Reads the settings file again when it changes; a bad one changes nothing."""

    def __init__(self, runtime: runtimes.Runtime, path: str) -> None:
        self._runtime = runtime
        self._path = path
        self._stamp = self._stat()

    def poll(self) -> None:
        """Look at the file now and then."""
        stamp = self._stat()
        if stamp != self._stamp:
            self._stamp = stamp
            self.read()
        asyncio.get_running_loop().call_later(SETTINGS_POLL_S, self.poll)

    def read(self) -> None:
        """Read the file."""
        try:
            node = nodefile.load(self._path)
        except problem.UserError as error:
            fields = {"reason": str(error)}
            self._runtime.journal.write("settings_refused", fields, clock.read(), is_urgent=True)
            return
        self._runtime.post(event.SettingsChanged(node.engine))

    def _stat(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0)  # missing for a moment while it is replaced; read at the next change
        return (found.st_mtime_ns, found.st_size)
