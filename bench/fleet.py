"""Runs a fleet of real processes: emulated platform and targets, fault proxy and daemons."""

import contextlib
import typing

import attrs

from bench import process
from hyssopproxy.emulator import backend

SERVICE = "letters"


@attrs.define
class TargetSpec:
    """Parameters of an emulated target."""

    name: str
    domain: str
    leaves: int = 1
    slots: int = 8
    service_ms: float = 4.0
    connections: int = 50
    connect_ms: float = 0.0
    cold: bool = False
    address: str = attrs.field(factory=process.free_address)
    link_address: str = ""  # address published to the daemons if a fault proxy is in between


@attrs.define
class VMSpec:
    """Parameters of a daemon."""

    name: str
    domain: str
    listen: str = attrs.field(factory=process.free_address)
    admin: str = attrs.field(factory=process.free_address)
    peer: str = attrs.field(factory=process.free_address)
    peer_link_address: str = ""  # peer address to publish if a fault proxy is in between
    platform: str = ""  # address of the platform if a fault proxy is in between
    flags: tuple[str, ...] = ()
    state: str = "live"  # published state


@attrs.define
class Layout:
    """Failure domains, targets, VMs and service parameters of a fleet."""

    domains: tuple[str, ...] = ("d1", "d2", "d3")
    shards: int = 6
    replicas: int = 2
    targets: list[TargetSpec] = attrs.field(factory=list)
    vms: list[VMSpec] = attrs.field(factory=list)
    service: dict = attrs.field(factory=dict)  # additional tables of the service file
    action_window_s: float = 6.0
    stop_grace_s: float = 1.0
    snapshot: str = "s1"
    uses_fault_proxy: bool = False  # daemons reach targets through the fault proxy


def make_layout(
    targets: int = 3, vms: int = 2, target: dict | None = None, **fields: typing.Any
) -> Layout:
    """Return a layout whose targets and VMs are spread over the failure domains."""
    layout = Layout(**fields)
    domains = layout.domains
    for number in range(targets):
        domain = domains[number % len(domains)]
        layout.targets.append(TargetSpec(f"t{number}", domain, **(target or {})))
    for number in range(vms):
        layout.vms.append(VMSpec(f"vm{number}", domains[number % len(domains)]))
    return layout


def make_shards(layout: Layout) -> dict[str, list[str]]:
    """Return the shard map, with the replicas of a shard on consecutive targets."""
    shards = {}
    for number in range(layout.shards):
        shard = f"s{number:03d}"
        replicas = []
        for offset in range(layout.replicas):
            target = layout.targets[(number + offset) % len(layout.targets)]
            replicas.append(f"{target.name}/{backend.leaf_index(shard, target.leaves)}")
        shards[shard] = replicas
    return shards


def make_configuration(layout: Layout, version: int = 1, domains_out: tuple[str, ...] = ()) -> dict:
    """Return the configuration value that the platform publishes for a layout."""
    targets = {
        target.name: {
            "address": target.link_address or target.address,
            "failure_domain": target.domain,
            "leaves": target.leaves,
            "slots": target.slots,
            "connections": target.connections,
        }
        for target in layout.targets
    }
    snapshot = {"number": 1, "shards": make_shards(layout)}
    service = {
        "name": SERVICE,
        "targets": targets,
        "snapshots": {layout.snapshot: snapshot},
        "actions": {"non_idempotent": ["send"]},
        **layout.service,
    }
    vms = {
        vm.name: {
            "address": vm.listen,
            "peer_address": vm.peer_link_address or vm.peer,
            "failure_domain": vm.domain,
            "state": vm.state,
        }
        for vm in layout.vms
    }
    domains = {name: {"state": "out" if name in domains_out else "in"} for name in layout.domains}
    return {
        "version": version,
        "services": {SERVICE: service},
        "vms": vms,
        "failure_domains": domains,
    }


