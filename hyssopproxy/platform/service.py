"""Runs the daemon on the hosting platform: settings, start, signals and shutdown."""

import asyncio
import errno
import functools
import gc
import os
import random
import signal
import sys
import time
import traceback
import typing

import attrs

import hyssopproxy
from hyssopproxy import problem
from hyssopproxy import signals
from hyssopproxy import stream
from hyssopproxy import usage
from hyssopproxy.engine import event
from hyssopproxy.engine import policy
from hyssopproxy.engine import state as states
from hyssopproxy.platform import environment
from hyssopproxy.platform import nodefile
from hyssopproxy.platform import operator
from hyssopproxy.platform import runtime as runtimes
from hyssopproxy.transport import clock
from hyssopproxy.transport import journal
from hyssopproxy.transport import server

SETTINGS_WAIT_S = 2.0  # how long a start waits for a file that is missing or invalid
SETTINGS_RETRY_S = 0.05
ADDRESS_RETRY_S = 0.05
ADDRESS_MARGIN_S = 2.0  # added to the grace of a predecessor that still holds an address
METRICS_RETRY_S = 1.0
SETTINGS_POLL_S = 1.0  # poll interval of the settings file, which may change without a SIGHUP
ERROR_REPEAT_S = 1.0  # interval between lines about the same unexpected error
EXIT_MARGIN_S = 0.2  # time to end the process before SIGKILL
GC_THRESHOLD = 20_000  # allocations between collections; fewer collections cut tail latency


def main() -> None:
    """Run the daemon until it stops, and log its start and its end."""
    stream.protect()
    logger = journal.Logger("")
    path = nodefile.path(os.environ)
    fields = {
        "pid": os.getpid(),
        "version": hyssopproxy.__version__,
        "python": ".".join(map(str, sys.version_info[:3])),
        "machine": os.uname().machine,
        "settings": path,
    }
    logger.write_always("starting", fields)
    try:
        status = run(path, logger)
    except BaseException as error:
        _log_end(logger, 1, repr(error), traceback.format_exception(error)[-3:])
        raise
    _log_end(logger, status)
    sys.exit(status)


def _log_end(logger: journal.Logger, status: int, error: str = "", where: typing.Any = ()) -> None:
    fields = {"status": status, "error": error, "where": where, **attrs.asdict(usage.read())}
    logger.write_always("ended", fields)


def run(path: str, logger: journal.Logger) -> int:
    """Load the settings and run the daemon until it stops; return the exit status."""
    try:
        settings = environment.parse(os.environ)
        node = _load_when_written(path, logger)
    except problem.UserError as error:
        stream.report(f"hyssopproxy: the settings are refused:\n{error}")
        return 2
    if node is None:
        return 0
    logger.set_node(node.name)
    return asyncio.run(serve(node, settings, path, logger))


def _load_when_written(path: str, logger: journal.Logger) -> nodefile.NodeFile | None:
    """Load the settings file; wait a while for one that is still being written.

    Return None if the process is to stop meanwhile.
    """
    deadline = clock.read() + SETTINGS_WAIT_S
    is_waiting = False
    while not signals.is_stop_pending():
        try:
            return nodefile.load(path)
        except problem.UserError as error:
            if clock.read() >= deadline:
                raise
            if not is_waiting:
                logger.write("waiting", {"reason": str(error)}, clock.read(), is_urgent=True)
            is_waiting = True
            time.sleep(SETTINGS_RETRY_S)
    return None


def make_state(node: nodefile.NodeFile, policies: policy.Policies) -> states.State:
    """Return the initial state of a daemon."""
    return states.State(
        settings=node.engine,
        rng=random.Random(),
        started_at=clock.read(),
        incarnation=time.time_ns() // 1000,
        policies=policies,
    )


async def serve(
    node: nodefile.NodeFile,
    settings: environment.Environment,
    path: str,
    logger: journal.Logger,
) -> int:
    """Serve until SIGTERM; return the exit status."""
    state = make_state(node, settings.policies)
    runtime = runtimes.Runtime(state, logger, node.peer_port, settings.limits)
    servers = [
        (runtime.front, node.front.host, node.front.port),
        (
            server.Server(operator.Readiness(runtime), runtime.account),
            node.readiness.host,
            node.readiness.port,
        ),
    ]
    if node.control is not None:
        control = server.Server(runtime.cache_handler, runtime.account)
        servers.insert(0, (control, node.control.host, node.control.port))
    openers = [runtime.start]
    openers += [functools.partial(listener.start, host, port) for listener, host, port in servers]
    try:
        is_stopped = not await _open_all(openers, node.engine.stop_grace_s, logger)
    except OSError as error:
        stream.report(f"hyssopproxy: cannot listen on an address: {error}")
        return 2
    if is_stopped:
        return 0
    metrics = server.Server(operator.Metrics(runtime), runtime.account)
    open_metrics = functools.partial(metrics.start, node.engine.ip, settings.metrics_port)
    metrics_task = asyncio.create_task(_open_metrics(open_metrics, logger))
    logger.write("started", {"settings": path}, clock.read(), is_urgent=True)
    watcher = SettingsWatcher(runtime, path)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(ErrorLog(logger).handle)
    for number, handle in (
        (signal.SIGTERM, functools.partial(runtime.post, event.StopRequested())),
        (signal.SIGHUP, watcher.reload),
    ):
        signals.handle(loop, number, functools.partial(_handle_signal, logger, number, handle))
    signals.deliver()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    loop.call_soon(watcher.poll)  # its errors are logged like those of later polls
    try:
        await runtime.ended.wait()
        metrics_task.cancel()
        await _drain(runtime)
    finally:
        signals.defer()  # a closed loop handles none
    return 0


