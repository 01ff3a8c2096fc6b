"""Limits on the size and duration of messages that this process receives."""

import attrs


@attrs.frozen
class Limits:
    """Limits of one caller's connection; the defaults apply until a configuration is known."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class ResponseLimits:
    """Limits of one response of a server."""

    # Status line, headers, informational responses, trailers and framing between two body bytes.
    head_bytes: int = 64 << 10
    header_count: int = 200
    body_bytes: int = 8 << 20


@attrs.frozen
class BufferLimits:
    """Limits of the data that a process receives and holds until the message is complete."""

    response: ResponseLimits = ResponseLimits()  # of a target
    store: ResponseLimits = ResponseLimits(body_bytes=16 << 20)  # of the store or a peer
    total_bytes: int = 48 << 20  # of all connections together
    header_lines: int = 0  # of a caller's request; 0: as many as `Limits.header_bytes` allows
    # Connections of callers. A daemon has 0.4 to 2 requests a second, and so in a minute (the usual
    # idle timeout) some 120 connections if each request opens one, and 900 at 7.5 times that load.
    connections: int = 4096