class Fleet:
    """The running processes of a layout."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.platform_address = process.free_address()
        self.proxy_address = process.free_address()
        self.targets: dict[str, process.Process] = {}
        self.daemons: dict[str, process.Process] = {}
        self._emulators: list[process.Process] = []  # platform and fault proxy
        self.configuration: dict = {}

    def start(self) -> None:
        """Start all processes and wait until every daemon is ready."""
        self._emulators.append(
            process.Process.start(
                "hyssopproxy.emulator.platform", "--listen", self.platform_address
            )
        )
        self._emulators.append(
            process.Process.start(
                "hyssopproxy.emulator.faultproxy", "--control", self.proxy_address
            )
        )
        for target in self.layout.targets:
            self.start_target(target)
        for target in self.layout.targets:
            process.wait_for(lambda t=target: self.target_report(t.name), "a target to start")
        process.wait_for(lambda: self.call_platform(), "the platform to start")
        if self.layout.uses_fault_proxy:
            for target in self.layout.targets:
                target.link_address = self.add_link(target.name, target.address)
        self.publish(make_configuration(self.layout))
        for vm in self.layout.vms:
            self.start_daemon(vm)
        for vm in self.layout.vms:
            self.wait_ready(vm)

    def start_target(self, target: TargetSpec) -> None:
        """Start one target."""
        flags = [
            *("--listen", target.address),
            *("--leaf-count", str(target.leaves)),
            *("--slots", str(target.slots)),
            *("--service-ms", str(target.service_ms)),
            *("--connect-ms", str(target.connect_ms)),
            *("--connections", str(target.connections * target.leaves)),
            *("--seed", str(len(self.targets) + 1)),
        ]
        if target.cold:
            flags.append("--cold")
        target_process = process.Process.start("hyssopproxy.emulator.backend", *flags)
        self.targets[target.name] = target_process

    def start_daemon(self, vm: VMSpec) -> None:
        """Start one daemon."""
        self.daemons[vm.name] = process.Process.start(
            "hyssopproxy",
            *("--vm", vm.name),
            *("--failure-domain", vm.domain),
            *("--listen", vm.listen),
            *("--admin", vm.admin),
            *("--peer", vm.peer),
            *("--platform", vm.platform or self.platform_address),
            *("--action-window-s", str(self.layout.action_window_s)),
            *("--stop-grace-s", str(self.layout.stop_grace_s)),
            *("--seed", "7"),
            *vm.flags,
        )

    def wait_ready(self, vm: VMSpec) -> None:
        """Wait until a daemon reports that it is ready."""
        url = f"http://{vm.listen}/readyz"
        popen = self.daemons[vm.name].popen
        process.wait_for(
            lambda: popen.poll() is not None or process.send_request(url)[0] == 200,
            f"{vm.name} to be ready",
        )
        if popen.poll() is not None:
            raise RuntimeError(f"{vm.name} exited with status {popen.poll()}")

    def wait_settled(self) -> None:
        """Wait until every daemon has received answers from all others and can run actions."""
        for vm in self.layout.vms:
            process.wait_for(lambda vm=vm: self._is_settled(vm), f"{vm.name} to settle")

    def _is_settled(self, vm: VMSpec) -> bool:
        state = self.state(vm)
        responding_peers = [peer for peer in state["peers"] if peer["heard_s"] is not None]
        is_past_window = state["age_s"] > self.layout.action_window_s
        return is_past_window and len(responding_peers) >= len(self.layout.vms) - 1

    def publish(self, configuration: dict) -> None:
        """Publish a configuration value on the platform."""
        self.configuration = configuration
        self.call_platform({"value": configuration})

    def republish(self, domains_out: tuple[str, ...] = ()) -> int:
        """Publish the layout again under the next version and return that version."""
        version = self.configuration["version"] + 1
        self.publish(make_configuration(self.layout, version, domains_out))
        return version

    def call_platform(self, command: dict | None = None) -> dict:
        """Send a command to the emulated platform, or read its report if there is no command."""
        return process.send_request(f"http://{self.platform_address}/control", command)[1]

    def set_behaviour(self, target: str, **behaviour: typing.Any) -> None:
        """Change the behaviour of an emulated target."""
        process.send_request(f"http://{self._address(target)}/control", behaviour)

    def target_report(self, target: str) -> dict:
        """Return the report of a target, with its ledger and the state of its cold start."""
        return process.send_request(f"http://{self._address(target)}/control")[1]

    def target_reports(self) -> list[dict]:
        """Return the reports of all targets."""
        return [self.target_report(target.name) for target in self.layout.targets]

    def _address(self, name: str) -> str:
        return next(target.address for target in self.layout.targets if target.name == name)

    def add_link(self, name: str, upstream: str) -> str:
        """Add a link of the fault proxy in front of an address and return the link's address."""
        listen = process.free_address()
        command = {"listen": listen, "upstream": upstream}
        url = f"http://{self.proxy_address}/links/{name}"
        process.wait_for(lambda: process.send_request(url, command)[0] == 200, f"link {name}")
        return listen

    def set_faults(self, link: str, **faults: typing.Any) -> None:
        """Change the faults of a link."""
        process.send_request(f"http://{self.proxy_address}/links/{link}", faults)

    def state(self, vm: VMSpec) -> dict:
        """Return the state dump of a daemon."""
        return process.send_request(f"http://{vm.admin}/state")[1]

    def states(self) -> list[dict]:
        """Return the state dumps of all daemons."""
        return [self.state(vm) for vm in self.layout.vms]

    def search(self, vm: VMSpec, timeout_ms: int = 1000, **body: typing.Any):
        """Send a search and return status, body and headers of the response."""
        url = f"http://{vm.listen}/v1/services/{SERVICE}/search"
        headers = {"Request-Timeout-Ms": str(timeout_ms)}
        return process.send_request(url, {"query": "q", **body}, headers)

    def send_action(self, vm: VMSpec, key: str, timeout_ms: int = 2000, **body: typing.Any):
        """Send an action and return status, body and headers of the response."""
        url = f"http://{vm.listen}/v1/services/{SERVICE}/actions"
        headers = {"Idempotency-Key": key, "Request-Timeout-Ms": str(timeout_ms)}
        return process.send_request(url, {"action": "send", **body}, headers)

    def close(self) -> None:
        """Kill every process that this fleet started."""
        for child in [*self.daemons.values(), *self.targets.values(), *self._emulators]:
            child.kill()


@contextlib.contextmanager
def running(layout: Layout) -> typing.Iterator[Fleet]:
    """Run a fleet for the duration of a `with` block."""
    fleet = Fleet(layout)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()
