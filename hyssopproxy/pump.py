"""Passes events to a reducer one at a time and executes the effects it returns."""

import collections
import typing


class Pump:
    """Event queue of a runtime; events posted while another is handled are queued in order.

    >>> seen = []
    >>> pump = Pump(lambda event: [event * 2], seen.append)
    >>> pump.post(4)
    >>> seen
    [8]
    """

    def __init__(
        self,
        reduce: typing.Callable[[typing.Any], list],
        execute: typing.Callable[[typing.Any], None],
    ) -> None:
        self._reduce = reduce
        self._execute = execute
        self._queue: collections.deque = collections.deque()
        self._is_busy = False

    def post(self, event: typing.Any) -> None:
        """Handle an event and all events that are posted while its effects are executed."""
        self._queue.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._queue:
                for effect in self._reduce(self._queue.popleft()):
                    self._execute(effect)
        finally:
            self._is_busy = False
