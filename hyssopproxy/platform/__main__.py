"""Runs the daemon on the hosting platform: `python3 -m hyssopproxy.platform`."""

import sys

from hyssopproxy import signals

signals.defer()

# The platform's protocols use no TLS and asyncio works without the ssl module. Not importing it
# saves 4 MB per process.
sys.modules.setdefault("ssl", None)

from hyssopproxy.platform import service  # noqa: E402


def main() -> None:
    """Run the daemon until it stops."""
    service.main()


if __name__ == "__main__":
    main()
