"""Reads the settings file that the platform provides for each process."""

import os
import tomllib
import typing

import attrs

from hyssopproxy import address
from hyssopproxy import problem
from hyssopproxy.engine import state as states

PATH_VARIABLE = "HYSSOPPROXY_NODE_FILE"
DEFAULT_PATH = "/etc/hyssopproxy/node.toml"
MAX_NUMBER = 1e9  # more than any setting is; also the limit of numbers in datagrams
MAX_REASON_CHARS = 160


@attrs.frozen
class NodeFile:
    """Settings of a daemon process."""

    name: str
    engine: states.Settings
    front: address.Address
    readiness: address.Address
    control: address.Address | None
    peer_port: int


def path(environ: typing.Mapping[str, str]) -> str:
    """Return the path of the settings file."""
    return environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(file_path: str) -> NodeFile:
    """Load the settings; raise `problem.UserError` with every error and its remedy.

    No other exception is raised, whatever the file contains.
    """
    try:
        return _load(file_path)
    except problem.UserError:
        raise
    except Exception as error:  # such as RecursionError for tables that are nested deeply
        raise problem.UserError([f"{file_path}: cannot be read: {error!r}"]) from error


def _load(file_path: str) -> NodeFile:
    try:
        with open(file_path, "rb") as file:
            table = tomllib.load(file)
    except OSError as error:
        reason = os.strerror(error.errno or 0)
        raise problem.UserError([f"{file_path}: {reason}: set {PATH_VARIABLE}"]) from None
    except (ValueError, RecursionError) as error:  # also from huge integers and deep nesting
        reason = str(error)[:MAX_REASON_CHARS]
        raise problem.UserError([f"{file_path}: invalid TOML: {reason}"]) from None
    return parse(table)


def parse(table: dict) -> NodeFile:
    """Convert a decoded file into settings; unknown fields are ignored."""
    reader = _TableReader(table)
    ip = reader.string("ip")
    if ip and not address.is_ip(ip):
        reader.errors.append(f"ip: {_show(ip)}: give an IP address")
    bounds = reader.section("bounds")
    listen = reader.section("listen")
    control = listen.host_port("control", is_required=False)
    store = reader.section("platform").host_port("address")
    ports = table.get("internalPorts")
    if not (isinstance(ports, list) and ports and all(map(_is_port, ports))):
        reader.errors.append("internalPorts: missing: give the first and the last free port")
        ports = [0]
    engine = states.Settings(
        ip=ip,
        failure_domain=reader.string("zone"),
        store=f"{store.host}:{store.port}" if store else "",
        seeds=reader.strings("seeds"),
        control_port=control.port if control else 0,
        retry_ratio=bounds.number("retryRatio", 0.2),
        retry_window_s=bounds.number("retryWindowS", 10.0),
        retry_slack=bounds.number("retrySlack", 0.0),
        stop_grace_s=bounds.number("graceS", 6.0),
        link_mbps=reader.section("limits").number("linkMbps", 0.0),
        drain_s=bounds.number("drainMs", 5000.0) / 1000,
        quota_window_s=bounds.number("quotaWindowS", 5.0),
        quota_overrun=bounds.number("quotaOverrun", 0.0),
        quota_slack=bounds.number("quotaSlack", 0.0),
    )
    result = NodeFile(
        name=reader.string("node"),
        engine=engine,
        front=listen.host_port("front"),
        readiness=listen.host_port("readinessAddr"),
        control=control,
        peer_port=ports[0],
    )
    if reader.errors:
        raise problem.UserError(reader.errors)
    return result


def _is_port(value: typing.Any) -> bool:
    return type(value) is int and 0 < value < 65536


def _show(value: typing.Any) -> str:
    """Return a short text of a value of any kind and size."""
    try:
        return repr(value)[:MAX_REASON_CHARS]
    except (ValueError, RecursionError):  # Python refuses to print huge integers
        return f"{type(value).__name__} too large to print"


class _TableReader:
    """Reads and checks single values of a table and collects all errors."""

    def __init__(self, table: dict, prefix: str = "", errors: list[str] | None = None) -> None:
        self.errors: list[str] = [] if errors is None else errors
        self._table = table
        self._prefix = prefix

    def section(self, key: str) -> "_TableReader":
        """Return a reader for a nested table; a missing table counts as empty."""
        value = self._table.get(key, {})
        if not isinstance(value, dict):
            self.errors.append(f"{self._prefix}{key}: {_show(value)}: give a table")
            value = {}
        return _TableReader(value, f"{self._prefix}{key}.", self.errors)

    def string(self, key: str) -> str:
        """Return a required string that must not be empty."""
        value = self._table.get(key)
        if not isinstance(value, str) or not value:
            self.errors.append(f"{self._prefix}{key}: {_show(value)}: give a non-empty string")
            return ""
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list of strings; empty if the key is absent."""
        value = self._table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            self.errors.append(f"{self._prefix}{key}: {_show(value)}: give a list of strings")
            return ()
        return tuple(value)

    def number(self, key: str, default: float) -> float:
        """Return a finite, non-negative number."""
        value = self._table.get(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_NUMBER:
            self.errors.append(
                f"{self._prefix}{key}: {_show(value)}: give a number from 0 to {MAX_NUMBER:.0f}"
            )
            return default
        return float(value)

    def host_port(self, key: str, is_required: bool = True) -> address.Address | None:
        """Return an address of the form IP:PORT."""
        if key not in self._table and not is_required:
            return None
        value = self._table.get(key)
        parsed = address.parse(value if isinstance(value, str) else "")
        if isinstance(parsed, address.BadAddress):
            self.errors.append(f"{self._prefix}{key}: {parsed.reason}: give IP:PORT")
            return None
        return parsed
