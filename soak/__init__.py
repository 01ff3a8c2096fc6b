"""Randomized soak test: daemon processes between emulators, with faults and checks as it runs."""
