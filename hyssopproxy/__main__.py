"""Runs hyssopproxyd: `python3 -m hyssopproxy`."""

from hyssopproxy import signals


def main() -> None:
    """Run hyssopproxyd until it stops."""
    signals.defer(signals.INTERACTIVE)
    from hyssopproxy import daemon  # its imports take most of the start

    daemon.main()


if __name__ == "__main__":
    main()
