"""Limits on what a caller may send and how long it may take."""

import attrs


@attrs.frozen
class Limits:
    """Limits of one caller's connection; the defaults hold before a configuration is known."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
