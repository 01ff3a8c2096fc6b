"""Checks what callers and leafs saw against the promises."""

import collections

import attrs

from bench import site as sites
from hyssopproxy.transport import message

TOP = 4  # records of an answer, as bench.site publishes


@attrs.define
class Ledger:
    """What was asked and answered, and every broken promise."""

    site: sites.Site
    violations: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    refused: set[str] = attrs.field(factory=set)  # unsafe requests that are said not to have run
    unsafe: set[str] = attrs.field(factory=set)

    def blame(self, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(text)

    def take(self, request_id: str, kind: str, reply: message.Response | None) -> None:
        """Check one answer; None stands for a connection that ended without one."""
        self.outcomes[kind, reply.status if reply else "none"] += 1
        if reply is None:
            return
        if reply.status == 200 and kind == "search":
            self._check_search(request_id, reply)
        elif reply.status == 200:
            stamp = reply.get_header(b"server-stamp") or b""
            if not stamp.endswith(request_id.encode()) or not reply.body.endswith(b"x"):
                self.blame(f"{request_id}: the answer of another request: {stamp!r}")
        elif reply.status in (429, 503, 408, 421) and kind == "unsafe":
            self.refused.add(request_id)
        elif reply.status in (400, 404, 413, 431):
            self.blame(f"{request_id}: a proper request was refused with {reply.status}")

    def _check_search(self, request_id: str, reply: message.Response) -> None:
        stamps = (reply.get_header(b"part-stamps") or b"").decode().split(", ")
        missing = int(reply.get_header(b"missing-parts") or b"0")
        leafs = []
        for stamp in stamps:
            name, _, owner = stamp.partition(".")
            if owner != request_id or name not in self.site.leaves:
                self.blame(f"{request_id}: a part of another request: {stamp}")
                return
            leafs.append(name)
        shards = {name.split("-")[1] for name in leafs}
        if len(shards) != len(leafs):
            self.blame(f"{request_id}: a shard twice: {leafs}")
        sets = [set(routes["r-search"]["gather"]) for routes in self.site.routes.values()]
        if not any(shards <= one and len(one) == len(shards) + missing for one in sets):
            self.blame(f"{request_id}: no version has {sorted(shards)} and {missing} more")
        records = [record for name in leafs for record in self.site.leaves[name].records]
        if reply.body != b"".join(sorted(records, reverse=True)[:TOP]):
            self.blame(f"{request_id}: not the greatest records of its parts")

    def close(self) -> None:
        """Check what leafs ran, once all is over."""
        runs = collections.Counter(
            run.request_id for leaf in self.site.leaves.values() for run in leaf.runs
        )
        for request_id in self.unsafe:
            if runs[request_id] > 1:
                self.blame(f"{request_id}: an unsafe request ran {runs[request_id]} times")
            if request_id in self.refused and runs[request_id]:
                self.blame(f"{request_id}: said not to have run, and ran")
