"""Checks import rules that no linter covers: only modules; no clock or I/O in pure modules."""

import ast
import importlib.util
import pathlib
import sys

FOLDERS = ("hyssopproxy", "bench", "tests", "tools")
PURE_MODULES = (
    "action admission answer configuration dispatch fleet freshness lifecycle quantile reducer "
    "search share snapshot state target watch policy/hedge policy/limit policy/replica policy/wait"
).split()
IMPURE_MODULES = ("time", "random", "datetime", "asyncio", "socket", "os")
IMPURE_ALLOWED = {"state": ("random",)}  # for the type of the seeded generator in the state


def find_violations(file: pathlib.Path) -> list[str]:
    """Return a line for each violation of a rule in a file."""
    violations = []
    name = file.with_suffix("").as_posix().removeprefix("hyssopproxy/")
    forbidden = (
        set(IMPURE_MODULES) - set(IMPURE_ALLOWED.get(name, ())) if name in PURE_MODULES else ()
    )
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                if not _is_module(f"{node.module}.{alias.name}"):
                    violations.append(f"{file}:{node.lineno}: import the module, not {alias.name}")
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name in forbidden:
                    violations.append(
                        f"{file}:{node.lineno}: a pure module may not import {alias.name}"
                    )
    return violations


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def main() -> int:
    """Print the violations and return the exit status."""
    violations = []
    for folder in FOLDERS:
        for file in sorted(pathlib.Path(folder).rglob("*.py")):
            violations += find_violations(file)
    print("\n".join(violations) or "imports follow the project rules")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
