"""Starts the daemon of the hosting platform, as deploy/system.toml says."""

# Signals are deferred before any other import. CPython's public module imports enum, which takes as
# long as the start of the interpreter.
import _signal

_signal.pthread_sigmask(_signal.SIG_BLOCK, {_signal.SIGHUP, _signal.SIGTERM})

import importlib.util  # noqa: E402
import os  # noqa: E402
import site  # noqa: E402
import sys  # noqa: E402

DEPENDENCIES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "target", "deps")


def main() -> None:
    """Find the dependencies, wherever they are installed, and run the daemon."""
    if os.path.isdir(DEPENDENCIES) and DEPENDENCIES not in sys.path:
        sys.path.insert(1, DEPENDENCIES)
    if importlib.util.find_spec("httptools") is None:
        site.main()  # they are beside the interpreter, which -S leaves out
    from hyssopproxy.platform import __main__ as daemon

    daemon.main()


if __name__ == "__main__":
    main()
