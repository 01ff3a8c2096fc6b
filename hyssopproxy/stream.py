"""Standard streams of a process, which a supervisor may leave closed, full or without a reader."""

import contextlib
import os

_INPUT, _OUTPUT, _ERROR = 0, 1, 2


def protect() -> None:
    """Replace closed streams, and keep a reader that is too slow from blocking the process.

    A closed stream's number would go to the next socket, and what is printed would go to a caller.
    """
    for descriptor in (_INPUT, _OUTPUT, _ERROR):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest free number, which is this one
    for descriptor in (_OUTPUT, _ERROR):
        with contextlib.suppress(OSError):  # a stream without this mode is used as it is
            os.set_blocking(descriptor, False)


def report(text: str) -> None:
    """Write a line to standard error, if possible.

    Unlike `print`, it leaves nothing in a buffer that the interpreter fails to flush at its end.
    """
    with contextlib.suppress(OSError):
        os.write(_ERROR, f"{text}\n".encode(errors="backslashreplace"))
