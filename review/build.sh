#!/bin/sh
# The stand-ins of the scripts need nothing beside Python's standard library; this compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
