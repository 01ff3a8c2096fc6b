"""Standard streams as supervisors give them: no problem with output ends a daemon."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import sys

import pytest

from bench import site as sites

BUSY_DISK = "/dev/full"  # accepts to be opened, and refuses every write with ENOSPC
MAX_FILE_BYTES = 200  # for a file on a disk that is nearly full


def fill(descriptor):
    """Fill the buffer of a pipe or socket."""
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, b"x" * 4096)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, b"x")
    os.set_blocking(descriptor, True)


@contextlib.contextmanager
def full_pipe():
    reader, writer = os.pipe()
    fill(writer)
    yield writer
    os.close(reader)
    os.close(writer)


@contextlib.contextmanager
def closed_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    yield writer
    os.close(writer)


@contextlib.contextmanager
def full_socket():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        fill(theirs.fileno())
        yield theirs.fileno()


@contextlib.contextmanager
def closed_socket():
    ours, theirs = socket.socketpair()
    ours.close()
    with theirs:
        yield theirs.fileno()


@contextlib.contextmanager
def opened(path, flags=os.O_WRONLY):
    descriptor = os.open(path, flags)
    yield descriptor
    os.close(descriptor)


OUTPUTS = {
    "full pipe": full_pipe,
    "closed pipe": closed_pipe,
    "full socket": full_socket,
    "closed socket": closed_socket,
    "full disk": lambda: opened(BUSY_DISK),
    "null": lambda: opened(os.devnull),
    "read-only": lambda: opened(os.devnull, os.O_RDONLY),
}


def close_streams(*descriptors):
    """Return a function that closes descriptors in the child, before the daemon runs."""

    def close():
        for descriptor in descriptors:
            os.close(descriptor)

    return close


async def start(site, daemon, *arguments, **options):
    """Start the daemon's process with other standard streams than the site gives it."""
    if daemon.process.returncode is None:
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
    environ = {
        **os.environ,
        "HYSSOPPROXY_NODE_FILE": daemon.settings_path,
        "HYSSOPPROXY_METRICS_PORT": str(site.ports["metrics"]),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, *(arguments or ("-m", "hyssopproxy.platform")), env=environ, **options
    )
    daemon.attach(process)


async def check_serves_and_stops(site, daemon):
    await site.wait_ready(daemon)
    assert (await site.get(daemon)).status == 200
    for _ in range(20):  # reloads write lines
        daemon.signal(signal.SIGHUP)
        assert (await site.get(daemon)).status == 200
    daemon.signal(signal.SIGTERM)
    assert await daemon.wait() == 0


STREAMS = [("stdout",), ("stderr",), ("stdout", "stderr")]
CLOSED = [(0,), (1,), (2,), (1, 2), (0, 1, 2)]


def run_each(cases, scenario):
    """Run a scenario for each case at the same time, each with its own daemon."""

    async def run(site):
        results = await asyncio.gather(
            *(scenario(site, *pair) for pair in zip(site.daemons, cases, strict=True)),
            return_exceptions=True,
        )
        failed = {case: result for case, result in zip(cases, results, strict=True) if result}
        assert not failed

    sites.run_scenario(run, daemons=len(cases))


@pytest.mark.parametrize("streams", STREAMS)
def test_daemon_serves_and_stops_whatever_its_output_is(streams):
    async def scenario(site, daemon, kind):
        with OUTPUTS[kind]() as descriptor:
            await start(site, daemon, **dict.fromkeys(streams, descriptor))
            await check_serves_and_stops(site, daemon)

    run_each(list(OUTPUTS), scenario)


def test_daemon_serves_and_stops_with_streams_that_are_closed():
    async def scenario(site, daemon, closed):
        await start(site, daemon, preexec_fn=close_streams(*closed))
        await check_serves_and_stops(site, daemon)

    run_each(CLOSED, scenario)


def test_daemon_serves_and_stops_when_its_log_reaches_the_largest_file(tmp_path):
    def limit():
        signal.signal(signal.SIGXFSZ, signal.SIG_DFL)
        resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_FILE_BYTES, MAX_FILE_BYTES))

    async def scenario(site):
        with open(tmp_path / "log", "wb") as file:
            await start(site, site.daemons[0], stdout=file, stderr=file, preexec_fn=limit)
            await check_serves_and_stops(site, site.daemons[0])

    sites.run_scenario(scenario)


def refuse_settings(daemon):
    with open(daemon.settings_path, "w") as file:
        file.write("node = 1\n")


@pytest.mark.parametrize("streams", STREAMS)
def test_refused_settings_end_the_start_with_status_2_whatever_the_output_is(streams):
    async def scenario(site, daemon, kind):
        refuse_settings(daemon)
        with OUTPUTS[kind]() as descriptor:
            await start(site, daemon, **dict.fromkeys(streams, descriptor))
            assert await daemon.wait() == 2

    run_each(list(OUTPUTS), scenario)


def test_refused_settings_end_the_start_with_status_2_without_streams():
    async def scenario(site, daemon, closed):
        refuse_settings(daemon)
        await start(site, daemon, preexec_fn=close_streams(*closed))
        assert await daemon.wait() == 2

    run_each(CLOSED, scenario)


def test_settings_path_that_is_no_text_does_not_end_the_start_with_an_exception(tmp_path):
    path = bytes(tmp_path) + b"/\xff.toml"

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hyssopproxy.platform",
            env={**os.environb, b"HYSSOPPROXY_NODE_FILE": path},
            stdout=asyncio.subprocess.DEVNULL,
        )
        assert await process.wait() == 2

    asyncio.run(run())
