"""Settings of the daemon, read from flags and environment variables; flags take precedence."""

import re
import typing

import attrs

from hyssopproxy import address
from hyssopproxy import problem

PREFIX = "HYSSOPPROXY_"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
PEER_KEY_CHARS = 40  # length of a CURVE key in Z85 encoding


@attrs.frozen
class Settings:
    """Settings of the daemon, after validation."""

    vm: str
    failure_domain: str
    listen: address.Address
    admin: address.Address
    peer: address.Address
    platform: str
    peer_key: str
    seeds: tuple[str, ...]
    action_window_s: float
    stop_grace_s: float
    seed: int


def read(flags: typing.Mapping[str, str | None], environ: typing.Mapping[str, str]) -> Settings:
    """Return the settings; raise `problem.UserError` with all errors at once."""
    reader = _Reader(flags, environ)
    settings = Settings(
        vm=reader.name("vm"),
        failure_domain=reader.name("failure_domain"),
        listen=reader.read_address("listen"),
        admin=reader.read_address("admin", "127.0.0.1:9090"),
        peer=reader.read_address("peer"),
        platform=reader.address_string("platform"),
        peer_key=reader.string("peer_key", ""),
        seeds=reader.address_strings("seeds"),
        action_window_s=reader.number("action_window_s", 60.0, 6.0, 86400.0),
        stop_grace_s=reader.number("stop_grace_s", 5.0, 0.0, 300.0),
        seed=int(reader.number("seed", 0, 0, 2**31)),
    )
    reader.check_unknown_variables()
    reader.check_peer_key(settings.peer_key, settings.peer)
    if reader.errors:
        raise problem.UserError(reader.errors)
    return settings


class _Reader:
    """Reads settings one at a time and collects the errors."""

    def __init__(self, flags: typing.Mapping[str, str | None], environ) -> None:
        self.errors: list[str] = []
        self._flags = flags
        self._environ = environ
        self._known_variables: set[str] = set()

    def string(self, key: str, default: str | None = None) -> str:
        self._known_variables.add(PREFIX + key.upper())
        flag = self._flags.get(key)
        value = flag if flag is not None else self._environ.get(PREFIX + key.upper(), default)
        if value is None:
            self._add_error(key, "missing", "set the flag or the variable")
            return ""
        return value

    def name(self, key: str) -> str:
        value = self.string(key)
        if value and not NAME_PATTERN.fullmatch(value):
            self._add_error(key, repr(value), "give 1 to 64 letters, digits, dots, dashes")
        return value

    def read_address(self, key: str, default: str | None = None) -> address.Address:
        value = self.string(key, default)
        parsed = address.parse(value) if value else address.Address("", 0)
        if isinstance(parsed, address.BadAddress):
            self._add_error(key, repr(value), f"{parsed.reason}; give IP:PORT")
            return address.Address("", 0)
        return parsed

    def address_string(self, key: str) -> str:
        self.read_address(key)
        return self.string(key, "")

    def address_strings(self, key: str) -> tuple[str, ...]:
        addresses = tuple(part.strip() for part in self.string(key, "").split(",") if part.strip())
        for item in addresses:
            parsed = address.parse(item)
            if isinstance(parsed, address.BadAddress):
                self._add_error(key, repr(item), f"{parsed.reason}; give IP:PORT,IP:PORT")
        return addresses

    def number(self, key: str, default: float, low: float, high: float) -> float:
        value = self.string(key, str(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not low <= number <= high:
            self._add_error(key, repr(value), f"give a number from {low:g} to {high:g}")
            return default
        return number

    def check_unknown_variables(self) -> None:
        for name in sorted(self._environ):
            if name.startswith(PREFIX) and name not in self._known_variables:
                known = ", ".join(sorted(self._known_variables))
                self.errors.append(f"{name}: unknown setting: give one of {known}")

    def check_peer_key(self, key: str, peer: address.Address) -> None:
        if key and len(key) != PEER_KEY_CHARS:
            self._add_error("peer_key", f"{len(key)} characters", "make one with hyssopctl key")
        if not key and peer.host and not peer.host.startswith("127."):
            self._add_error(
                "peer_key", "missing", "make one with hyssopctl key; optional only on loopback"
            )

    def _add_error(self, key: str, actual: str, remedy: str) -> None:
        flag = "--" + key.replace("_", "-")
        self.errors.append(f"{flag} ({PREFIX}{key.upper()}): {actual}: {remedy}")
