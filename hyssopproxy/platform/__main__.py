"""Runs the daemon on the hosting platform: `python3 -m hyssopproxy.platform`."""

import signal
import sys

# SIGHUP makes a running daemon reload its settings. Until that handler is installed, ignore the
# signal, because its default action ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The platform's protocols use no TLS and asyncio works without the ssl module. Not importing it
# saves 4 MB per process.
sys.modules.setdefault("ssl", None)

from hyssopproxy.platform import service  # noqa: E402

if __name__ == "__main__":
    service.main()
