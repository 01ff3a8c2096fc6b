import asyncio
import signal
import subprocess

from bench import site as sites


def test_free_ports_are_distinct():
    host = sites.free_host()
    for _ in range(2000):
        assert len(set(sites.free_ports(host, 4))) == 4


def test_signals_leave_the_exit_status_to_the_one_who_waits(monkeypatch):
    """The soak reported status 255 for daemons that had stopped with 0 (soak seed 730043)."""

    def fail(*_):
        raise AssertionError("takes the exit status")

    async def scenario(site):
        daemon = site.daemons[0]
        monkeypatch.setattr(subprocess.Popen, "send_signal", fail)
        monkeypatch.setattr(subprocess.Popen, "poll", fail)
        daemon.signal(signal.SIGTERM)
        while daemon.process.returncode is None:
            daemon.send_if_running(signal.SIGHUP)
            await asyncio.sleep(0.001)
        assert await daemon.wait() == 0

    sites.run_scenario(scenario)
