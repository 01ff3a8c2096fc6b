"""The store comes back from an older copy; a configuration acknowledged then is to take effect."""

import asyncio
import sys
import time

from review.standins3 import deployment as deployments

CONFIG_KEY = "op/config"
AWAY_S = 1.0
APPLY_S = deployments.BOUNDS["configApplyMs"] / 1000
# The store counts as stable once it has been back for `contactMs`.
STABLE_S = deployments.BOUNDS["contactMs"] / 1000 + 1.0
JUDGED_S = 12.0  # requests that are judged are sent for this long
OLD, NEW = "letters-old", "letters-new"


def _make_config(version: int, backend: str) -> dict:
    backends = [deployments.make_backend(name) for name in (OLD, NEW, "notices")]
    return deployments.make_config(
        version, [deployments.make_route("r-letter", "/letter/", backend)], backends
    )


async def play(deployment: deployments.Deployment, has_trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    for backend in (OLD, NEW):
        for zone in ("pos-a", "sfo-a"):
            await deployment.add_leaf(f"i-{backend}-{zone}", backend, zone)
    deployment.write_as_operator(CONFIG_KEY, _make_config(4, OLD))
    await deployment.start_daemons(("pos-a", "pos-a", "sfo-a"))
    await deployment.send_steadily("/letter/1", 4.0, 4.0)

    older = deployment.store.make_copy()
    record.write(f"store: copy taken at revision {older.revision}")
    for index in range(4):  # a service is scaled out
        await deployment.add_leaf(f"i-notices-{index}", "notices", "pos-a", cold_s=2.0)
    await deployment.send_steadily("/letter/2", 4.0, 4.0)
    first_lost = len(deployment.operator_writes)
    deployment.write_as_operator(CONFIG_KEY, _make_config(9, OLD))
    await deployment.send_steadily("/letter/3", 4.0, 1.0)

    if has_trouble:
        await deployment.lose_recent_writes(older, AWAY_S)
        deployment.write_again(first_lost)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(STABLE_S)
    deployment.write_as_operator(CONFIG_KEY, _make_config(12, NEW))
    await asyncio.sleep(APPLY_S)

    judged_from = time.monotonic()
    record.write(f"requests are judged from now on, {APPLY_S:g} s after version 12")
    await deployment.send_steadily("/letter/4", 4.0, JUDGED_S)
    judged = [answer for answer in deployment.answers if answer.sent_at >= judged_from]
    by_old = [answer for answer in judged if answer.text.startswith(OLD)]
    by_new = [answer for answer in judged if answer.text.startswith(NEW)]
    record.conclude(
        f"of {len(judged)} requests after version 12 was due everywhere, "
        f"{len(by_old)} were run by {OLD} and {len(by_new)} by {NEW}; "
        f"statuses {deployment.status_counts(judged)}"
    )
    if not judged or len(by_old) + len(by_new) < len(judged) / 2:
        raise RuntimeError("too few requests were served to judge")
    return not by_old


if __name__ == "__main__":
    sys.exit(deployments.run_script(__file__, play))
