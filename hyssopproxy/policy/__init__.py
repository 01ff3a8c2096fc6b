"""Interchangeable decisions, each beside a plain baseline."""
