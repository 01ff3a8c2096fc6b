"""State of a connection's socket that the event loop has not seen yet."""

import asyncio
import select


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the end of them, have arrived that were not read yet."""
    return _poll(transport, select.POLLIN)


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has aborted; not noticed otherwise while reading is paused."""
    return _poll(transport, 0)  # errors and hang-ups are always reported


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), events)
    return bool(poll.poll(0))