async def _open_all(
    openers: typing.Iterable[typing.Callable[[], typing.Awaitable]],
    stop_grace_s: float,
    logger: journal.Logger,
) -> bool:
    """Open all sockets; return False if the process is to stop meanwhile. Signals are deferred.

    Wait for an address that the VM does not have yet, and for one that a predecessor still holds
    while it stops. Raise OSError once no predecessor can be left, or at once for any other error.
    """
    deadline = clock.read() + stop_grace_s + ADDRESS_MARGIN_S
    for open_socket in openers:
        is_waiting = False
        while not signals.is_stop_pending():
            try:
                await open_socket()
                break
            except OSError as error:
                is_held = error.errno == errno.EADDRINUSE and clock.read() < deadline
                if not is_held and error.errno != errno.EADDRNOTAVAIL:
                    raise
                if not is_waiting:
                    logger.write("waiting", {"reason": str(error)}, clock.read(), is_urgent=True)
            is_waiting = True
            await asyncio.sleep(ADDRESS_RETRY_S)
    return not signals.is_stop_pending()


async def _open_metrics(
    open_socket: typing.Callable[[], typing.Awaitable], logger: journal.Logger
) -> None:
    """Open the socket of the metrics; requests are served without it until its port is free."""
    is_logged = False
    while True:
        try:
            return await open_socket()
        except OSError as error:
            if not is_logged:
                fields = {"reason": str(error)}
                logger.write("metrics_unavailable", fields, clock.read(), is_urgent=True)
            is_logged = True
        await asyncio.sleep(METRICS_RETRY_S)


def _handle_signal(
    logger: journal.Logger, number: signal.Signals, handle: typing.Callable[[], None]
) -> None:
    logger.write("signal", {"signal": number.name}, clock.read(), is_urgent=True)
    handle()


async def _drain(runtime: runtimes.Runtime) -> None:
    """Wait until callers have received their responses, at most until shortly before SIGKILL."""
    left_s = runtime.state.kill_at - EXIT_MARGIN_S - clock.read()
    cut = await runtime.front.drain(max(0.0, left_s))
    if cut:
        fields = {"connections": cut}
        runtime.logger.write("connections_cut", fields, clock.read(), is_urgent=True)


class ErrorLog:
    """Logs exceptions that no other code handled; the process continues.

    The event loop reports the same error hundreds of times when all descriptors are used. It is
    logged once in `ERROR_REPEAT_S`, so that it does not crowd out other lines.
    """

    def __init__(self, logger: journal.Logger) -> None:
        self._logger = logger
        self._last = ("", "")  # message and error
        self._logged_at = float("-inf")
        self._repeats = 0

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Log an exception; an exception handler of the event loop."""
        error = context.get("exception")
        key = (str(context.get("message", "")), repr(error))
        now = clock.read()
        if key == self._last and now - self._logged_at < ERROR_REPEAT_S:
            self._repeats += 1
            return
        is_error = isinstance(error, BaseException)
        where = traceback.format_exception(error)[-3:] if is_error else []
        fields = {"message": key[0], "error": key[1], "where": where, "repeats": self._repeats}
        self._logger.write("internal_error", fields, now, is_urgent=True)
        self._last, self._logged_at, self._repeats = key, now, 0


class SettingsWatcher:
    """Reloads the settings file when it changes; keeps the settings while it is not valid."""

    def __init__(self, runtime: runtimes.Runtime, path: str) -> None:
        self._runtime = runtime
        self._path = path
        # Unknown, as the file may have changed since it was loaded; the first poll loads it again.
        self._loaded_stat: tuple[int, int, int] | None = None
        self._refusal = ""  # why the file was refused, until it is valid again

    def poll(self) -> None:
        """Reload the file if it has changed or was refused, and schedule the next check."""
        asyncio.get_running_loop().call_later(SETTINGS_POLL_S, self.poll)
        stat = self._stat()
        if stat is not None and stat != self._loaded_stat:
            self.reload()

    def reload(self) -> None:
        """Load the file and post the new settings, or log why they are invalid."""
        stat = self._stat()
        try:
            node = nodefile.load(self._path)
        except problem.UserError as error:
            self._loaded_stat = None
            if self._refusal != str(error):
                self._refusal = str(error)
                fields = {"reason": self._refusal}
                self._runtime.logger.write("settings_refused", fields, clock.read(), is_urgent=True)
            return
        self._loaded_stat = stat
        self._refusal = ""
        self._runtime.post(event.SettingsChanged(node.engine))

    def _stat(self) -> tuple[int, int, int] | None:
        """Return what identifies the contents of the file; None while it is being replaced."""
        try:
            stat_result = os.stat(self._path)
        except OSError:
            return None
        return (stat_result.st_ino, stat_result.st_mtime_ns, stat_result.st_size)
