"""Tests; the folder structure mirrors the package."""
