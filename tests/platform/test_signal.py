"""Signals of the platform that reach a daemon while it starts or after it has stopped."""

import asyncio
import os
import signal
import tomllib

import msgspec
import pytest

from bench import site as sites
from tests import signalled

RUN = signalled.run_module("hyssopproxy.platform")
MODULES = ("asyncio", "hyssopproxy.platform.service", "hyssopproxy.platform.leaf", "httptools")


async def restart(site, daemon, *arguments):
    daemon.signal(signal.SIGKILL)
    await daemon.wait()
    daemon.log.clear()
    await site.start_daemon(daemon, *arguments)


def events_of(daemon):
    return [line["event"] for line in daemon.log]


@pytest.mark.parametrize("module", MODULES)
def test_sighup_during_imports_reloads_the_settings(module):
    async def scenario(site):
        daemon = site.daemons[0]
        code = signalled.make_import_code(RUN, module, signal.SIGHUP)
        await restart(site, daemon, "-c", code)
        await site.wait_ready(daemon)
        assert (await site.get(daemon)).status == 200
        assert [line["signal"] for line in daemon.log if line["event"] == "signal"] == ["SIGHUP"]

    sites.run_scenario(scenario)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_script_defers_signals_before_its_imports(number):
    async def scenario(site):
        daemon = site.daemons[0]
        code = signalled.make_import_code(signalled.run_script(sites.START_PATH), "site", number)
        await restart(site, daemon, "-S", "-c", code)  # without -S, site is imported already
        if number == signal.SIGTERM:
            assert await daemon.wait() == 0
        else:
            await site.wait_ready(daemon)
        assert "starting" in events_of(daemon)

    sites.run_scenario(scenario)


def test_stop_is_not_lost_in_a_flood_of_hangups():
    async def scenario(site):
        daemon = site.daemons[0]
        daemon.signal(signal.SIGSTOP)
        for _ in range(20):
            daemon.signal(signal.SIGHUP)
        daemon.signal(signal.SIGCONT)
        for _ in range(20_000):
            daemon.signal(signal.SIGHUP)
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)


@pytest.mark.parametrize("module", MODULES)
def test_sigterm_during_imports_is_a_clean_stop(module):
    async def scenario(site):
        daemon = site.daemons[0]
        code = signalled.make_import_code(RUN, module, signal.SIGTERM)
        await restart(site, daemon, "-c", code)
        assert await daemon.wait() == 0
        assert events_of(daemon)[0] == "starting" and events_of(daemon)[-1] == "ended"

    sites.run_scenario(scenario)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_after_the_stop_does_not_change_the_exit_status(number):
    async def scenario(site):
        daemon = site.daemons[0]
        await restart(site, daemon, "-c", signalled.make_exit_code(RUN, number))
        await site.wait_ready(daemon)
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)


def test_sigterm_while_waiting_for_settings_is_a_clean_stop(tmp_path):
    async def run():
        process = await asyncio.create_subprocess_exec(
            sites.sys.executable,
            "-m",
            "hyssopproxy.platform",
            env={**os.environ, "HYSSOPPROXY_NODE_FILE": str(tmp_path / "none.toml")},
            stdout=asyncio.subprocess.PIPE,
        )
        async for line in process.stdout:
            if msgspec.json.decode(line)["event"] == "waiting":
                process.send_signal(signal.SIGTERM)
                break
        assert await process.wait() == 0

    asyncio.run(run())


def test_packages_beside_the_interpreter_are_not_loaded_in_the_start(tmp_path):
    """Guards against SIGHUP ending the process while the interpreter loads site packages."""
    (tmp_path / "sitecustomize.py").write_text(
        "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n"
    )

    async def scenario(site):
        daemon = site.daemons[0]
        with open("deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["hyssopproxy"]["run"]
        arguments = command.split()[1:]
        # The dependencies of this test run are in a virtual environment, which -S leaves out.
        path = os.pathsep.join([str(tmp_path), *filter(os.path.isdir, sites.sys.path)])
        daemon.environ["PYTHONPATH"] = path
        await restart(site, daemon, *arguments)
        await site.wait_ready(daemon)

    sites.run_scenario(scenario)
