#!/bin/sh
# The scripts of review/11 to review/15 start the daemon as the deploy file says, after its build;
# their stand-ins in review/standins3 need the standard library of Python 3.11 or newer alone.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins3
