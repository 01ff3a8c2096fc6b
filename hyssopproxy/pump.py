"""Feeds events to a reducer one at a time and carries out its effects."""

import collections
import typing


class Pump:
    """The loop of a runtime; events that effects post are taken after those that wait.

    >>> seen = []
    >>> pump = Pump(lambda event: [event * 2], seen.append)
    >>> pump.post(4)
    >>> seen
    [8]
    """

    def __init__(
        self,
        reduce: typing.Callable[[typing.Any], list],
        perform: typing.Callable[[typing.Any], None],
    ) -> None:
        self._reduce = reduce
        self._perform = perform
        self._queue: collections.deque = collections.deque()
        self._is_busy = False

    def post(self, happened: typing.Any) -> None:
        """Reduce one event, and all that its effects post meanwhile."""
        self._queue.append(happened)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._queue:
                for wanted in self._reduce(self._queue.popleft()):
                    self._perform(wanted)
        finally:
            self._is_busy = False
