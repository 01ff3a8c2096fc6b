"""Measurements with real processes: `python -m bench NAME`."""
