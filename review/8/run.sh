#!/bin/sh
# Exits with 1 if a leaf gets requests later than drainMs after its entry was removed.
cd "$(dirname "$0")/../.." && exec python3 review/8/case.py
