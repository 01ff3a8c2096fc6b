"""Tests that run daemons, targets and the platform as real processes."""
