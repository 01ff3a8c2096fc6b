"""Memory and descriptors that this process uses, with their limits."""

import os
import resource

import attrs

_DESCRIPTORS_PATH = "/proc/self/fd"
_STATUS_PATH = "/proc/self/status"
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
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Usage(_read_peak_kib() * _KIB, open_descriptors, max_descriptors)


def _read_peak_kib() -> int:
    """Return the largest resident set; `getrusage` would count that of the process's parent."""
    try:
        with open(_STATUS_PATH) as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
    except OSError:  # not every system has the file, and descriptors may be used up
        pass
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
