"""IP addresses with a port, as `127.0.0.1:8080` or `[::1]:8080`."""

import ipaddress

import attrs


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int


@attrs.frozen
class BadAddress:
    """Sentinel for a text that is no address, with the reason."""

    reason: str


def parse(text: str) -> Address | BadAddress:
    """Return the address a text names.

    >>> parse("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse("localhost:80").reason
    "'localhost' is no IP number"
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return BadAddress("give IP:PORT with a port from 1 to 65535")
    bare = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(bare)
    except ValueError:
        return BadAddress(f"{host!r} is no IP number")
    return Address(bare, int(port))
