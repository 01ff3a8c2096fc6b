#!/bin/sh
# Builds what the scripts of the second review start beside the daemon of the deploy file. Their
# stand-ins (review/stage.py and the case files) use the standard library alone.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for number in range(6, 11):
    for path in (pathlib.Path("review/stage.py"), pathlib.Path(f"review/{number}/case.py")):
        if path.exists():
            ast.parse(path.read_text(), str(path))
END
