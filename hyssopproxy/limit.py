"""Limits on the size and duration of callers' requests."""

import attrs


@attrs.frozen
class Limits:
    """Limits of one caller's connection; the defaults apply until a configuration is known."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
