"""Open-loop traffic during a test, sent from a separate process."""

import asyncio
import contextlib
import json
import multiprocessing
import typing

import attrs

from bench import fleet as fleets
from hyssopproxy import load

MAX_DURATION_S = 120.0


@attrs.define
class Traffic:
    """Traffic that continues until `stop` is set."""

    stop: typing.Any
    output: typing.Any
    child: typing.Any

    def result(self) -> dict:
        """Return the summary; call it after the `running` block."""
        return json.loads(self.output.get(timeout=MAX_DURATION_S))


def _run(plan: load.Plan, stop: typing.Any, output: typing.Any) -> None:
    async def main() -> None:
        generator = load.Generator(plan)
        generator.should_stop = stop.is_set
        report = await generator.run()
        output.put(json.dumps(report.summarize(1.0)))

    asyncio.run(main())


@contextlib.contextmanager
def running(layout: fleets.Layout, rate: float, timeout_ms: int = 3000, vms=None):
    """Send searches while the block runs."""
    context = multiprocessing.get_context("spawn")
    addresses = tuple(vm.listen for vm in vms or layout.vms)
    plan = load.Plan(addresses, fleets.SERVICE, rate, MAX_DURATION_S, timeout_ms)
    stop, output = context.Event(), context.Queue()
    child = context.Process(target=_run, args=(plan, stop, output))
    child.start()
    try:
        yield Traffic(stop, output, child)
    finally:
        stop.set()
        child.join(MAX_DURATION_S)
