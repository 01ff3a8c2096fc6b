"""Settings of the daemon from flags and environment variables, flags first."""

import re
import typing

import attrs

from hyssopproxy import address
from hyssopproxy import problem

PREFIX = "HYSSOPPROXY_"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
KEY_CHARS = 40  # of a CURVE key in Z85


@attrs.frozen
class Settings:
    """All settings, checked."""

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
    """Return the settings; raise `problem.UserError` with every fault at once."""
    reader = _Reader(flags, environ)
    settings = Settings(
        vm=reader.name("vm"),
        failure_domain=reader.name("failure_domain"),
        listen=reader.read_address("listen"),
        admin=reader.read_address("admin", "127.0.0.1:9090"),
        peer=reader.read_address("peer"),
        platform=reader.place("platform"),
        peer_key=reader.text("peer_key", ""),
        seeds=reader.places("seeds"),
        action_window_s=reader.number("action_window_s", 60.0, 6.0, 86400.0),
        stop_grace_s=reader.number("stop_grace_s", 5.0, 0.0, 300.0),
        seed=int(reader.number("seed", 0, 0, 2**31)),
    )
    reader.check_known()
    reader.check_key(settings.peer_key, settings.peer)
    if reader.errors:
        raise problem.UserError(reader.errors)
    return settings


class _Reader:
    """Reads one setting at a time and gathers the errors."""

    def __init__(self, flags: typing.Mapping[str, str | None], environ) -> None:
        self.errors: list[str] = []
        self._flags = flags
        self._environ = environ
        self._known: set[str] = set()

    def text(self, key: str, default: str | None = None) -> str:
        self._known.add(PREFIX + key.upper())
        given = self._flags.get(key)
        value = given if given is not None else self._environ.get(PREFIX + key.upper(), default)
        if value is None:
            self._fault(key, "missing", "give it")
            return ""
        return value

    def name(self, key: str) -> str:
        value = self.text(key)
        if value and not NAME.fullmatch(value):
            self._fault(key, repr(value), "give 1 to 64 letters, digits, dots, dashes")
        return value

    def read_address(self, key: str, default: str | None = None) -> address.Address:
        value = self.text(key, default)
        parsed = address.parse(value) if value else address.Address("", 0)
        if isinstance(parsed, address.BadAddress):
            self._fault(key, repr(value), f"{parsed.reason}; give IP:PORT")
            return address.Address("", 0)
        return parsed

    def place(self, key: str) -> str:
        self.read_address(key)
        return self.text(key, "")

    def places(self, key: str) -> tuple[str, ...]:
        places = tuple(part.strip() for part in self.text(key, "").split(",") if part.strip())
        for place in places:
            parsed = address.parse(place)
            if isinstance(parsed, address.BadAddress):
                self._fault(key, repr(place), f"{parsed.reason}; give IP:PORT,IP:PORT")
        return places

    def number(self, key: str, default: float, low: float, high: float) -> float:
        value = self.text(key, str(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not low <= number <= high:
            self._fault(key, repr(value), f"give a number from {low:g} to {high:g}")
            return default
        return number

    def check_known(self) -> None:
        for name in sorted(self._environ):
            if name.startswith(PREFIX) and name not in self._known:
                known = ", ".join(sorted(self._known))
                self.errors.append(f"{name}: unknown setting: give one of {known}")

    def check_key(self, key: str, peer: address.Address) -> None:
        if key and len(key) != KEY_CHARS:
            self._fault("peer_key", f"{len(key)} characters", "make one with hyssopctl key")
        if not key and peer.host and not peer.host.startswith("127."):
            self._fault(
                "peer_key", "missing", "make one with hyssopctl key; only loopback needs none"
            )

    def _fault(self, key: str, what: str, remedy: str) -> None:
        flag = "--" + key.replace("_", "-")
        self.errors.append(f"{flag} ({PREFIX}{key.upper()}): {what}: {remedy}")
