"""Signals that reach hyssopproxyd while it starts, serves, or has stopped."""

import signal
import subprocess
import sys

import pytest

from bench import fleet as fleets
from bench import process
from tests import signalled

RUN = signalled.run_module("hyssopproxy")
LAYOUT = fleets.make_layout(targets=1, vms=1, replicas=1, stop_grace_s=0.5)


def start_with(fleet, code):
    """Start the daemon of a VM once more, with code that runs it."""
    (vm,) = fleet.layout.vms
    arguments = fleet.daemons[vm.name].popen.args[3:]
    fleet.daemons[vm.name].kill()
    popen = subprocess.Popen([sys.executable, "-c", code, *arguments], stderr=subprocess.DEVNULL)
    fleet.daemons[vm.name] = process.Process(popen)
    return vm


@pytest.mark.parametrize("module", ["hyssopproxy.daemon", "uvicorn", "zmq"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_during_imports_is_a_clean_stop(module, number):
    with fleets.running(LAYOUT) as fleet:
        vm = start_with(fleet, signalled.make_import_code(RUN, module, number))
        assert fleet.daemons[vm.name].popen.wait(process.WAIT_S) == 0


@pytest.mark.parametrize("module", ["hyssopproxy.daemon", "uvicorn", "zmq"])
def test_sighup_during_imports_does_not_end_the_daemon(module):
    with fleets.running(LAYOUT) as fleet:
        vm = start_with(fleet, signalled.make_import_code(RUN, module, signal.SIGHUP))
        fleet.wait_ready(vm)
        fleet.daemons[vm.name].signal(signal.SIGHUP)
        assert fleet.search(vm, 5000)[0] == 200
        assert fleet.daemons[vm.name].stop() == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signal_after_the_stop_does_not_change_the_exit_status(number):
    with fleets.running(LAYOUT) as fleet:
        vm = start_with(fleet, signalled.make_exit_code(RUN, number))
        fleet.wait_ready(vm)
        assert fleet.daemons[vm.name].stop() == 0
