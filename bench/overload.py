"""Twice what the targets bear."""

import typing

from bench import base
from bench import fleet as fleets

TIMEOUT_MS = 400
SHARDS = 6
SERVICE_MS = 25.0  # slow leaves, so that they are the bottleneck and not this machine
BEARS = 3 * 4 / (SHARDS * SERVICE_MS / 1000)  # searches a second of 3 targets with 4 slots


class Overload(base.Measurement):
    """Goodput at half, at and at twice what the targets bear."""

    name = "overload"
    title = "searches at 0.5, 0.9 and 2 times what the targets bear; adaptive limit against fixed"
    target = "goodput at 2 times at least 0.9 of its best; refusals within a tenth of the deadline"

    def run(self) -> dict[str, typing.Any]:
        rows = []
        for limit in ("fixed", "adaptive"):
            rows += [_run(limit, times) for times in (0.5, 0.9, 2.0)]
        mine = rows[3:]
        best = max(row["goodput_per_s"] for row in mine)
        kept = base.divide(mine[-1]["goodput_per_s"], best)
        refusal = mine[-1]["refusal_p99_ms"]
        only = all(kind.endswith("/not_run") for row in mine for kind in row["refused"])
        return {
            "rows": rows,
            "goodput_kept": kept,
            "refusal_part_of_deadline": base.divide(refusal, TIMEOUT_MS),
            "ok": kept >= 0.9 and refusal <= TIMEOUT_MS / 10 and only,
        }


def _run(limit: str, times: float) -> dict[str, typing.Any]:
    target = {"slots": 4, "service_ms": SERVICE_MS}
    service = {"policy": {"limit": limit}}
    layout = fleets.make_layout(3, 2, target, shards=SHARDS, replicas=2, service=service)
    with fleets.running(layout) as fleet:
        rate = BEARS * times
        base.send_load(layout, rate, 2.0, TIMEOUT_MS)
        sent = base.send_load(layout, rate, 5.0, TIMEOUT_MS)
        most = max(report["most_in_flight"] for report in fleet.target_reports())
    keys = ("goodput_per_s", "full", "coverage", "late", "p99_ms", "refusal_p99_ms", "refused")
    figures = {key: sent[key] for key in keys}
    return {"limit": limit, "times": times, **figures, "most_in_flight": most}
