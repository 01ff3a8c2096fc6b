"""Signals that reach hyssopproxyd while it starts, serves, or has stopped."""

import signal
import subprocess
import sys

import pytest

from bench import fleet as fleets
from bench import process

# Runs the daemon and sends it a signal right before it first imports a module.
SIGNAL_AT_IMPORT = """
import os, runpy, sys

class Finder:
    def find_spec(name, path=None, target=None):
        if name == {module!r}:
            sys.meta_path.remove(Finder)
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, Finder)
runpy.run_module("hyssopproxy", run_name="__main__", alter_sys=True)
"""
# Runs the daemon and sends it a signal when the interpreter ends.
SIGNAL_AT_EXIT = """
import atexit, os, runpy

atexit.register(os.kill, os.getpid(), {number})
runpy.run_module("hyssopproxy", run_name="__main__", alter_sys=True)
"""
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
        vm = start_with(fleet, SIGNAL_AT_IMPORT.format(module=module, number=int(number)))
        assert fleet.daemons[vm.name].popen.wait(process.WAIT_S) == 0


@pytest.mark.parametrize("module", ["hyssopproxy.daemon", "uvicorn", "zmq"])
def test_sighup_during_imports_does_not_end_the_daemon(module):
    with fleets.running(LAYOUT) as fleet:
        vm = start_with(fleet, SIGNAL_AT_IMPORT.format(module=module, number=int(signal.SIGHUP)))
        fleet.wait_ready(vm)
        fleet.daemons[vm.name].signal(signal.SIGHUP)
        assert fleet.search(vm, 5000)[0] == 200
        assert fleet.daemons[vm.name].stop() == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signal_after_the_stop_does_not_change_the_exit_status(number):
    with fleets.running(LAYOUT) as fleet:
        vm = start_with(fleet, SIGNAL_AT_EXIT.format(number=int(number)))
        fleet.wait_ready(vm)
        assert fleet.daemons[vm.name].stop() == 0
