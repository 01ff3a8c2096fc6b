"""Starts the daemon of the hosting platform, as deploy/system.toml says."""

# Signals are deferred before any other import. The public module imports enum, which takes as long
# as the start of the interpreter.
import _signal

_signal.pthread_sigmask(_signal.SIG_BLOCK, {_signal.SIGHUP, _signal.SIGTERM})

from hyssopproxy.platform import __main__ as daemon  # noqa: E402

if __name__ == "__main__":
    daemon.main()
