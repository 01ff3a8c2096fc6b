"""Scores the regression sites one after the other, and compares them with earlier scores."""

import json
import pathlib
import subprocess
import sys

import attrs
import defopt

JOURNAL = pathlib.Path("journal")
PRICES = ("GB between zones", "cloud calls", "machine-seconds", "memory, GB x seconds")
MIN_DAYS = 6  # a quick score plays fewer
HEADINGS = ("site", "day", "worth", "before", "served", "before", "not served", *PRICES)


@attrs.frozen
class Score:
    """A full score of one site, from its entry in the journal."""

    site: str
    started_at: str  # ISO time
    commit: str
    is_passed: bool
    days: dict[str, dict]  # by name


def main() -> None:
    """Run the command."""
    sys.exit(defopt.run([score, compare], argv=sys.argv[1:], no_negated_flags=True))


def score(bench: pathlib.Path, *sites: pathlib.Path, jobs: int = 2) -> int:
    """Score sites one after the other and print the comparison; exit with 1 if a gate failed.

    :param bench: the bench's program
    :param sites: site files
    :param jobs: days that are played at a time
    """
    names = []
    for site in sites:
        command = [str(bench), "score", str(site), "--jobs", str(jobs), "--why", "regression"]
        print(" ".join(command[1:3]), flush=True)
        subprocess.run(command, check=True)
        names.append(site.stem)
    return compare(*names)


def compare(*names: str, since: str = "") -> int:
    """Print the newest full scores beside those before; exit with 1 if a gate failed.

    :param names: names of sites; all that the journal has if absent
    :param since: ISO time; the scores before are the newest ones that started earlier than this
    """
    scores = read_scores(JOURNAL)
    failed = []
    rows = [HEADINGS]
    for name in names or sorted({item.site for item in scores}):
        ofsite = [item for item in scores if item.site == name]
        if not ofsite:
            print(f"{name}: no full score in {JOURNAL}/", file=sys.stderr)
            failed.append(name)
            continue
        newest = ofsite[-1]
        earlier = [item for item in ofsite[:-1] if not since or item.started_at < since]
        rows += make_rows(newest, earlier[-1] if earlier else None)
        if not newest.is_passed:
            failed.append(name)
    print(format_table(rows))
    if failed:
        print(f"gate not passed: {', '.join(failed)}")
    return 1 if failed else 0


def read_scores(folder: pathlib.Path) -> list[Score]:
    """Return the full scores of a journal, oldest first."""
    scores = []
    for path in folder.glob("*.json"):
        entry = json.loads(path.read_text())
        days = {day["name"]: day for day in entry.get("days") or () if "G" in day}
        if entry.get("cmd") != "score" or len(days) < MIN_DAYS:
            continue
        is_passed = (entry.get("figures") or {}).get("gate") == 1.0
        scores.append(Score(entry["site"], entry["at"][0], entry["head"][:7], is_passed, days))
    return sorted(scores, key=lambda item: item.started_at)


def make_rows(newest: Score, before: Score | None) -> list[tuple[str, ...]]:
    """Return the rows of one site: its days, and the mean of those with trouble."""
    rows = []
    for name, day in newest.days.items():
        old = before.days.get(name) if before else None
        prices = {price[0]: price[2] for price in day["prices"]}
        rows.append(
            (
                newest.site,
                name,
                f"{day['G']:.3f}",
                f"{old['G']:.3f}" if old else "-",
                f"{day['served']:.3f}",
                f"{old['served']:.3f}" if old else "-",
                f"{day['refused'] + day['failed']:.4f}",
                *(f"{prices.get(kind, 0.0):.3f}" for kind in PRICES),
            )
        )
    means = [f"{mean_worth(item):.3f}" if item else "-" for item in (newest, before)]
    commits = [f"{item.commit}" if item else "-" for item in (newest, before)]
    rows.append((newest.site, "mean of trouble", *means, *commits, *("" for _ in range(5))))
    return rows


def mean_worth(item: Score) -> float:
    """Return the mean worth of the standard days with trouble."""
    worths = [
        day["G"]
        for name, day in item.days.items()
        if day["slot"] != "quiet" and not name.startswith("fresh-")
    ]
    return sum(worths) / len(worths)


def format_table(rows: list[tuple[str, ...]]) -> str:
    """Return rows as a Markdown table, the first one as its heading."""
    lines = ["| " + " | ".join(row) + " |" for row in rows]
    lines.insert(1, "|" + " --- |" * len(rows[0]))
    return "\n".join(lines)


if __name__ == "__main__":
    main()
