"""Finds a request in log files, with the events on its VM and targets at that time."""

import datetime
import pathlib
import typing

import msgspec

CONTEXT_S = 2.0  # other events are shown up to this long before and after a request
CONTEXT_EVENTS = frozenset(
    (
        "configuration",
        "domain_back",
        "domain_out",
        "internal_error",
        "isolated",
        "listed",
        "paused",
        "read_from_peer",
        "readiness",
        "rejoined",
        "settings",
        "started",
        "stopping",
        "store_back",
        "store_lost",
    )
)


def read(paths: typing.Iterable[pathlib.Path]) -> list[dict]:
    """Return the lines of log files ordered by time; skip lines without a JSON object."""
    lines = []
    for path in paths:
        for raw in path.read_bytes().splitlines():
            start = raw.find(b"{")  # a log collector may prepend the time or the VM
            try:
                line = msgspec.json.decode(raw[start:]) if start >= 0 else None
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict):
                time_s = _read_time_s(line)
                if time_s is not None:
                    lines.append({**line, "time": time_s})
    return sorted(lines, key=lambda line: line["time"])


def _read_time_s(line: dict) -> float | None:
    """Return the Unix time of a line in seconds: a number, or an ISO timestamp (hyssopproxyd)."""
    if isinstance(line.get("time"), (int, float)):
        return line["time"]
    try:
        return datetime.datetime.fromisoformat(line["timestamp"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return None


def explain(lines: list[dict], request_id: str) -> list[dict]:
    """Return the lines of a request, and those on its VM and targets around the same time."""
    request_lines = [line for line in lines if line.get("request_id") == request_id]
    selected = []
    for line in lines:
        if line in request_lines or any(_is_context(line, request) for request in request_lines):
            selected.append(line)
    return selected


def _is_context(line: dict, request: dict) -> bool:
    started_at = request["time"] - request.get("ms", 0.0) / 1000
    if not started_at - CONTEXT_S <= line["time"] <= request["time"] + CONTEXT_S:
        return False
    if line.get("vm") != request.get("vm"):
        return False
    if line.get("event") in CONTEXT_EVENTS:
        return True
    tried = {target for part in request.get("parts", ()) for target in part.get("tried", ())}
    return line.get("target") in tried
