"""Runs measurements and renders docs/MEASUREMENTS.md and the tables of docs/CAPACITY.md."""

import json
import pathlib
import sys
import typing

from bench import capacity
from bench import registry

DOCS = pathlib.Path("docs")
FIGURES = DOCS / "figures.json"
BEGIN, END = "<!-- computed -->", "<!-- end -->"


def render_all(names: typing.Iterable[str] | None = None) -> None:
    """Run the named measurements, or all, and render both pages."""
    figures = json.loads(FIGURES.read_text()) if FIGURES.exists() else {}
    for name in names or registry.MEASUREMENTS:
        print(f"{name} ...", file=sys.stderr)
        figures[name] = registry.MEASUREMENTS[name]().run()
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
    (DOCS / "MEASUREMENTS.md").write_text(render_measurements(figures))
    page = DOCS / "CAPACITY.md"
    page.write_text(insert(page.read_text(), capacity.render(figures)))


def insert(page: str, text: str) -> str:
    """Return the page with the text between its markers replaced.

    >>> insert(f"a {BEGIN} old {END} b", "new").split()
    ['a', '<!--', 'computed', '-->', 'new', '<!--', 'end', '-->', 'b']
    """
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    return f"{before}{BEGIN}\n\n{text}\n{END}{after}"


def render_measurements(figures: dict[str, dict]) -> str:
    """Return the page of all measurements."""
    parts = [
        "# Measurements\n\nRendered by `make measure` (one measurement: `python -m bench NAME`). "
        "The machine has 6 cores and is noisy, so compare only figures of the same run. "
        "Daemons and emulators run as separate processes.\n"
    ]
    for name, measurement in registry.MEASUREMENTS.items():
        if name in figures:
            parts.append(_render(name, measurement, figures[name]))
        else:
            parts.append(f"## {name}\n\n{measurement.title}: not run.\n")
    return "\n".join(parts)


def _render(name: str, measurement: type, results: dict) -> str:
    lines = [f"## {name}", "", f"{measurement.title[0].upper()}{measurement.title[1:]}."]
    if measurement.requirement:
        verdict = "reached" if results.get("ok") else "NOT reached"
        lines.append(f"Required result: {measurement.requirement}. **{verdict}.**")
    lines += ["", f"Command: `python -m bench {name} --as-json`", ""]
    for key, value in results.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += [f"{key}:", "", _table(value), ""]
        elif key != "ok":
            lines.append(f"- {key}: `{json.dumps(value)}`")
    return "\n".join(lines) + "\n"


def _table(rows: list[dict]) -> str:
    columns = list(rows[0])
    lines = [f"| {' | '.join(columns)} |", f"| {' | '.join('---' for _ in columns)} |"]
    for row in rows:
        lines.append(f"| {' | '.join(_cell(row.get(column)) for column in columns)} |")
    return "\n".join(lines)


def _cell(value: typing.Any) -> str:
    return json.dumps(value) if isinstance(value, (dict, list)) else str(value)
