"""Passes events to a reducer one at a time and executes the effects it returns."""

import collections
import typing

#: Called with an unexpected error and the event or effect that caused it.
ErrorHandler = typing.Callable[[Exception, typing.Any], None]


class Pump:
    """Event queue of a runtime; events posted while another is handled are queued in order.

    The reducer appends effects to a list. An unexpected error costs the event or effect that caused
    it: the effects that were appended before are executed, and later events are handled.

    >>> seen = []
    >>> reduce = lambda event, out: out.append(event * 2)
    >>> pump = Pump(reduce, seen.append, lambda error, cause: seen.append(error))
    >>> pump.post(4)
    >>> seen
    [8]
    """

    def __init__(
        self,
        reduce: typing.Callable[[typing.Any, list], None],
        execute: typing.Callable[[typing.Any], None],
        handle_error: ErrorHandler,
    ) -> None:
        self._reduce = reduce
        self._execute = execute
        self._handle_error = handle_error
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
                self._handle(self._queue.popleft())
        finally:
            self._is_busy = False

    def _handle(self, event: typing.Any) -> None:
        effects: list = []
        try:
            self._reduce(event, effects)
        except Exception as error:  # any fault in a decision
            self._handle_error(error, event)
        for effect in effects:
            try:
                self._execute(effect)
            except Exception as error:  # any fault in an adapter
                self._handle_error(error, effect)
