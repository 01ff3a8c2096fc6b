"""Checks that wire names stay in their folders and that the engine uses no I/O and no clock."""

import pathlib
import re

import hyssopproxy

ROOT = pathlib.Path(hyssopproxy.__file__).parent
WIRE_NAMES = re.compile(
    r"(?i)server-stamp|part-stamps|missing-parts|expected-instance|not-executed|deadline-ms"
    r"|warmup-remaining|kv-(key|range|watch)|op/config|op/evacuate|readinessAddr|internalPorts"
    r"|min_?coverage|target_?latency_?ms|path_?prefix|max_?concurrency|warmup_?left|traffic_?split|server-leaving|drainMs"
)
IMPURE_IMPORT = re.compile(
    r"^\s*(import|from) (asyncio|time|socket|os|select|threading|httptools)\b", re.M
)


def source_files(folder):
    return [path for path in folder.rglob("*.py")]


def test_wire_names_occur_only_in_platform_and_emulator():
    allowed = (ROOT / "platform", ROOT / "emulator")
    violations = [
        f"{path.relative_to(ROOT)}: {match.group(0)}"
        for path in source_files(ROOT)
        if not any(folder in path.parents for folder in allowed)
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert violations == []


def test_engine_imports_no_clock_and_no_io():
    violations = [
        str(path)
        for path in source_files(ROOT / "engine")
        if IMPURE_IMPORT.search(path.read_text())
    ]
    assert violations == []


def test_engine_and_transport_do_not_import_platform():
    for folder in ("engine", "transport"):
        for path in source_files(ROOT / folder):
            assert "hyssopproxy.platform" not in path.read_text(), path
