"""Adapter to the outer platform: its names, formats and protocols, without any decisions."""
