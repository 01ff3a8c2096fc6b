"""Memory of a process, as the kernel accounts it."""

import os


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
