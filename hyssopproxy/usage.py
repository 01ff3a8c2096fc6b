"""Memory and descriptors that this process uses, with their limits."""

import os
import resource

import attrs

_DESCRIPTORS_PATH = "/proc/self/fd"
_KIB = 1024


@attrs.frozen
class Usage:
    """Use of resources by this process."""

    peak_memory_bytes: int  # largest resident set so far
    open_descriptors: int | None  # None if the system does not tell
    max_descriptors: int


def read() -> Usage:
    """Return the current figures, as the operating system states them."""
    try:
        open_descriptors = len(os.listdir(_DESCRIPTORS_PATH))
    except OSError:  # not every system has the folder
        open_descriptors = None
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Usage(peak_kib * _KIB, open_descriptors, max_descriptors)
