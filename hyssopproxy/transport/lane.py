"""Bounds the time per turn of the event loop that costly input of all callers takes together.

Handles crowds that send many short header lines or requests: parsing and forwarding one read of
them takes milliseconds. What is beyond a typical request waits in a queue, of which each turn
serves a bounded time, so that ordinary callers are served in between.
"""

import abc
import asyncio
import collections

from hyssopproxy.transport import clock

# A hundredth of the shortest objectives of callers (500 ms), so that a turn delays none noticeably.
TURN_S = 0.005


class Member(abc.ABC):
    """Has input that waits to be parsed."""

    @abc.abstractmethod
    def proceed(self) -> None:
        """Parse a bounded part of the input; queue again if more is left."""


class Lane:
    """Queue of the connections whose input is costly, served in turn."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Member] = collections.deque()
        self._is_scheduled = False

    def add(self, member: Member) -> None:
        """Queue a connection, which must not be queued already."""
        self._waiting.append(member)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._serve)

    def _serve(self) -> None:
        """Let connections proceed for a bounded time, at least one of them."""
        end = clock.read() + TURN_S
        try:
            while self._waiting:
                self._waiting.popleft().proceed()
                if clock.read() >= end:
                    break
        finally:
            self._is_scheduled = bool(self._waiting)
            if self._is_scheduled:
                asyncio.get_running_loop().call_soon(self._serve)
