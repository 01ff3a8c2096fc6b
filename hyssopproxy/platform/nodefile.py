"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
import typing

import attrs

from hyssopproxy import address
from hyssopproxy import problem
from hyssopproxy.engine import state as states

VARIABLE = "HYSSOPPROXY_NODE_FILE"
DEFAULT_PATH = "/etc/hyssopproxy/node.toml"


@attrs.frozen
class NodeFile:
    """The settings of a process."""

    name: str
    engine: states.Settings
    front: address.Address
    readiness: address.Address
    control: address.Address | None
    peer_port: int


def path(environ: typing.Mapping[str, str]) -> str:
    """Return where the settings file lies."""
    return environ.get(VARIABLE, DEFAULT_PATH)


def load(where: str) -> NodeFile:
    """Return the settings; raise `problem.UserError` with what is wrong and the remedy."""
    try:
        with open(where, "rb") as file:
            table = tomllib.load(file)
    except OSError as error:
        reason = os.strerror(error.errno or 0)
        raise problem.UserError([f"{where}: {reason}: set {VARIABLE}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise problem.UserError([f"{where}: no TOML: {error}"]) from None
    return parse(table)


def parse(table: dict) -> NodeFile:
    """Return the settings of a decoded file; fields that are not known are ignored."""
    reader = _Reader(table)
    ip = reader.text("ip")
    bounds = reader.section("bounds")
    listen = reader.section("listen")
    control = listen.place("control", is_needed=False)
    store = reader.section("platform").place("address")
    ports = table.get("internalPorts")
    if not (isinstance(ports, list) and ports and all(type(port) is int for port in ports)):
        reader.errors.append("internalPorts: missing: give the first and the last free port")
        ports = [0]
    engine = states.Settings(
        ip=ip,
        failure_domain=reader.text("zone"),
        store=f"{store.host}:{store.port}" if store else "",
        seeds=tuple(one for one in table.get("seeds", ()) if isinstance(one, str)),
        control_port=control.port if control else 0,
        retry_ratio=bounds.number("retryRatio", 0.2),
        retry_window_s=bounds.number("retryWindowS", 10.0),
        retry_slack=bounds.number("retrySlack", 0.0),
        stop_grace_s=bounds.number("graceS", 6.0),
        link_mbps=reader.section("limits").number("linkMbps", 0.0),
    )
    result = NodeFile(
        name=reader.text("node"),
        engine=engine,
        front=listen.place("front"),
        readiness=listen.place("readinessAddr"),
        control=control,
        peer_port=ports[0],
    )
    if reader.errors:
        raise problem.UserError(reader.errors)
    return result


class _Reader:
    """Reads one value at a time and gathers the errors."""

    def __init__(self, table: dict, where: str = "", errors: list[str] | None = None) -> None:
        self.errors: list[str] = [] if errors is None else errors
        self._table = table
        self._where = where

    def section(self, key: str) -> "_Reader":
        """Return the table of that name, empty when absent."""
        value = self._table.get(key, {})
        if not isinstance(value, dict):
            self.errors.append(f"{self._where}{key}: {value!r}: give a table")
            value = {}
        return _Reader(value, f"{self._where}{key}.", self.errors)

    def text(self, key: str) -> str:
        """Return a text that has to be there."""
        value = self._table.get(key)
        if not isinstance(value, str) or not value:
            self.errors.append(f"{self._where}{key}: {value!r}: give a text that is not empty")
            return ""
        return value

    def number(self, key: str, default: float) -> float:
        """Return a number of zero or more."""
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            self.errors.append(f"{self._where}{key}: {value!r}: give a number of 0 or more")
            return default
        return float(value)

    def place(self, key: str, is_needed: bool = True) -> address.Address | None:
        """Return an address."""
        if key not in self._table and not is_needed:
            return None
        parsed = address.parse(str(self._table.get(key, "")))
        if isinstance(parsed, address.BadAddress):
            self.errors.append(f"{self._where}{key}: {parsed.reason}: give IP:PORT")
            return None
        return parsed
