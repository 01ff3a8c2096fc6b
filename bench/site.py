"""Runs a small deployment: emulators in this process, each daemon in its own process."""

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import sys
import tempfile
import time
import typing

import attrs
import msgspec

from hyssopproxy import address
from hyssopproxy.emulator import faultproxy
from hyssopproxy.emulator import replica as replicas
from hyssopproxy.emulator import store as stores
from hyssopproxy.transport import client
from hyssopproxy.transport import message

START_PATH = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "start.py")
WAIT_S = 30.0  # timeout of waits; long, so that tests do not fail on a busy machine
_HOST_PREFIX = f"127.{64 + os.getpid() // 65536 % 64}.{os.getpid() // 256 % 256}"
_host_numbers = itertools.count(os.getpid() % 200 + 1)


def free_host() -> str:
    """Return a loopback address that nothing else in this test run uses."""
    number = next(_host_numbers)
    return f"{_HOST_PREFIX}.{number % 250 + 1}"


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that no process listens on."""
    with socket.socket(type=kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct TCP ports that no process listens on."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


@attrs.define
class Daemon:
    """A daemon that runs in its own process."""

    host: str
    zone: str
    settings_path: str
    process: asyncio.subprocess.Process | None = None
    pidfd: int | None = None
    log: list[dict] = attrs.field(factory=list)
    environ: dict[str, str] = attrs.field(factory=dict)  # variables of this daemon alone

    def attach(self, process: asyncio.subprocess.Process) -> None:
        """Take a process, with a handle on it: its id may be used again once it has ended."""
        self.close()
        self.process = process
        with contextlib.suppress(ProcessLookupError):
            self.pidfd = os.pidfd_open(process.pid)

    def close(self) -> None:
        """Give up the handle on the process."""
        if self.pidfd is not None:
            os.close(self.pidfd)
        self.pidfd = None

    def signal(self, number: int) -> None:
        """Send a signal; raise ProcessLookupError if the process has ended.

        `Process.send_signal` may take the exit status from the task that waits for it.
        """
        if self.pidfd is None:
            raise ProcessLookupError(self.host)
        signal.pidfd_send_signal(self.pidfd, number)

    def send_if_running(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.signal(number)

    def takes_signals(self) -> bool:
        """Return whether SIGHUP and SIGTERM are handled or deferred by now.

        Until the daemon's first statement has run, both end the process.
        """
        with open(f"/proc/{self.process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        mask = int(fields["SigBlk"], 16) | int(fields["SigCgt"], 16)
        return all(mask & 1 << number - 1 for number in (signal.SIGHUP, signal.SIGTERM))

    async def wait(self) -> int:
        async with asyncio.timeout(WAIT_S):
            return await self.process.wait()


class Site:
    """An emulated store, emulated leaves and daemons."""

    def __init__(self, has_links: bool = False) -> None:
        # Whether connections to the store and the leaves go through links of the fault proxy.
        self.has_links = has_links
        self.store = stores.Store()
        self.store_host = free_host()
        self.store_port = free_port(self.store_host)
        self.store_address = ""
        self.leaves: dict[str, replicas.Replica] = {}
        self.daemons: list[Daemon] = []
        self.version = 1
        self.grace_s = 6.0  # between SIGTERM and SIGKILL, for settings written from now on
        self.drain_ms = 5000  # of leaving leaves, for settings written from now on
        self._ids = itertools.count(1)
        self.last_request_id = b""
        self._directory = tempfile.TemporaryDirectory()
        self._log_readers: list[asyncio.Task] = []
        self.ports: dict[str, int] = {}
        self.links: dict[str, faultproxy.Link] = {}  # by leaf name or "store"
        self.published_addresses: dict[str, str] = {}  # by leaf name
        self._listeners: list[asyncio.Server] = []
        self.routes: dict[int, dict[str, dict]] = {}  # by version and name
        self.tenants: list[dict] | None = None  # of configurations published from now on

    async def add_leaf(self, pool: str, zone: str = "a", **fields: typing.Any):
        name = f"i-{pool}-{len(self.leaves)}"
        records = [f"{name}-{index:02}".encode().ljust(16, b".")[:16] for index in range(3)]
        leaf = replicas.Replica(name, records if pool.startswith("s") else ())
        await leaf.start(free_host())
        self.leaves[name] = leaf
        if self.has_links:
            fields.setdefault("address", await self.add_link(name, leaf.address))
        self.published_addresses[name] = fields.get("address", leaf.address)
        self.store.put(f"servers/{name}", replicas.make_entry(leaf, pool, zone, **fields))
        return leaf

    async def add_link(self, name: str, upstream: str) -> str:
        """Add a link of the fault proxy in front of an address and return the link's address."""
        link = self.links[name] = faultproxy.Link(address.parse(upstream), seed=len(self.links))
        listener = await asyncio.start_server(link.accept, free_host(), 0)
        self._listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def publish(self, *routes: dict, **limits: int) -> None:
        """Publish routes and all pools that they name."""
        self.version += 3
        names = {name for route in routes for name in route.get("gather", [route.get("backend")])}
        for route in routes:
            names.update(pool["backend"] for pool in route.get("trafficSplit", ()))
        backends = [
            {"name": name, "healthPath": "/health", "maxConnections": 40, "warmupPerS": 0.0}
            for name in sorted(filter(None, names))
        ]
        value = {
            "version": self.version,
            "routes": list(routes),
            "backends": backends,
            "limits": {
                "maxHeaderBytes": 4096,
                "maxBodyBytes": 65536,
                "headerTimeoutMs": 1500,
                "idleTimeoutMs": 60000,
                **limits,
            },
        }
        if self.tenants is not None:
            value["tenants"] = self.tenants
        self.routes[self.version] = {route["name"]: route for route in routes}
        self.store.put("op/config", value)

    async def start_store(self) -> None:
        """Start the store, behind a link of the fault proxy if the site has links."""
        await self.store.start(self.store_host, self.store_port)
        self.store_address = f"{self.store_host}:{self.store_port}"
        if self.has_links:
            self.store_address = await self.add_link("store", self.store_address)

    async def add_daemon(self, zone: str = "a") -> Daemon:
        """Start a daemon; all daemons use the same ports, each on its own IP address."""
        host = free_host()
        if not self.ports:
            names = ("front", "ready", "control", "metrics")
            self.ports.update(zip(names, free_ports(host, len(names)), strict=True))
            self.ports["peer"] = free_port(host, socket.SOCK_DGRAM)
        path = os.path.join(self._directory.name, f"{host}.toml")
        daemon = Daemon(host, zone, path)
        self.daemons.append(daemon)
        for site_daemon in self.daemons:
            self.write_settings(site_daemon)
        await self.start_daemon(daemon)
        return daemon

    def write_settings(self, daemon: Daemon, seeds: list[str] | None = None) -> None:
        ports = self.ports
        if seeds is None:
            seeds = [f"{seed.host}:{ports['control']}" for seed in self.daemons[:3]]
        text = (
            f'node = "front-{daemon.host}"\nip = "{daemon.host}"\nzone = "{daemon.zone}"\n'
            f"internalPorts = [{ports['peer']}, {ports['peer'] + 1}]\n"
            f"seeds = {msgspec.json.encode(seeds).decode()}\n"
            f'[listen]\nfront = "{daemon.host}:{ports["front"]}"\n'
            f'readinessAddr = "{daemon.host}:{ports["ready"]}"\n'
            f'control = "{daemon.host}:{ports["control"]}"\n'
            f'[platform]\naddress = "{self.store_address}"\n'
            "[bounds]\nretryRatio = 0.2\nretrySlack = 56\nretryWindowS = 10\n"
            f"graceS = {self.grace_s}\ndrainMs = {self.drain_ms}\n"
            "quotaWindowS = 5\nquotaOverrun = 0.25\nquotaSlack = 20\n"
        )
        # Replaced as a whole, since a daemon that is starting may read the file at any moment.
        new_path = f"{daemon.settings_path}.new"
        with open(new_path, "w") as file:
            file.write(text)
        os.replace(new_path, daemon.settings_path)

    async def start_daemon(self, daemon: Daemon, *arguments: str) -> None:
        """Start a daemon's process, by default as the deploy file says."""
        environ = {
            **os.environ,
            "HYSSOPPROXY_NODE_FILE": daemon.settings_path,
            "HYSSOPPROXY_METRICS_PORT": str(self.ports["metrics"]),
            **daemon.environ,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(arguments or (START_PATH,)),
            env=environ,
            stdout=asyncio.subprocess.PIPE,
            stderr=None,
        )
        daemon.attach(process)
        self._log_readers.append(asyncio.create_task(self._read_log(daemon, daemon.process.stdout)))

    async def _read_log(self, daemon: Daemon, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            daemon.log.append(msgspec.json.decode(line))

    async def wait_ready(self, daemon: Daemon, status: int = 200) -> None:
        async def is_ready() -> bool:
            with contextlib.suppress(OSError):
                return (await self.get_readiness(daemon)).status == status
            return False

        await wait_for(is_ready, f"readiness {status}")

    async def get_readiness(self, daemon: Daemon) -> message.Response:
        return await exchange(daemon.host, self.ports["ready"], b"GET /v1/ready HTTP/1.1\r\n\r\n")

    async def metrics(self, daemon: Daemon) -> dict[str, float]:
        port = self.ports["metrics"]
        reply = await exchange(daemon.host, port, b"GET /metrics HTTP/1.1\r\n\r\n")
        lines = [line.split(" ") for line in reply.body.decode().splitlines() if line[:1] != "#"]
        return {name: float(value) for name, value in lines}

    async def get(
        self, daemon: Daemon, target: str = "/s/x", deadline_ms: int = 1200, **options: typing.Any
    ) -> message.Response:
        """Send one request on a new connection."""
        data = self.make_request(target, deadline_ms, **options)
        return await exchange(daemon.host, self.ports["front"], data)

    def make_request(
        self,
        target: str,
        deadline_ms: int = 1200,
        host: str = "h.example",
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> bytes:
        """Return the bytes of a request with a new request id."""
        fields = {
            "Host": host,
            "Request-Id": self.next_request_id(),
            "Deadline-Ms": str(deadline_ms),
        }
        fields.update(headers or {})
        if body:
            fields["Content-Length"] = str(len(body))
        text = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
        return f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body

    def next_request_id(self) -> str:
        request_id = f"id{next(self._ids):06}"
        self.last_request_id = request_id.encode()
        return request_id

    async def connect(self, daemon: Daemon):
        """Open a connection to a daemon's front address; return its reader and writer."""
        return await asyncio.open_connection(daemon.host, self.ports["front"])

    async def close(self) -> None:
        """Stop everything that this site has started, processes by their ids."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.signal(signal.SIGCONT)
                    daemon.signal(signal.SIGKILL)
                await daemon.process.wait()
            daemon.close()
        for task in self._log_readers:
            task.cancel()
        self.store.stop()
        for listener in self._listeners:
            listener.close()
        for link in self.links.values():
            link.reset()
        for leaf in self.leaves.values():
            leaf.stop()
        self._directory.cleanup()


def search_route(*shards: str, **fields: typing.Any) -> dict:
    """Return the configuration of a route over shards."""
    return {
        "name": "r-search",
        "hostname": "h.example",
        "pathPrefix": "/s/",
        "type": "idempotent",
        "timeoutMs": 1200,
        "targetLatencyMs": 500,
        "priority": 1,
        "gather": list(shards),
        "maxAttempts": 2,
        "topK": 4,
        "minCoverage": 0.5,
        **fields,
    }


def plain_route(pool: str = "p", **fields: typing.Any) -> dict:
    """Return the configuration of a route to one pool."""
    return {
        "name": "r-plain",
        "hostname": "h.example",
        "pathPrefix": "/p/",
        "type": "idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 2,
        "backend": pool,
        "maxAttempts": 2,
        **fields,
    }


async def exchange(host: str, port: int, data: bytes) -> message.Response:
    """Send bytes on a new connection and return the response, or raise ConnectionError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(WAIT_S):
        _, connection = await loop.create_connection(client.Connection, host, port)
        future = loop.create_future()
        connection.send(data, lambda response, failure: future.set_result(response))
        response = await future
    connection.close()
    if response is None:
        raise ConnectionError("the connection closed without a complete response")
    return response


async def read_response(reader: asyncio.StreamReader) -> tuple[message.Response, bool]:
    """Read a response with a Content-Length; return it and whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    status = int(head[0].split(b" ")[1])
    headers = [(key, value) for key, _, value in (line.partition(b": ") for line in head[1:-2])]
    response = message.Response(status, headers)
    response.body = await reader.readexactly(int(response.get_header(b"content-length")))
    return response, response.get_header(b"connection") != b"close"


async def wait_for(condition: typing.Callable, what: str) -> typing.Any:
    """Poll a condition and return its first true value; raise AssertionError if there is none."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.03)
    raise AssertionError(f"timed out after {WAIT_S} s waiting for {what}")


@contextlib.asynccontextmanager
async def running(
    shards: int = 2, leaves_per_pool: int = 2, daemons: int = 1, **fields: typing.Any
):
    """Run a site that serves /s/ over shards and /p/ from one pool."""
    site = Site()
    try:
        await site.start_store()
        shard_names = [f"s{index}" for index in range(shards)]
        for pool in [*shard_names, "p"]:
            for number in range(leaves_per_pool):
                await site.add_leaf(pool, zone="ab"[number % 2])
        site.publish(search_route(*shard_names, **fields), plain_route(**fields))
        for index in range(daemons):
            await site.add_daemon("ab"[index % 2])
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        yield site
    finally:
        await site.close()


def run_scenario(scenario: typing.Callable[[Site], typing.Awaitable], **fields: typing.Any) -> None:
    """Run a scenario against a running site."""

    async def run() -> None:
        async with running(**fields) as site:
            await scenario(site)

    asyncio.run(run())
