"""A daemon that stops gracefully neither cuts off nor refuses requests."""

import concurrent.futures
import signal
import time

from bench import fleet as fleets
from bench import process
from tests.processes import traffic


def test_rolling_restart_under_load_loses_no_search():
    layout = fleets.make_layout(targets=3, vms=3)
    with fleets.running(layout) as fleet:
        with traffic.running(layout, rate=20) as load:
            for vm in layout.vms:
                assert fleet.daemons[vm.name].stop() == 0
                fleet.start_daemon(vm)
                fleet.wait_ready(vm)
        report = load.result()
    assert report["cut"] == 0
    assert report["refused"] == {}
    assert report["full"] == report["sent"] > 0


def test_stopping_daemon_becomes_unready_and_finishes_accepted_searches():
    layout = fleets.make_layout(targets=1, vms=1, replicas=1)
    with fleets.running(layout) as fleet:
        (vm,) = layout.vms
        fleet.set_behaviour("t0", service_ms=700)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            search = pool.submit(fleet.search, vm, 5000)
            process.wait_for(lambda: fleet.state(vm)["searches"], "the search to begin")
            fleet.daemons[vm.name].signal(signal.SIGTERM)
            url = f"http://{vm.listen}/readyz"
            process.wait_for(
                lambda: process.send_request(url)[0] == 503, "the daemon to be unready"
            )
            status, body, headers = search.result()
        assert status == 200
        assert body["coverage"]["shards_answered"] == 6
        assert headers["connection"] == "close"
        assert fleet.daemons[vm.name].popen.wait(process.WAIT_S) == 0


def test_second_signal_ends_the_daemon_at_once():
    layout = fleets.make_layout(targets=1, vms=1, replicas=1, stop_grace_s=50.0)
    with fleets.running(layout) as fleet:
        (vm,) = layout.vms
        fleet.daemons[vm.name].signal(signal.SIGTERM)
        process.wait_for(
            lambda: fleet.state(vm)["unready"] == "stopping", "the daemon to begin stopping"
        )
        fleet.daemons[vm.name].signal(signal.SIGTERM)
        started_at = time.monotonic()
        assert fleet.daemons[vm.name].popen.wait(process.WAIT_S) == 1
        assert time.monotonic() - started_at < 40
