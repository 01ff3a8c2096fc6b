"""Measures service on each side when a failure domain is cut off from the platform and peers."""

import signal
import time
import typing

from bench import base
from bench import fleet as fleets
from bench import move


class Partition(base.Measurement):
    """Service and coverage on both sides, during and after a partition."""

    name = "partition"
    title = "one domain cut off from the platform and its peers; service on each side"
    requirement = (
        "full coverage on each side where replicas remain; "
        "nothing reverts to an older version when the partition heals"
    )

    def run(self) -> dict[str, typing.Any]:
        layout = move.make_layout()
        isolated = layout.vms[0]
        with fleets.running(layout) as fleet:
            isolated.platform = fleet.add_link("platform", fleet.platform_address)
            peer_link = fleet.add_link("peer", isolated.peer)
            fleet.daemons[isolated.name].kill()
            isolated.peer_link_address = peer_link
            fleet.start_daemon(isolated)
            fleet.wait_ready(isolated)
            version = fleet.republish()
            time.sleep(3.0)
            rows = [_measure(fleet, "before")]
            fleet.set_faults("platform", cut=True)
            fleet.set_faults("peer", cut=True)
            for vm in layout.vms[1:]:
                fleet.daemons[vm.name].signal(signal.SIGSTOP)
            time.sleep(4.0)
            rows.append(_measure(fleet, "cut off", layout.vms[:1]))
            for vm in layout.vms[1:]:
                fleet.daemons[vm.name].signal(signal.SIGCONT)
            time.sleep(2.0)
            rows.append(_measure(fleet, "the others", layout.vms[1:]))
            fleet.set_faults("platform", cut=False)
            fleet.set_faults("peer", cut=False)
            time.sleep(2.0)
            rows.append(_measure(fleet, "healed"))
            versions = {state["version"] for state in fleet.states()}
        ok = all(row["coverage"] == 1.0 for row in rows) and versions == {version}
        return {"rows": rows, "versions": sorted(versions), "ok": ok}


def _measure(fleet: fleets.Fleet, side: str, vms: list | None = None) -> dict[str, typing.Any]:
    layout = fleets.Layout(vms=vms or fleet.layout.vms)
    summary = base.send_load(layout, 15.0, 3.0)
    keys = ("sent", "full", "coverage", "late", "refused", "p99_ms")
    return {"side": side, **{key: summary[key] for key in keys}}
