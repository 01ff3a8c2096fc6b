"""The store comes back from an older copy; a zone that is evacuated then is to get nothing."""

import asyncio
import sys
import time

from review.standins3 import deployment as deployments

POOL = "letters"
CONFIG_KEY = "op/config"
EVACUATED = "sfo-a"
AWAY_S = 1.0
EVACUATE_S = deployments.BOUNDS["evacuateMs"] / 1000
# The store counts as stable once it has been back for `contactMs`.
STABLE_S = deployments.BOUNDS["contactMs"] / 1000 + 1.0
JUDGED_S = 8.0  # requests that are judged are sent for this long
PER_S = 4.0  # requests per second and daemon


def _make_config(version: int) -> dict:
    backends = [deployments.make_backend(name) for name in (POOL, "notices")]
    routes = [deployments.make_route("r-letter", "/letter/", POOL)]
    return deployments.make_config(version, routes, backends)


async def play(deployment: deployments.Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    pool = [
        await deployment.add_leaf(f"i-{POOL}-{zone}", POOL, zone) for zone in ("pos-a", EVACUATED)
    ]
    deployment.write_as_operator(CONFIG_KEY, _make_config(4))
    await deployment.start_daemons(("pos-a", "pos-a", EVACUATED))
    await deployment.send_steadily("/letter/1", PER_S, 4.0)

    older = deployment.store.make_copy()
    record.write(f"store: copy taken at revision {older.revision}")
    for index in range(4):  # a service is scaled out
        await deployment.add_leaf(f"i-notices-{index}", "notices", "pos-a", cold_s=2.0)
    await deployment.send_steadily("/letter/2", PER_S, 4.0)
    first_lost = len(deployment.operator_writes)
    deployment.write_as_operator(CONFIG_KEY, _make_config(9))
    await deployment.send_steadily("/letter/3", PER_S, 1.0)

    if has_trouble:
        await deployment.lose_recent_writes(older, AWAY_S)
        deployment.write_again(first_lost)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(STABLE_S)
    deployment.write_as_operator(f"op/evacuate/{EVACUATED}", {})
    await asyncio.sleep(EVACUATE_S)

    judged_from = time.monotonic()
    record.write(f"arrivals are judged from now on, {EVACUATE_S:g} s after the evacuation")
    await deployment.send_steadily("/letter/4", PER_S, JUDGED_S)
    counts = {}
    for leaf in pool:
        late = [arrival for arrival in leaf.arrivals if arrival.at > judged_from]
        counts[leaf.zone] = len(late)
        for arrival in late:
            record.write(f"{arrival.request_id} reached {leaf.id} in {leaf.zone}")
    record.conclude(
        f"requests that reached a leaf later than {EVACUATE_S:g} s after the evacuation of "
        f"{EVACUATED}, by zone: {counts}"
    )
    if not any(counts.values()):
        raise RuntimeError("no request reached a leaf")
    return not counts[EVACUATED]


if __name__ == "__main__":
    sys.exit(deployments.run_script(__file__, play))
