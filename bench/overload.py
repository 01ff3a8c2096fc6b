"""Measures goodput when load exceeds the capacity of the targets."""

import typing

from bench import base
from bench import fleet as fleets

TIMEOUT_MS = 400
SHARDS = 6
SERVICE_MS = 25.0  # slow leaves, so that they are the bottleneck and not this machine
# Searches per second that 3 targets with 4 slots each can serve.
CAPACITY_PER_S = 3 * 4 / (SHARDS * SERVICE_MS / 1000)


class Overload(base.Measurement):
    """Goodput at 0.5, 0.9 and 2 times the capacity of the targets."""

    name = "overload"
    title = (
        "searches at 0.5, 0.9 and 2 times the capacity of the targets; "
        "adaptive limit compared with a fixed one"
    )
    requirement = (
        "goodput at 2 times the capacity at least 0.9 of the best; "
        "refusals within a tenth of the deadline"
    )

    def run(self) -> dict[str, typing.Any]:
        rows = []
        for limit in ("fixed", "adaptive"):
            rows += [_run(limit, factor) for factor in (0.5, 0.9, 2.0)]
        adaptive = rows[3:]
        best = max(row["goodput_per_s"] for row in adaptive)
        ratio = base.divide(adaptive[-1]["goodput_per_s"], best)
        refusal = adaptive[-1]["refusal_p99_ms"]
        all_not_run = all(kind.endswith("/not_run") for row in adaptive for kind in row["refused"])
        return {
            "rows": rows,
            "goodput_kept": ratio,
            "refusal_part_of_deadline": base.divide(refusal, TIMEOUT_MS),
            "ok": ratio >= 0.9 and refusal <= TIMEOUT_MS / 10 and all_not_run,
        }


def _run(limit: str, factor: float) -> dict[str, typing.Any]:
    target = {"slots": 4, "service_ms": SERVICE_MS}
    service = {"policy": {"limit": limit}}
    layout = fleets.make_layout(3, 2, target, shards=SHARDS, replicas=2, service=service)
    with fleets.running(layout) as fleet:
        rate = CAPACITY_PER_S * factor
        base.send_load(layout, rate, 2.0, TIMEOUT_MS)
        summary = base.send_load(layout, rate, 5.0, TIMEOUT_MS)
        most_in_flight = max(report["most_in_flight"] for report in fleet.target_reports())
    keys = ("goodput_per_s", "full", "coverage", "late", "p99_ms", "refusal_p99_ms", "refused")
    figures = {key: summary[key] for key in keys}
    return {"limit": limit, "times": factor, **figures, "most_in_flight": most_in_flight}
