"""Writes the example fleet and service files of both users, at their current sizes."""

import pathlib
import zlib

import attrs


@attrs.frozen
class Service:
    """Service of a user."""

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
    """User with its failure domains and services."""

    name: str
    domains: tuple[str, ...]
    wait: str  # lines of the [wait] table
    network: str  # first two numbers of the IP addresses
    services: tuple[Service, ...]


USERS = (
    User(
        "savannah",
        ("pos-1", "pos-2", "pos-3"),
        'policy = "coverage_first"\n',
        "10.1",
        (
            Service("auditor-workspace", 10, 3, 6, 50, 6, 15),
            Service("bank-reply-portal", 15, 3, 6, 50, 6, 22, ("record-reply",)),
            Service("letter-archive", 25, 1, 2, 110, 1, 12, ("send-confirmation",)),
            Service("client-notices", 13, 1, 2, 110, 1, 6, ("send-notice",)),
        ),
    ),
    User(
        "vatukoula",
        ("west-1", "west-2", "west-3"),
        'policy = "latency_first"\nenough_coverage = 0.95\n',
        "10.2",
        (
            Service("dispatch-board", 10, 3, 2, 25, 6, 15, ("dispatch-crew",)),
            Service("crew-tablets", 15, 3, 2, 25, 6, 22, ("close-fault",)),
            Service("callback-line", 5, 1, 3, 40, 1, 2, ("call-back",)),
            Service("billing-hold", 3, 1, 3, 40, 1, 1, ("hold-bill",)),
        ),
    ),
)
ENTRY_VMS = 8


def render_service(user: User, number: int, service: Service) -> str:
    """Return the text of a service file."""
    actions = ", ".join(f'"{action}"' for action in service.actions)
    lines = [f'name = "{service.name}"', "", "[deadline]", "default_ms = 300", "max_ms = 2000", ""]
    lines += ["[wait]", user.wait]
    lines += ["[actions]", f"non_idempotent = [{actions}]", ""]
    for instance in range(service.instances):
        lines += [
            f"[targets.t{instance}]",
            f'address = "{user.network}.{number}.{instance + 1}:8080"',
            f'failure_domain = "{user.domains[instance % len(user.domains)]}"',
            f"leaves = {service.leaves}",
            f"slots = {service.slots}",
            f"connections = {service.connections}",
            f"connect_ms = {service.connect_ms}",
            "",
        ]
    lines += ['[snapshots."2026-12-04"]', "number = 1", '[snapshots."2026-12-04".shards]']
    for shard in range(service.shards):
        name = f"s{shard:02d}"
        leaf = zlib.crc32(name.encode()) % service.leaves
        copies = min(3 if service.instances > 4 else 2, service.instances)
        replicas = [f'"t{(shard + copy) % service.instances}/{leaf}"' for copy in range(copies)]
        lines.append(f"{name} = [{', '.join(replicas)}]")
    return "\n".join(lines) + "\n"


def render_fleet(user: User) -> str:
    """Return the text of the fleet file."""
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
    """Write all example files."""
    for user in USERS:
        folder = pathlib.Path("examples") / user.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "fleet.toml").write_text(render_fleet(user))
        for number, service in enumerate(user.services, 1):
            (folder / f"{service.name}.toml").write_text(render_service(user, number, service))


if __name__ == "__main__":
    main()
