"""Command line: `python -m bench NAME [--as-json]`; NAME may be `list`, `measure`, `capacity`."""

import json
import sys

import defopt

from bench import page
from bench import registry


def run(name: str, *, as_json: bool = False) -> int:
    """Run one measurement, list all, or run measurements and render the pages from their figures.

    :param name: measurement, `list`, `measure` (all) or `capacity` (inputs of docs/CAPACITY.md)
    :param as_json: print the figures on one line
    """
    if name == "list":
        for measurement in registry.MEASUREMENTS.values():
            print(f"{measurement.name:<12} {measurement.title}")
        return 0
    if name in ("measure", "capacity"):
        page.render_all(None if name == "measure" else registry.CAPACITY_INPUTS)
        return 0
    if name not in registry.MEASUREMENTS:
        print(f"bench: unknown measurement {name!r}: see python -m bench list", file=sys.stderr)
        return 2
    figures = registry.MEASUREMENTS[name]().run()
    print(json.dumps(figures, indent=None if as_json else 1))
    return 0 if figures.get("ok", True) else 1


if __name__ == "__main__":
    sys.exit(defopt.run(run, argv=sys.argv[1:], no_negated_flags=True))
