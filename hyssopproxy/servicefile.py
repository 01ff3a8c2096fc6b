"""Reads service files: TOML tables that are validated and converted into services."""

import pathlib
import tomllib

import msgspec

from hyssopproxy import address
from hyssopproxy import model
from hyssopproxy import option
from hyssopproxy import problem
from hyssopproxy.policy import registry

MAX_MS = 600_000
FLEET_FILE = "fleet.toml"  # version, vms and failure_domains; in the folder of the service files


def read_dir(folder: pathlib.Path) -> dict[str, dict]:
    """Return the validated tables of all service files in a folder, by service name.

    Raises `problem.UserError` with all errors found.
    """
    files = sorted(folder.glob("*.toml")) if folder.is_dir() else []
    files = [file for file in files if file.name != FLEET_FILE]
    if not files:
        raise problem.UserError([f"{folder}: no *.toml here: name a folder of service files"])
    errors: list[str] = []
    tables: dict[str, dict] = {}
    for file in files:
        table = _load(file, errors)
        service = parse(table, str(file), errors)
        if service.name in tables:
            errors.append(f"{file}: name = {service.name!r}: two files have this name; rename one")
        tables[service.name] = table
    if errors:
        raise problem.UserError(errors)
    size = len(msgspec.json.encode(tables))
    if size > model.MAX_CONFIG_BYTES:
        limit = model.MAX_CONFIG_BYTES
        raise problem.UserError([f"{folder}: {size} bytes in total: shorten to {limit}"])
    return tables


def read_fleet(folder: pathlib.Path) -> dict:
    """Return the table of the fleet file; empty if the file is absent."""
    file = folder / FLEET_FILE
    if not file.exists():
        return {}
    errors: list[str] = []
    table = _load(file, errors)
    if errors:
        raise problem.UserError(errors)
    return table


def _load(file: pathlib.Path, errors: list[str]) -> dict:
    try:
        return tomllib.loads(file.read_text())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, OSError) as error:
        errors.append(f"{file}: {error}: write valid TOML")
        return {"name": file.stem}


def parse(table: dict, location: str, errors: list[str]) -> model.Service:
    """Return the service described by a table; add a line to `errors` for each error."""
    top = option.Section(location, table, errors)
    deadline = top.section("deadline")
    wait = top.section("wait")
    budget = top.section("budget")
    limits = top.section("limits")
    policy = top.section("policy")
    actions = top.section("actions")
    targets = _read_targets(top)
    service = model.Service(
        name=top.string("name"),
        targets=targets,
        snapshots=_read_snapshots(top, targets),
        default_ms=deadline.integer("default_ms", 300, 1, MAX_MS),
        max_ms=deadline.integer("max_ms", 5000, 1, MAX_MS),
        wait=wait.choice("policy", "coverage_first", registry.WAITS),
        enough_coverage=wait.number("enough_coverage", 1.0, 0.0, 1.0),
        least_coverage=wait.number("least_coverage", 0.0, 0.0, 1.0),
        hedge=policy.choice("hedge", "quantile", registry.HEDGES),
        replica=policy.choice("replica", "observed", registry.REPLICAS),
        limit=policy.choice("limit", "adaptive", registry.LIMITS),
        hedge_percent=budget.number("hedge_percent", 5.0, 0.0, 100.0),
        retry_percent=budget.number("retry_percent", 10.0, 0.0, 100.0),
        body_bytes=limits.integer("body_bytes", 65536, 1, 1 << 24),
        results=limits.integer("results", 100, 1, 10_000),
        flush_interval_ms=limits.integer("flush_interval_ms", 2, 0, 1000),
        queries_in_flight=limits.integer("queries_in_flight", 1000, 1, 100_000),
        non_idempotent=actions.strings("non_idempotent"),
        cold_start=_read_cold_start(top.section("cold_start")),
    )
    if service.default_ms > service.max_ms:
        deadline.add_error("default_ms", service.default_ms, "give at most max_ms")
    for section in (top, deadline, wait, budget, limits, policy, actions):
        section.reject_unknown_keys()
    return service


def _read_cold_start(section: option.Section) -> model.ColdStart:
    defaults = model.ColdStart()
    after = section.integers("after_ms", list(defaults.after_ms), 0, MAX_MS)
    percent = section.integers("percent", list(defaults.percent), 1, 100)
    section.reject_unknown_keys()
    if len(after) != len(percent) or after[0] != 0 or percent[-1] != 100:
        remedy = "give as many steps as percent, after_ms from 0, percent up to 100"
        section.add_error("after_ms", list(after), remedy)
        return defaults
    return model.ColdStart(after, percent)


def _read_targets(top: option.Section) -> dict[str, model.Target]:
    targets = {}
    owners: dict[str, str] = {}
    for name, section in top.sections("targets").items():
        target_address = section.string("address")
        parsed = address.parse(target_address)
        if isinstance(parsed, address.BadAddress):
            section.add_error("address", target_address, parsed.reason)
        if target_address in owners:
            section.add_error(
                "address",
                target_address,
                f"target {owners[target_address]} has this address; give each target its own",
            )
        owners[target_address] = name
        targets[name] = model.Target(
            name=name,
            address=target_address,
            failure_domain=section.string("failure_domain"),
            leaves=section.integer("leaves", 1, 1, 1000),
            slots=section.integer("slots", 2, 1, 10_000),
            connections=section.integer("connections", 50, 1, 100_000),
            connect_ms=section.integer("connect_ms", 1, 0, 1000),
            leaving=section.boolean("leaving", False),
        )
        section.reject_unknown_keys()
    return targets


def _read_snapshots(top: option.Section, targets: dict) -> tuple[model.Snapshot, ...]:
    snapshots = []
    numbers: set[int] = set()
    for name, section in top.sections("snapshots").items():
        number = section.integer("number", None, 0, 1 << 53)
        if number in numbers:
            section.add_error("number", number, "give each snapshot its own number")
        numbers.add(number)
        table = section.section("shards")
        shards = {shard: _read_replicas(table, shard, targets) for shard in table.table}
        if not shards:
            section.add_error("shards", {}, "list at least one shard")
        section.reject_unknown_keys()
        snapshots.append(model.Snapshot(name, number, shards))
    return tuple(sorted(snapshots, key=lambda snapshot: -snapshot.number))


def _read_replicas(table: option.Section, shard: str, targets: dict) -> tuple[model.Replica, ...]:
    replicas = []
    names = table.strings(shard)
    if not names:
        table.add_error(shard, list(names), 'list replicas as "target/leaf"')
    for name in names:
        target_name, _, leaf = name.partition("/")
        target = targets.get(target_name)
        if target is None or not leaf.isdigit() or int(leaf) >= target.leaves:
            table.add_error(shard, name, 'give "target/leaf" with a target and leaf of this file')
            continue
        replicas.append(model.Replica(target_name, int(leaf)))
    return tuple(replicas)
