"""Randomised soak test: injects faults into daemons and emulators, and checks all responses."""
