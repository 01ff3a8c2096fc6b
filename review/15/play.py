"""A leaf turns cold again in a quiet moment; the next requests are to stay within its bound."""

import asyncio
import sys
import time

from review.standins3 import deployment as deployments
from review.standins3 import leaf as leaves

POOL = "letters"
ZONES = ("pos-a", "pos-a", "pos-a", "sfo-a", "sfo-a", "sfo-a", "tgo-a", "tgo-a")
WARMUP_PER_S = 1.0
BOUND = WARMUP_PER_S * deployments.BOUNDS["warmupFactor"] + deployments.BOUNDS["warmupSlack"]
COLD_S = 12.0
QUIET_S = 5.0  # between the acknowledgement of the entry and the next requests
BURST_PER_S = 5.0  # requests per second and daemon
BURST_S = 2.0


def count_most_in_one_second(arrivals: list[leaves.Arrival]) -> int:
    """Return the largest number of arrivals in any second."""
    times = sorted(arrival.at for arrival in arrivals)
    return max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)


async def play(deployment: deployments.Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    pool = [
        await deployment.add_leaf(f"i-{POOL}-{zone}", POOL, zone, work_s=0.22, slots=2)
        for zone in ("pos-a", "sfo-a", "tgo-a")
    ]
    config = deployments.make_config(
        4,
        [deployments.make_route("r-letter", "/letter/", POOL, "non_idempotent")],
        [deployments.make_backend(POOL, WARMUP_PER_S)],
    )
    deployment.write_as_operator("op/config", config)
    await deployment.start_daemons(ZONES)
    await deployment.send_steadily("/letter/1", 1.5, 10.0, "POST")

    cold_leaf = pool[0]

    def crash_if_overloaded(arrival: leaves.Arrival) -> None:
        recent = [each for each in cold_leaf.arrivals if each.at > arrival.at - 1.0]
        if arrival.was_cold and len(recent) > BOUND and not cold_leaf.has_crashed:
            cold_leaf.crash()
            record.write(f"{cold_leaf.id} crashes, requests in progress: {cold_leaf.lost}")

    cold_leaf.on_arrival = crash_if_overloaded
    if has_trouble:
        cold_leaf.turn_cold(COLD_S)
        record.write(f"{cold_leaf.id} turns cold for {COLD_S:g} s, its entry is acknowledged")
    cold_from = time.monotonic()
    await asyncio.sleep(QUIET_S)
    await deployment.send_steadily("/letter/2", BURST_PER_S, BURST_S, "POST")
    arrivals = [arrival for arrival in cold_leaf.arrivals if cold_from <= arrival.at]
    most = count_most_in_one_second(arrivals)
    for arrival in arrivals:
        record.write(f"{arrival.request_id} reached {cold_leaf.id}, cold: {arrival.was_cold}")
    unanswered = [
        answer
        for answer in deployment.answers
        if answer.request_id in cold_leaf.lost and answer.status != 200
    ]
    is_cold = "cold" if has_trouble else "warm"
    record.conclude(
        f"{cold_leaf.id} was {is_cold} and got {most} requests in one second; a cold leaf of "
        f"{WARMUP_PER_S:g} a second may get {BOUND:g}; {len(cold_leaf.lost)} accepted requests "
        f"were lost in its crash, clients got {deployment.status_counts(unanswered)}"
    )
    if not any(arrival.is_run for arrival in arrivals):
        raise RuntimeError("the leaf got no requests")
    return not has_trouble or most <= BOUND


if __name__ == "__main__":
    sys.exit(deployments.run_script(__file__, play))
