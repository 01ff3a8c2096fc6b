"""Keeps signals pending while a daemon has no handlers for them.

The default action of a signal ends the process. A settings change or a planned stop may come at any
moment of a restart, while the handlers are not installed yet, or when the event loop that ran them
is closed.
"""

import signal
import typing

if typing.TYPE_CHECKING:  # asyncio would delay the statement that defers the signals
    import asyncio

#: Signals by which a hosting platform steers a daemon.
CONTROL = frozenset({signal.SIGHUP, signal.SIGTERM})
#: The same, and the signal of a terminal's interrupt key.
INTERACTIVE = CONTROL | {signal.SIGINT}


def handle(
    loop: "asyncio.AbstractEventLoop",
    number: signal.Signals,
    callback: typing.Callable[[], typing.Any],
) -> None:
    """Call `callback` in the loop when a signal arrives.

    Signals that arrive before the loop gets to the call are merged into one. The loop's own
    handlers queue each signal instead, and a full queue loses what comes next, such as SIGTERM.
    """
    is_posted = False

    def run() -> None:
        nonlocal is_posted
        is_posted = False
        callback()

    def post(signal_number: int, frame: typing.Any) -> None:
        nonlocal is_posted
        if not is_posted and not loop.is_closed():
            is_posted = True
            loop.call_soon_threadsafe(run)

    signal.signal(number, post)


def defer(numbers: typing.Iterable[signal.Signals] = CONTROL) -> None:
    """Keep signals pending from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def deliver(numbers: typing.Iterable[signal.Signals] = CONTROL) -> None:
    """Deliver pending and later signals to their handlers, which must be installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def is_stop_pending() -> bool:
    """Return whether a SIGTERM waits for its delivery; only while signals are deferred."""
    return signal.SIGTERM in signal.sigpending()
