"""The command-line tool hyssopctl."""

import asyncio
import json
import pathlib
import sys

import defopt
import msgspec
import zmq

from hyssopproxy import client
from hyssopproxy import config
from hyssopproxy import explain as explain_module
from hyssopproxy import load as load_module
from hyssopproxy import problem
from hyssopproxy import servicefile


def main() -> None:
    """Run hyssopctl."""
    commands = [check, collect, key, search, act, state, status, load, explain]
    try:
        sys.exit(defopt.run(commands, argv=sys.argv[1:], no_negated_flags=True))
    except problem.UserError as error:
        print(f"hyssopctl: {error}", file=sys.stderr)
        sys.exit(2)
    except KeyboardInterrupt:
        sys.exit(130)


def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Print the log lines of a request, and those of events on its VM and targets at that time.

    :param request_id: value of the Request-Id header
    :param logs: log files of the daemons
    """
    lines = explain_module.explain(explain_module.read(logs), request_id)
    if not lines:
        raise problem.UserError(
            [f"{request_id}: not in the logs: ordinary lines may have been suppressed"]
        )
    for line in lines:
        print(msgspec.json.encode(line).decode())


def check(folder: pathlib.Path) -> None:
    """Check all service files of a folder and print every error with its remedy.

    :param folder: folder of .toml files
    """
    tables = servicefile.read_dir(folder)
    print(f"{len(tables)} services are valid: {', '.join(sorted(tables))}")


def collect(folder: pathlib.Path, *, version: int | None = None) -> None:
    """Print the configuration value to publish on the platform.

    :param folder: folder of service files, with fleet.toml for version, vms and failure_domains
    :param version: version of the configuration; overrides the one in fleet.toml
    """
    value = build_configuration(folder, version)
    print(json.dumps(value, indent=1))


def build_configuration(folder: pathlib.Path, version: int | None) -> dict:
    """Return the configuration value built from the files of a folder, after checking it."""
    services = servicefile.read_dir(folder)
    fleet = servicefile.read_fleet(folder)
    value = {"version": 1, "vms": {}, "failure_domains": {}, **fleet, "services": services}
    if version is not None:
        value["version"] = version
    decoded = config.decode(msgspec.json.encode(value))
    if isinstance(decoded, config.Rejected):
        raise problem.UserError([f"{folder}/fleet.toml: {reason}" for reason in decoded.reasons])
    return value


def key() -> None:
    """Print a new secret key for --peer-key, shared by the whole fleet."""
    print(make_key())


def make_key() -> str:
    """Return a new secret key that does not begin like a flag."""
    while True:
        secret = zmq.curve_keypair()[1].decode()
        if not secret.startswith("-"):
            return secret


def search(
    address: str,
    service: str,
    query: str,
    *,
    limit: int | None = None,
    timeout_ms: int | None = None,
) -> int:
    """Send a search and print the answer; exit with 1 if it is refused.

    :param address: IP:PORT of a daemon
    :param service: name of the service
    :param query: text to search for
    :param limit: maximum number of hits
    :param timeout_ms: deadline in milliseconds
    """
    return _print_response(asyncio.run(client.search(address, service, query, limit, timeout_ms)))


def act(
    address: str,
    service: str,
    action: str,
    *,
    body: str = "{}",
    idempotency_key: str | None = None,
    timeout_ms: int | None = None,
) -> int:
    """Send a non-idempotent request and print the outcome; exit with 1 if it is refused.

    :param address: IP:PORT of a daemon
    :param service: name of the service
    :param action: name of the action
    :param body: further fields, as a JSON object
    :param idempotency_key: key of the request; generated if absent
    :param timeout_ms: deadline in milliseconds
    """
    try:
        fields = json.loads(body)
    except json.JSONDecodeError as error:
        raise problem.UserError([f"--body: {error}: give a JSON object"]) from None
    if not isinstance(fields, dict):
        raise problem.UserError(["--body: give a JSON object"])
    request = client.act(
        address, service, {**fields, "action": action}, idempotency_key, timeout_ms
    )
    return _print_response(asyncio.run(request))


def _print_response(result: tuple[int, dict]) -> int:
    print(json.dumps(result[1], indent=1))
    return 0 if result[0] == 200 else 1


def state(address: str) -> None:
    """Print the state dump of a daemon.

    :param address: IP:PORT of the daemon's operator address (--admin)
    """
    print(json.dumps(asyncio.run(client.read_state(address)), indent=1))


def status(*addresses: str) -> int:
    """Print a table of daemons: version, readiness, targets; exit with 1 if one is unreachable.

    :param addresses: IP:PORT of the daemons' operator addresses (--admin)
    """
    row_format = "{:<16} {:<12} {:>8} {:>8} {:<18} {:>7} {:>5} {:>8} {:>5} {:>5}"
    headings = ("vm", "domain", "version", "age_s", "ready", "targets", "cold", "draining", "out")
    print(row_format.format(*headings, "peers"))
    reached = 0
    for dump in asyncio.run(client.read_states(list(addresses))):
        if isinstance(dump, str):
            print(dump)
            continue
        reached += 1
        print(row_format.format(*_status_row(dump)))
    return 0 if reached == len(addresses) else 1


def _status_row(dump: dict) -> list[str]:
    targets = dump["targets"]
    counts = [
        len(targets),
        sum(target["cold"] for target in targets),
        sum(target["draining"] for target in targets),
        sum(target["verdict"] == "failure_domain_out" for target in targets),
        len(dump["peers"]),
    ]
    age = "never" if dump["config_age_s"] is None else f"{dump['config_age_s']:.1f}"
    ready = dump["unready"] or "ready"
    return [dump["vm"], dump["failure_domain"], dump["version"], age, ready, *counts]


def load(
    service: str,
    *addresses: str,
    rate: float = 50.0,
    seconds: float = 10.0,
    timeout_ms: int = 300,
    seed: int = 1,
    as_json: bool = False,
) -> int:
    """Send searches at a fixed rate, independent of the answers, and print the results.

    :param service: name of the service
    :param addresses: IP:PORT of the daemons; used round-robin while ready
    :param rate: searches per second
    :param seconds: duration of the run
    :param timeout_ms: deadline of each search in milliseconds
    :param seed: seed of the arrival times
    :param as_json: print only one JSON object
    """
    if not addresses or rate <= 0 or seconds <= 0 or timeout_ms <= 0:
        raise problem.UserError(["load: give an address, and rate, seconds and timeout above 0"])
    plan = load_module.Plan(addresses, service, rate, seconds, timeout_ms, seed)
    progress = None if as_json else _print_progress
    report = asyncio.run(load_module.Generator(plan).run(progress))
    summary = report.summarize(seconds)
    print(json.dumps(summary) if as_json else json.dumps(summary, indent=1))
    return 0 if report.answered else 1


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr)


if __name__ == "__main__":
    main()
