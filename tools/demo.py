"""Starts emulated targets and two daemons, searches, kills a target and searches again."""

import json
import signal

from bench import fleet as fleets


def main() -> None:
    """Print an answer with full coverage, then one after a target is killed."""
    layout = fleets.make_layout(targets=3, vms=2, shards=6, replicas=1)
    with fleets.running(layout) as fleet:
        first, second = layout.vms
        print("Answer with full coverage:")
        print(json.dumps(fleet.search(first, limit=3)[1], indent=1))
        fleet.targets["t1"].signal(signal.SIGKILL)
        print("Answer after target t1 is killed:")
        print(json.dumps(fleet.search(second, limit=3)[1], indent=1))
    print("All processes have ended.")


if __name__ == "__main__":
    main()
