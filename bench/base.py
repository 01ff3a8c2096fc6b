"""Base class of the measurements, and helpers that they share."""

import abc
import asyncio
import typing

from bench import fleet as fleets
from hyssopproxy import load


class Measurement(abc.ABC):
    """A measurement that runs for less than a minute."""

    #: Name on the command line.
    name = ""
    #: What is measured, in one line.
    title = ""
    #: Required result, in words; empty if the measurement only reports costs.
    requirement = ""

    @abc.abstractmethod
    def run(self) -> dict[str, typing.Any]:
        """Return the figures as JSON values; `ok` states whether the requirement was met."""


def send_load(
    layout: fleets.Layout, rate: float, seconds: float, timeout_ms: int = 500, seed: int = 1
) -> dict:
    """Send searches to all daemons of a layout and return the summary of their results."""
    addresses = tuple(vm.listen for vm in layout.vms)
    plan = load.Plan(addresses, fleets.SERVICE, rate, seconds, timeout_ms, seed)
    report = asyncio.run(load.Generator(plan).run())
    return report.summarize(seconds)


def sum_target_counts(fleet: fleets.Fleet, name: str) -> int:
    """Return the sum of a counter over the ledgers of all targets."""
    return sum(report["counts"].get(name, 0) for report in fleet.target_reports())


def sum_daemon_counters(fleet: fleets.Fleet, name: str) -> int:
    """Return the sum of a counter over all daemons."""
    return sum(state["counters"].get(name, 0) for state in fleet.states())


def divide(value: float, divisor: float) -> float:
    """Return the quotient rounded to 4 decimals, or 0 if the divisor is 0."""
    return round(value / divisor, 4) if divisor else 0.0
