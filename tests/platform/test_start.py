"""Daemons that start while something that they need is taken or not there yet."""

import asyncio
import errno
import signal
import socket
import tomllib

import pytest

from bench import site as sites
from hyssopproxy.platform import service
from hyssopproxy.transport import journal


def events_of(daemon):
    return [line["event"] for line in daemon.log]


def test_daemon_waits_for_addresses_that_its_predecessor_still_holds():
    async def scenario(site):
        daemon = site.daemons[0]
        predecessor = daemon.process
        daemon.signal(signal.SIGTERM)
        await site.start_daemon(daemon)
        await sites.wait_for(lambda: "waiting" in events_of(daemon), "the wait for an address")
        assert await predecessor.wait() == 0
        await site.wait_ready(daemon)
        assert (await site.get(daemon)).status == 200

    sites.run_scenario(scenario)


def test_daemon_that_waits_for_an_address_can_be_stopped():
    async def scenario(site):
        daemon = site.daemons[0]
        predecessor = daemon.process
        await site.start_daemon(daemon)
        await sites.wait_for(lambda: "waiting" in events_of(daemon), "the wait for an address")
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0
        daemon.attach(predecessor)

    sites.run_scenario(scenario)


def test_address_that_stays_taken_ends_the_start_with_status_2():
    async def scenario(site):
        daemon = site.daemons[0]
        predecessor = daemon.process
        await site.start_daemon(daemon)
        assert await daemon.wait() == 2
        assert events_of(daemon)[-1] == "ended"
        daemon.attach(predecessor)
        assert (await site.get(daemon)).status == 200

    sites.run_scenario(scenario)


def test_taken_metrics_port_does_not_keep_a_daemon_from_serving():
    async def scenario(site):
        daemon = site.daemons[0]
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((daemon.host, site.ports["metrics"]))
            other.listen()
            await site.start_daemon(daemon)
            await site.wait_ready(daemon)
            assert (await site.get(daemon)).status == 200
            assert "metrics_unavailable" in events_of(daemon)

        async def has_metrics():
            try:
                return await site.metrics(daemon)
            except OSError:
                return {}

        await sites.wait_for(has_metrics, "the metrics once their port is free")

    sites.run_scenario(scenario)


def test_daemons_of_a_vm_that_get_their_address_late_wait_for_it():
    async def scenario(site):
        # An address outside the loopback network stands for one that the VM does not have yet.
        daemon = site.daemons[0]
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        with open(daemon.settings_path) as file:
            valid = file.read()
        with open(daemon.settings_path, "w") as file:
            file.write(valid.replace(daemon.host, "192.0.2.1"))
        daemon.log.clear()
        await site.start_daemon(daemon)
        await sites.wait_for(lambda: "waiting" in events_of(daemon), "the wait for an address")
        assert daemon.process.returncode is None
        daemon.signal(signal.SIGTERM)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)


def open_all(failures, stop_grace_s):
    """Open a socket that fails with the given errors first; return how often it was tried."""
    tries = []

    async def open_socket():
        tries.append(1)
        if len(tries) <= len(failures):
            raise OSError(failures[len(tries) - 1], "failed")

    assert asyncio.run(service._open_all([open_socket], stop_grace_s, journal.Logger("n", 2)))
    return len(tries)


def test_address_that_arrives_late_is_opened():
    late = -service.ADDRESS_MARGIN_S  # no time is left for a predecessor
    assert open_all([errno.EADDRNOTAVAIL] * 3, late) == 4


def test_address_in_use_is_waited_for_while_a_predecessor_may_hold_it():
    assert open_all([errno.EADDRINUSE] * 3, 6.0) == 4
    with pytest.raises(OSError):
        open_all([errno.EADDRINUSE], -service.ADDRESS_MARGIN_S)
    with pytest.raises(OSError):
        open_all([errno.EACCES], 6.0)


@pytest.mark.parametrize("is_on_path", [True, False])
def test_deploy_command_finds_its_dependencies(is_on_path):
    """Guards against -S hiding packages that are installed beside the interpreter."""

    async def scenario(site):
        daemon = site.daemons[0]
        with open("deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["hyssopproxy"]["run"]
        if is_on_path:
            folders = filter(sites.os.path.isdir, sites.sys.path)
            daemon.environ["PYTHONPATH"] = sites.os.pathsep.join(folders)
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        await site.start_daemon(daemon, *command.split()[1:])
        await site.wait_ready(daemon)

    sites.run_scenario(scenario)


def test_settings_that_change_before_they_are_watched_are_loaded(tmp_path):
    """Guards against a change between the first read of the file and the first look at it."""

    class Runtime:
        posted = []

        def post(self, posted_event):
            self.posted.append(posted_event)

    async def run():
        path = tmp_path / "node.toml"
        path.write_text(
            'node = "n"\nip = "127.0.0.1"\nzone = "a"\ninternalPorts = [7]\n'
            'seeds = ["127.0.0.2:9"]\n'
            '[listen]\nfront = "127.0.0.1:1"\nreadinessAddr = "127.0.0.1:2"\n'
            '[platform]\naddress = "127.0.0.1:3"\n'
        )
        service.SettingsWatcher(Runtime(), str(path)).poll()
        (changed,) = Runtime.posted
        assert changed.settings.seeds == ("127.0.0.2:9",)

    asyncio.run(run())
