"""`python -m bench NAME --json`, `bench list`, `bench measure`, `bench capacity`."""

import json
import sys

import defopt

from bench import page
from bench import registry


def run(name: str, *, as_json: bool = False) -> int:
    """Run one measurement, or `list`, `measure` (all, into the pages) or `capacity`.

    :param name: name of the measurement
    :param as_json: print one JSON object only
    """
    if name == "list":
        for one in registry.MEASUREMENTS.values():
            print(f"{one.name:<12} {one.title}")
        return 0
    if name in ("measure", "capacity"):
        page.render_all(None if name == "measure" else registry.SLOPES)
        return 0
    if name not in registry.MEASUREMENTS:
        print(f"bench: no measurement {name!r}: see python -m bench list", file=sys.stderr)
        return 2
    figures = registry.MEASUREMENTS[name]().run()
    print(json.dumps(figures, indent=None if as_json else 1))
    return 0 if figures.get("ok", True) else 1


if __name__ == "__main__":
    sys.exit(defopt.run(run, argv=sys.argv[1:], no_negated_flags=True))
