"""Open-loop load: seeded arrivals at a fixed rate, latency counted from the planned arrival."""

import asyncio
import collections
import random
import time
import typing

import aiohttp
import attrs
import msgspec

from hyssopproxy import metric

REQUEST_TIMEOUT_S = 60.0
READY_POLL_S = 0.1


@attrs.define
class Report:
    """Counts and latencies of a load run."""

    sent: int = 0
    answered: int = 0
    late: int = 0  # replies after the deadline plus the grace
    cut: int = 0  # requests without a complete HTTP response
    shards_total: int = 0
    shards_answered: int = 0
    refused: collections.Counter = attrs.field(factory=collections.Counter)  # by kind/execution
    missing: collections.Counter = attrs.field(factory=collections.Counter)  # shards by reason
    latencies: typing.Any = attrs.field(factory=metric.new_histogram)  # replies with status 200
    refusals: typing.Any = attrs.field(factory=metric.new_histogram)
    mixed: int = 0  # answers that contain hits of another snapshot
    full: int = 0  # answers with coverage 1

    def summarize(self, seconds: float) -> dict:
        """Return the results as JSON values, with latencies in milliseconds."""
        total = max(1, self.shards_total)
        return {
            "sent": self.sent,
            "answered": self.answered,
            "goodput_per_s": round(self.answered / seconds, 1),
            "full": self.full,
            "coverage": round(self.shards_answered / total, 6),
            "late": self.late,
            "cut": self.cut,
            "mixed": self.mixed,
            "refused": dict(self.refused),
            "missing": dict(self.missing),
            **{f"p{rank:g}_ms": self._read_ms(self.latencies, rank) for rank in (50, 90, 99, 99.9)},
            "refusal_p99_ms": self._read_ms(self.refusals, 99),
        }

    def _read_ms(self, histogram: typing.Any, rank: float) -> float:
        return round(histogram.get_value_at_percentile(rank) / 1000, 2)


@attrs.frozen
class Plan:
    """Parameters of a load run."""

    addresses: tuple[str, ...]
    service: str
    rate: float  # searches per second
    seconds: float
    timeout_ms: int
    seed: int = 1
    grace_ms: int = 20  # allowance for delay in the client before a reply counts as late


class Generator:
    """Sends searches round-robin to the daemons that are ready, as a load balancer would."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.report = Report()
        self._rng = random.Random(plan.seed)
        self._ready = list(plan.addresses)
        self._index = 0
        self.should_stop: typing.Callable[[], bool] = lambda: False  # ends the run early

    async def run(self, progress: typing.Callable[[str], None] | None = None) -> Report:
        """Send all searches and return the report on the replies."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            watch = asyncio.create_task(self._watch_ready(session))
            tasks = await self._send_all(session, progress)
            await asyncio.gather(*tasks)
            watch.cancel()
        return self.report

    async def _send_all(self, session, progress) -> list[asyncio.Task]:
        tasks = []
        started_at = planned_at = time.monotonic()
        reported_at = started_at
        while planned_at - started_at < self.plan.seconds and not self.should_stop():
            planned_at += self._rng.expovariate(self.plan.rate)
            delay = planned_at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.create_task(self._search(session, planned_at)))
            if progress is not None and planned_at - reported_at >= 1.0:
                reported_at = planned_at
                progress(f"{planned_at - started_at:.0f} s: {self.report.answered} answered")
        return tasks

    def _next_address(self) -> str:
        ready = self._ready or list(self.plan.addresses)
        self._index += 1
        return ready[self._index % len(ready)]

    async def _watch_ready(self, session: aiohttp.ClientSession) -> None:
        while True:
            checks = await asyncio.gather(
                *(self._is_ready(session, address) for address in self.plan.addresses)
            )
            pairs = zip(self.plan.addresses, checks, strict=True)
            self._ready = [address for address, is_ready in pairs if is_ready]
            await asyncio.sleep(READY_POLL_S)

    async def _is_ready(self, session: aiohttp.ClientSession, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with session.get(f"http://{address}/readyz", timeout=timeout) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _search(self, session: aiohttp.ClientSession, planned_at: float) -> None:
        plan, report = self.plan, self.report
        report.sent += 1
        url = f"http://{self._next_address()}/v1/services/{plan.service}/search"
        headers = {"Request-Timeout-Ms": str(plan.timeout_ms), "Content-Type": "application/json"}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        sent_at = time.monotonic()
        try:
            async with session.post(
                url, data=b'{"query": "q"}', headers=headers, timeout=timeout
            ) as response:
                body = msgspec.json.decode(await response.read())
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            report.cut += 1
            return
        now = time.monotonic()
        if (now - sent_at) * 1000 > plan.timeout_ms + plan.grace_ms:
            report.late += 1
        if status == 200:
            self._record_answer(body, now - planned_at)
        else:
            report.refused[f"{body['kind']}/{body['execution']}"] += 1
            report.refusals.record_value(max(1, int((now - sent_at) * 1e6)))

    def _record_answer(self, body: dict, seconds: float) -> None:
        report = self.report
        report.answered += 1
        report.latencies.record_value(max(1, int(seconds * 1e6)))
        coverage = body["coverage"]
        report.shards_total += coverage["shards_total"]
        report.shards_answered += coverage["shards_answered"]
        report.full += coverage["shards_total"] == coverage["shards_answered"]
        for missing in coverage["missing"]:
            report.missing[missing["reason"]] += 1
        prefix = body["snapshot"] + ":"
        report.mixed += any(not hit["id"].startswith(prefix) for hit in body["hits"])
