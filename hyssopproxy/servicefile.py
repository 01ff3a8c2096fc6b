"""Service files: from a TOML table to a checked service."""

import pathlib
import tomllib

import msgspec

from hyssopproxy import address
from hyssopproxy import model
from hyssopproxy import option
from hyssopproxy import problem
from hyssopproxy.policy import registry

MAX_MS = 600_000
FLEET_FILE = "fleet.toml"  # version, vms and failure_domains, beside the service files


def read_dir(folder: pathlib.Path) -> dict[str, dict]:
    """Return the checked tables of all service files in a folder by service name.

    Raises `problem.UserError` with every fault found.
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
            errors.append(f"{file}: name = {service.name!r}: two files name it; rename one")
        tables[service.name] = table
    if errors:
        raise problem.UserError(errors)
    size = len(msgspec.json.encode(tables))
    if size > model.MAX_CONFIG_BYTES:
        limit = model.MAX_CONFIG_BYTES
        raise problem.UserError([f"{folder}: {size} bytes collected: shorten to {limit}"])
    return tables


def read_fleet(folder: pathlib.Path) -> dict:
    """Return the table of the fleet file, empty when there is none."""
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


def parse(table: dict, where: str, errors: list[str]) -> model.Service:
    """Return the service of a table; `errors` gains a line for each fault."""
    top = option.Section(where, table, errors)
    deadline = top.section("deadline")
    wait = top.section("wait")
    budget = top.section("budget")
    limits = top.section("limits")
    policy = top.section("policy")
    actions = top.section("actions")
    targets = _read_targets(top)
    service = model.Service(
        name=top.text("name"),
        targets=targets,
        snapshots=_read_snapshots(top, targets),
        default_ms=deadline.whole("default_ms", 300, 1, MAX_MS),
        max_ms=deadline.whole("max_ms", 5000, 1, MAX_MS),
        wait=wait.choice("policy", "coverage_first", registry.WAITS),
        enough_coverage=wait.number("enough_coverage", 1.0, 0.0, 1.0),
        least_coverage=wait.number("least_coverage", 0.0, 0.0, 1.0),
        hedge=policy.choice("hedge", "quantile", registry.HEDGES),
        replica=policy.choice("replica", "observed", registry.REPLICAS),
        limit=policy.choice("limit", "adaptive", registry.LIMITS),
        hedge_percent=budget.number("hedge_percent", 5.0, 0.0, 100.0),
        retry_percent=budget.number("retry_percent", 10.0, 0.0, 100.0),
        body_bytes=limits.whole("body_bytes", 65536, 1, 1 << 24),
        results=limits.whole("results", 100, 1, 10_000),
        flush_interval_ms=limits.whole("flush_interval_ms", 2, 0, 1000),
        queries_in_flight=limits.whole("queries_in_flight", 1000, 1, 100_000),
        non_idempotent=actions.texts("non_idempotent"),
        cold_start=_read_cold_start(top.section("cold_start")),
    )
    if service.default_ms > service.max_ms:
        deadline.fault("default_ms", service.default_ms, "give at most max_ms")
    for section in (top, deadline, wait, budget, limits, policy, actions):
        section.refuse_unknown()
    return service


def _read_cold_start(section: option.Section) -> model.ColdStart:
    plain = model.ColdStart()
    after = section.wholes("after_ms", list(plain.after_ms), 0, MAX_MS)
    percent = section.wholes("percent", list(plain.percent), 1, 100)
    section.refuse_unknown()
    if len(after) != len(percent) or after[0] != 0 or percent[-1] != 100:
        remedy = "as many steps as percent, after_ms from 0, percent up to 100"
        section.fault("after_ms", list(after), remedy)
        return plain
    return model.ColdStart(after, percent)


def _read_targets(top: option.Section) -> dict[str, model.Target]:
    targets = {}
    owners: dict[str, str] = {}
    for name, section in top.sections("targets").items():
        place = section.text("address")
        parsed = address.parse(place)
        if isinstance(parsed, address.BadAddress):
            section.fault("address", place, parsed.reason)
        if place in owners:
            section.fault("address", place, f"target {owners[place]} has it; one target an address")
        owners[place] = name
        targets[name] = model.Target(
            name=name,
            address=place,
            failure_domain=section.text("failure_domain"),
            leaves=section.whole("leaves", 1, 1, 1000),
            slots=section.whole("slots", 2, 1, 10_000),
            connections=section.whole("connections", 50, 1, 100_000),
            connect_ms=section.whole("connect_ms", 1, 0, 1000),
            leaving=section.flag("leaving", False),
        )
        section.refuse_unknown()
    return targets


def _read_snapshots(top: option.Section, targets: dict) -> tuple[model.Snapshot, ...]:
    snapshots = []
    numbers: set[int] = set()
    for name, section in top.sections("snapshots").items():
        number = section.whole("number", None, 0, 1 << 53)
        if number in numbers:
            section.fault("number", number, "give each snapshot a number of its own")
        numbers.add(number)
        table = section.section("shards")
        shards = {shard: _read_replicas(table, shard, targets) for shard in table.table}
        if not shards:
            section.fault("shards", {}, "list at least one shard")
        section.refuse_unknown()
        snapshots.append(model.Snapshot(name, number, shards))
    return tuple(sorted(snapshots, key=lambda snapshot: -snapshot.number))


def _read_replicas(table: option.Section, shard: str, targets: dict) -> tuple[model.Replica, ...]:
    replicas = []
    names = table.texts(shard)
    if not names:
        table.fault(shard, list(names), 'list replicas as "target/leaf"')
    for name in names:
        target, _, leaf = name.partition("/")
        known = targets.get(target)
        if known is None or not leaf.isdigit() or int(leaf) >= known.leaves:
            table.fault(shard, name, 'give "target/leaf" with a target and leaf of this file')
            continue
        replicas.append(model.Replica(target, int(leaf)))
    return tuple(replicas)
