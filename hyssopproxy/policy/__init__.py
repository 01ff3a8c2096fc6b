"""Interchangeable policies, each with a simple baseline to compare it to."""
