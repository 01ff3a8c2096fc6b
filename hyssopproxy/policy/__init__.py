"""Interchangeable policies, with a simple baseline of each kind for comparison."""
