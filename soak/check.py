"""Checks the responses to callers and the runs at leaves against the guarantees of the daemon."""

import collections
import time

import attrs

from bench import site as sites
from hyssopproxy.transport import message
from soak import statement

TOP_K = 4  # records in a search response, as published by bench.site


@attrs.define
class Ledger:
    """Records requests, responses and every violated guarantee."""

    site: sites.Site
    violations: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    not_run: set[str] = attrs.field(factory=set)  # non-idempotent requests reported as not run
    non_idempotent: set[str] = attrs.field(factory=set)
    record: statement.Record = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.record = statement.Record(self.site.drain_ms / 1000)

    def add_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(text)

    def check_response(self, request_id: str, kind: str, reply: message.Response | None) -> None:
        """Check a response; None means that the connection failed or the caller timed out."""
        self.outcomes[kind, reply.status if reply else "none"] += 1
        if reply is None:
            return
        if reply.status == 200 and kind == "search":
            self._check_search(request_id, reply)
        elif reply.status == 200:
            stamp = reply.get_header(b"server-stamp") or b""
            self._record_answer(request_id, stamp.decode())
            if not stamp.endswith(request_id.encode()) or not reply.body.endswith(b"x"):
                self.add_violation(f"{request_id}: response belongs to another request: {stamp!r}")
        elif reply.status in (429, 503, 408, 421) and kind == "unsafe":
            self.not_run.add(request_id)
        elif reply.status in (400, 404, 413, 431):
            self.add_violation(f"{request_id}: valid request rejected with status {reply.status}")

    def _record_answer(self, request_id: str, stamp: str) -> None:
        self.record.answers[request_id, stamp.partition(".")[0]] = time.monotonic()

    def _check_search(self, request_id: str, reply: message.Response) -> None:
        stamps = (reply.get_header(b"part-stamps") or b"").decode().split(", ")
        missing = int(reply.get_header(b"missing-parts") or b"0")
        leaves = []
        for stamp in stamps:
            name, _, stamp_request_id = stamp.partition(".")
            if stamp_request_id != request_id or name not in self.site.leaves:
                self.add_violation(f"{request_id}: part belongs to another request: {stamp}")
                return
            leaves.append(name)
            self._record_answer(request_id, stamp)
        shards = {name.split("-")[1] for name in leaves}
        if len(shards) != len(leaves):
            self.add_violation(f"{request_id}: shard occurs twice: {leaves}")
        shard_sets = [set(routes["r-search"]["gather"]) for routes in self.site.routes.values()]
        if not any(
            shards <= all_shards and len(all_shards) == len(shards) + missing
            for all_shards in shard_sets
        ):
            self.add_violation(
                f"{request_id}: no version consists of {sorted(shards)} and {missing} other shards"
            )
        records = [record for name in leaves for record in self.site.leaves[name].records]
        if reply.body != b"".join(sorted(records, reverse=True)[:TOP_K]):
            self.add_violation(
                f"{request_id}: response body is not the greatest records of its parts"
            )

    def check_runs(self) -> None:
        """Check how often leaves ran each request, at the end of the run."""
        runs = collections.Counter(
            run.request_id for leaf in self.site.leaves.values() for run in leaf.runs
        )
        for leaf in self.site.leaves.values():
            for violation in self.record.find_violations(leaf):
                self.add_violation(violation)
        for request_id in self.non_idempotent:
            if runs[request_id] > 1:
                self.add_violation(
                    f"{request_id}: non-idempotent request ran {runs[request_id]} times"
                )
            if request_id in self.not_run and runs[request_id]:
                self.add_violation(f"{request_id}: reported as not run but ran")
