"""Emulators of the platform, the targets and the network, for tests and benchmarks."""
