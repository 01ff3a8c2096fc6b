"""IP addresses with a port, such as `127.0.0.1:8080` or `[::1]:8080`."""

import ipaddress

import attrs


@attrs.frozen
class Address:
    """IP address and port."""

    host: str
    port: int


@attrs.frozen
class BadAddress:
    """Result for a string that is not an address, with the reason."""

    reason: str


def parse(text: str) -> Address | BadAddress:
    """Return the parsed address, or the reason why the string is not an address.

    >>> parse("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse("localhost:80").reason
    "'localhost' is not an IP address"
    """
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not is_number or not 0 < int(port) < 65536:
        return BadAddress("give IP:PORT with a port from 1 to 65535")
    ip = host.removeprefix("[").removesuffix("]")
    if not is_ip(ip):
        return BadAddress(f"{host!r} is not an IP address")
    return Address(ip, int(port))


def is_ip(text: str) -> bool:
    """Return whether a text is an IP address without a scope.

    The standard library accepts any text as a scope, and the socket functions do not.

    >>> is_ip("fe80::1"), is_ip("fe80::1%eth0"), is_ip("localhost")
    (True, False, False)
    """
    if "%" in text:
        return False
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
