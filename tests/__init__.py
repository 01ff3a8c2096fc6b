"""Tests; the folder mirrors the package."""
