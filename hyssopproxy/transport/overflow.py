"""Bounds the connections of a server: chooses which one is closed when there are too many.

Callers that have sent a complete request keep their place, since they reuse their connections.
"""

import abc
import asyncio
import resource
import typing

# Descriptors that are left for targets, the store, the log and the other addresses.
RESERVED_DESCRIPTORS = 512


class Candidate(abc.ABC):
    """A connection that may have to be closed for a new one."""

    @property
    @abc.abstractmethod
    def has_sent_request(self) -> bool:
        """Whether a complete request was received."""

    @property
    @abc.abstractmethod
    def cost_bytes(self) -> int:
        """Memory of what is received or queued, and not yet being handled."""

    @abc.abstractmethod
    def age_s(self, now: float) -> float:
        """Return the seconds since the connection was accepted or last got on."""


CandidateType = typing.TypeVar("CandidateType", bound=Candidate)


def choose_victim(
    connections: typing.Iterable[CandidateType], now: float, header_timeout_s: float
) -> CandidateType | None:
    """Return the connection to close for a new one; None if the new one is to be closed.

    Of the connections without a complete request, that is the one that holds the most, or else one
    that has sent nothing for the time that a head may take.
    """
    idle = [each for each in connections if not each.has_sent_request]
    victim = max(idle, key=lambda each: (each.cost_bytes, each.age_s(now)), default=None)
    if victim is None or victim.cost_bytes > 0 or victim.age_s(now) > header_timeout_s:
        return victim
    return None


def bound_by_descriptors(max_connections: int) -> int:
    """Return how many connections leave descriptors for the targets, at most `max_connections`."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return max_connections
    return min(max_connections, max(limit - RESERVED_DESCRIPTORS, limit // 2))


class RefusedConnection(asyncio.Protocol):
    """A connection that is closed at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        typing.cast(asyncio.Transport, transport).abort()
