"""Keeps signals pending while a daemon has no handlers for them.

The default action of a signal ends the process. A settings change or a planned stop may come at any
moment of a restart, while the handlers are not installed yet, or when the event loop that held them
is closed.
"""

import signal
import typing

#: Signals by which a hosting platform steers a daemon.
CONTROL = frozenset({signal.SIGHUP, signal.SIGTERM})
#: The same, and the signal of a terminal's interrupt key.
INTERACTIVE = CONTROL | {signal.SIGINT}


def defer(numbers: typing.Iterable[signal.Signals] = CONTROL) -> None:
    """Keep signals pending from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def deliver(numbers: typing.Iterable[signal.Signals] = CONTROL) -> None:
    """Deliver pending and later signals to their handlers, which must be installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def is_stop_pending() -> bool:
    """Return whether a deferred SIGTERM waits for its delivery."""
    return signal.SIGTERM in signal.sigpending()
