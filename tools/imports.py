"""Checks the house rules that no linter knows: modules are imported, decisions read no clock."""

import ast
import importlib.util
import pathlib
import sys

FOLDERS = ("hyssopproxy", "bench", "tests", "tools")
PURE = (
    "action admission answer configuration dispatch fleet freshness lifecycle quantile reducer "
    "search share snapshot state target watch policy/hedge policy/limit policy/replica policy/wait"
).split()
IMPURE_MODULES = ("time", "random", "datetime", "asyncio", "socket", "os")
IMPURE_ALLOWED = {"state": ("random",)}  # the type of the seeded generator in the state


def find_faults(file: pathlib.Path) -> list[str]:
    """Return a line for each broken rule in a file."""
    faults = []
    name = file.with_suffix("").as_posix().removeprefix("hyssopproxy/")
    forbidden = set(IMPURE_MODULES) - set(IMPURE_ALLOWED.get(name, ())) if name in PURE else ()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                if not _is_module(f"{node.module}.{alias.name}"):
                    faults.append(f"{file}:{node.lineno}: import the module, not {alias.name}")
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name in forbidden:
                    faults.append(f"{file}:{node.lineno}: a decision may not use {alias.name}")
    return faults


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def main() -> int:
    """Print the faults and return how the check ended."""
    faults = []
    for folder in FOLDERS:
        for file in sorted(pathlib.Path(folder).rglob("*.py")):
            faults += find_faults(file)
    print("\n".join(faults) or "imports are in order")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
