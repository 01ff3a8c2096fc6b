"""Bounds the memory that a process holds for its connections, over all of them.

Counted are incomplete messages, and for callers also requests that are queued or being handled and
responses that were not read yet. Handles servers and callers that send without end: each connection
has a limit of its own, but many connections below it could still exhaust the memory of a small VM.
When the total is exceeded, the connection that holds the most is dropped, and the others are not
affected.
"""

import abc

# Connections that hold less are not tracked: a usual request or response is smaller. 4,096 of them
# (the default bound of connections) hold 16 MB.
MIN_TRACKED_BYTES = 4 << 10


class Holder(abc.ABC):
    """Holds buffered data that can be dropped."""

    @abc.abstractmethod
    def drop_buffer(self) -> None:
        """Drop the buffered data and end the exchange that it belongs to."""


class Account:
    """Total of the data that the holders of a process have buffered, in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.total_bytes = 0
        self.drops = 0  # holders dropped so far
        self._limit_bytes = limit_bytes
        self._held_bytes: dict[Holder, int] = {}

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Set how much a holder has buffered; drop the largest holders while over the limit."""
        known_bytes = self._held_bytes.get(holder, 0)
        if not known_bytes and held_bytes < MIN_TRACKED_BYTES:
            return
        self._held_bytes[holder] = held_bytes
        self.total_bytes += held_bytes - known_bytes
        while self.total_bytes > self._limit_bytes and self._held_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.drops += 1
            self.release(largest)
            largest.drop_buffer()

    def release(self, holder: Holder) -> None:
        """Forget a holder whose data was passed on or dropped."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)
