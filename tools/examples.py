"""Writes the example service files of both users, at their sizes of today."""

import pathlib
import zlib

import attrs


@attrs.frozen
class Front:
    """One service of a user."""

    name: str
    instances: int
    leaves: int
    slots: int
    connections: int
    connect_ms: int
    shards: int
    actions: tuple[str, ...] = ()


@attrs.frozen
class User:
    """A user with its domains and services."""

    name: str
    domains: tuple[str, ...]
    wait: str
    network: str
    fronts: tuple[Front, ...]


USERS = (
    User(
        "savannah",
        ("pos-1", "pos-2", "pos-3"),
        'policy = "coverage_first"\n',
        "10.1",
        (
            Front("auditor-workspace", 10, 3, 6, 50, 6, 15),
            Front("bank-reply-portal", 15, 3, 6, 50, 6, 22, ("record-reply",)),
            Front("letter-archive", 25, 1, 2, 110, 1, 12, ("send-confirmation",)),
            Front("client-notices", 13, 1, 2, 110, 1, 6, ("send-notice",)),
        ),
    ),
    User(
        "vatukoula",
        ("west-1", "west-2", "west-3"),
        'policy = "latency_first"\nenough_coverage = 0.95\n',
        "10.2",
        (
            Front("dispatch-board", 10, 3, 2, 25, 6, 15, ("dispatch-crew",)),
            Front("crew-tablets", 15, 3, 2, 25, 6, 22, ("close-fault",)),
            Front("callback-line", 5, 1, 3, 40, 1, 2, ("call-back",)),
            Front("billing-hold", 3, 1, 3, 40, 1, 1, ("hold-bill",)),
        ),
    ),
)
ENTRY_VMS = 8


def write_front(user: User, number: int, front: Front) -> str:
    """Return one service file."""
    actions = ", ".join(f'"{action}"' for action in front.actions)
    lines = [f'name = "{front.name}"', "", "[deadline]", "default_ms = 300", "max_ms = 2000", ""]
    lines += ["[wait]", user.wait]
    lines += ["[actions]", f"non_idempotent = [{actions}]", ""]
    for instance in range(front.instances):
        lines += [
            f"[targets.t{instance}]",
            f'address = "{user.network}.{number}.{instance + 1}:8080"',
            f'failure_domain = "{user.domains[instance % len(user.domains)]}"',
            f"leaves = {front.leaves}",
            f"slots = {front.slots}",
            f"connections = {front.connections}",
            f"connect_ms = {front.connect_ms}",
            "",
        ]
    lines += ['[snapshots."2026-12-04"]', "number = 1", '[snapshots."2026-12-04".shards]']
    for shard in range(front.shards):
        name = f"s{shard:02d}"
        leaf = zlib.crc32(name.encode()) % front.leaves
        copies = min(3 if front.instances > 4 else 2, front.instances)
        replicas = [f'"t{(shard + copy) % front.instances}/{leaf}"' for copy in range(copies)]
        lines.append(f"{name} = [{', '.join(replicas)}]")
    return "\n".join(lines) + "\n"


def write_fleet(user: User) -> str:
    """Return the fleet file."""
    lines = ["version = 1", ""]
    for domain in user.domains:
        lines += [f"[failure_domains.{domain}]", 'state = "in"', ""]
    for number in range(ENTRY_VMS):
        lines += [
            f"[vms.entry-{number}]",
            f'address = "{user.network}.0.{number + 1}:8080"',
            f'peer_address = "{user.network}.0.{number + 1}:8081"',
            f'failure_domain = "{user.domains[number % len(user.domains)]}"',
            "",
        ]
    return "\n".join(lines)


def main() -> None:
    """Write all files."""
    for user in USERS:
        folder = pathlib.Path("examples") / user.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "fleet.toml").write_text(write_fleet(user))
        for number, front in enumerate(user.fronts, 1):
            (folder / f"{front.name}.toml").write_text(write_front(user, number, front))


if __name__ == "__main__":
    main()
