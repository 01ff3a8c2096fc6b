"""Plays a storm of large configurations against limited processes: python -m soak.storm [flags].

Meanwhile daemons are stopped, reloaded and frozen, and the store falls silent, so that a daemon
has to catch up with many versions at once.
"""

import argparse
import asyncio
import json
import sys

import attrs

from soak import replay
from soak import supervisor

LENGTH_S = 22.0


@attrs.frozen
class Options(supervisor.Options):
    """Options of a storm; the defaults are the figures of the deployment vmwpa-repairdesk."""

    callers: int = 320
    config_kb: int = 900
    max_descriptors: int = 4100
    routes: int = 350
    gap_ms: float = 80.0


def make_day(options: Options) -> dict:
    """Return the entries of the storm."""
    storm = {"kind": "config_storm", "at": 2.0, "for_s": 16.0, "gap_s": options.gap_ms / 1000}
    return {
        "name": "storm",
        "plan": [
            {"kind": "big_config", "at": 1.0, "count": options.routes},
            storm,
            {"kind": "roll_term", "at": 3.0, "share": 0.38, "gap_s": 1.1},
            {"kind": "hup", "at": 4.0, "share": 0.64, "gap_s": 2.9},
        ],
        "faults": [
            {"kind": "node_freeze", "at": 8.0, "share": 0.38, "for_s": 3.5},
            {"kind": "platform_down", "at": 12.5, "for_s": 4.5, "how": "silent"},
        ],
    }


async def probe(site: supervisor.SupervisedSite) -> list[dict]:
    """Measure the daemons' answers to readiness checks from another process."""
    addresses = [f"{daemon.host}:{site.ports['ready']}" for daemon in site.daemons]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "soak.probe", str(LENGTH_S - 1.0), *addresses),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return json.loads(output)


def main() -> None:
    """Play a storm and print figures and faulty ends; exit with status 1 if there are any."""
    parser = argparse.ArgumentParser(prog="soak.storm", description=__doc__)
    supervisor.add_flags(parser, Options)
    options = Options(**vars(parser.parse_args()))
    is_sound = replay.report(*asyncio.run(replay.run(make_day(options), LENGTH_S, options, probe)))
    sys.exit(0 if is_sound else 1)


if __name__ == "__main__":
    main()
