"""Settings files that are missing, half written or odd when a daemon starts or reloads."""

import asyncio
import os
import signal

import pytest

from bench import site as sites
from hyssopproxy import problem
from hyssopproxy.platform import nodefile

VALID = """
node = "front-1"
ip = "127.0.0.1"
zone = "a"
internalPorts = [7000, 7001]
[listen]
front = "127.0.0.1:8000"
readinessAddr = "127.0.0.1:8001"
[platform]
address = "127.0.0.1:8002"
"""


def events_of(daemon):
    return [line["event"] for line in daemon.log]


def remove(path, valid):
    os.remove(path)


def replace_by_folder(path, valid):
    os.remove(path)
    os.mkdir(path)


def replace_by_loop(path, valid):
    os.remove(path)
    os.symlink(path, path)


def write(make_content):
    def change(path, valid):
        with open(path, "wb") as file:
            file.write(make_content(valid))

    return change


#: By name: what spoils the settings file.
FAULTS = {
    "missing": remove,
    "folder": replace_by_folder,
    "loop": replace_by_loop,
    "empty": write(lambda valid: b""),
    "half": write(lambda valid: valid[: len(valid) // 2]),
    "no platform": write(lambda valid: valid.replace(b"[platform]", b"[other]")),
    "bytes": write(lambda valid: b"\xff\xfe\x00" + valid),
    "deep": write(lambda valid: valid + b"\nx = " + b"[" * 100_000),
    "long number": write(lambda valid: valid + b"\nx = " + b"9" * 5000),
    "large number": write(lambda valid: valid.replace(b"graceS = 6", b"graceS = 1" + b"0" * 400)),
    "no number": write(lambda valid: valid.replace(b"graceS = 6", b"graceS = nan")),
    "no address": write(lambda valid: valid.replace(b'ip = "', b'ip = "x\\u0000' + b"x" * 70)),
}


def restore(path, valid):
    """Put the valid file in place, as the platform does."""
    if os.path.isdir(path):
        os.rmdir(path)
    with open(f"{path}.new", "wb") as file:
        file.write(valid)
    os.replace(f"{path}.new", path)


def read(path):
    with open(path, "rb") as file:
        return file.read()


def run_each(scenario):
    """Run a scenario for each fault at the same time, each with its own daemon."""

    async def run(site):
        results = await asyncio.gather(
            *(
                scenario(site, daemon, FAULTS[name])
                for daemon, name in zip(site.daemons, FAULTS, strict=True)
            ),
            return_exceptions=True,
        )
        failed = {name: result for name, result in zip(FAULTS, results, strict=True) if result}
        assert not failed

    sites.run_scenario(run, daemons=len(FAULTS))


async def kill(daemon):
    daemon.signal(signal.SIGKILL)
    await daemon.wait()
    daemon.log.clear()


def test_start_waits_for_a_valid_file():
    async def scenario(site, daemon, spoil):
        valid = read(daemon.settings_path)
        await kill(daemon)
        spoil(daemon.settings_path, valid)
        await site.start_daemon(daemon)
        await sites.wait_for(lambda: "waiting" in events_of(daemon), "the wait for the settings")
        restore(daemon.settings_path, valid)
        await site.wait_ready(daemon)
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    run_each(scenario)


def test_file_that_stays_invalid_ends_the_start_with_status_2():
    async def scenario(site, daemon, spoil):
        valid = read(daemon.settings_path)
        await kill(daemon)
        spoil(daemon.settings_path, valid)
        await site.start_daemon(daemon)
        assert await daemon.wait() == 2
        restore(daemon.settings_path, valid)

    run_each(scenario)


def test_daemon_keeps_its_settings_while_the_file_is_invalid():
    async def scenario(site, daemon, spoil):
        valid = read(daemon.settings_path)
        spoil(daemon.settings_path, valid)
        daemon.signal(signal.SIGHUP)
        await sites.wait_for(lambda: "settings_refused" in events_of(daemon), "the refusal")
        assert (await site.get(daemon)).status == 200
        restore(daemon.settings_path, valid.replace(b"seeds = [", b'seeds = ["127.0.0.1:1", '))
        await sites.wait_for(
            lambda: any(
                line["event"] == "settings" and line["seeds"][0] == "127.0.0.1:1"
                for line in daemon.log
            ),
            "the new settings",
        )
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    run_each(scenario)


def test_file_that_is_replaced_again_and_again_is_never_refused():
    async def scenario(site):
        daemon = site.daemons[0]
        valid = read(daemon.settings_path)
        for number in range(200):
            restore(daemon.settings_path, valid + b"\n" * number)
            daemon.signal(signal.SIGHUP)
            await asyncio.sleep(0)
        assert (await site.get(daemon)).status == 200
        assert "settings_refused" not in events_of(daemon)

    sites.run_scenario(scenario)


def test_part_of_a_file_is_never_taken_for_a_whole_one(tmp_path):
    """The platform's address comes last; without its closing quote it is invalid."""
    path = tmp_path / "node.toml"
    for length in range(len(VALID.rstrip())):
        path.write_text(VALID[:length])
        with pytest.raises(problem.UserError):
            nodefile.load(str(path))
    path.write_text(VALID)
    assert nodefile.load(str(path)).name == "front-1"
