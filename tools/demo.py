"""Brings up stand-ins and two daemons, runs a search, kills a target and runs it again."""

import json
import signal

from bench import fleet as fleets


def main() -> None:
    """Print a full answer, then one with a target killed."""
    layout = fleets.make_layout(targets=3, vms=2, shards=6, replicas=1)
    with fleets.running(layout) as fleet:
        first, second = layout.vms
        print("A full answer:")
        print(json.dumps(fleet.search(first, limit=3)[1], indent=1))
        fleet.targets["t1"].signal(signal.SIGKILL)
        print("With target t1 killed:")
        print(json.dumps(fleet.search(second, limit=3)[1], indent=1))
    print("All processes have ended.")


if __name__ == "__main__":
    main()
