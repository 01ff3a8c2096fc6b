"""Base class of the measurements."""

import abc
import asyncio
import typing

from bench import fleet as fleets
from hyssopproxy import load


class Measurement(abc.ABC):
    """One measurement that runs for under a minute."""

    #: Short name on the command line.
    name = ""
    #: What is measured, one line.
    title = ""
    #: What it must reach, in words; empty when it only gives slopes.
    target = ""

    @abc.abstractmethod
    def run(self) -> dict[str, typing.Any]:
        """Return figures as plain JSON values; `ok` tells whether the target was reached."""


def send_load(
    layout: fleets.Layout, rate: float, seconds: float, timeout_ms: int = 500, seed: int = 1
) -> dict:
    """Send searches to all daemons of a layout and return the summary."""
    addresses = tuple(vm.listen for vm in layout.vms)
    plan = load.Plan(addresses, fleets.SERVICE, rate, seconds, timeout_ms, seed)
    report = asyncio.run(load.Generator(plan).run())
    return report.summarize(seconds)


def count(fleet: fleets.Fleet, name: str) -> int:
    """Return a counter of the ledgers, added up over the targets."""
    return sum(report["counts"].get(name, 0) for report in fleet.target_reports())


def count_daemons(fleet: fleets.Fleet, name: str) -> int:
    """Return a counter of the daemons, added up."""
    return sum(state["counters"].get(name, 0) for state in fleet.states())


def divide(value: float, by: float) -> float:
    """Return a ratio rounded for reading, 0 for nothing to divide by."""
    return round(value / by, 4) if by else 0.0
