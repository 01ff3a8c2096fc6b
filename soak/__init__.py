"""Randomized soak test: daemon processes with emulated leaves, a store and injected faults."""
