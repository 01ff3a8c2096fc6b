"""Adapter to the outer platform: its names, formats and protocols; makes no decisions."""
