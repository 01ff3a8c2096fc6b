"""A small deployment on loopback addresses: the daemons are processes, all else are stand-ins."""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import tempfile
import time
import typing

from review.standins3 import http
from review.standins3 import leaf as leaves
from review.standins3 import store as stores

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# As in deploy/system.toml.
DAEMON_COMMAND = ("python3", "-S", "start.py")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit statuses of a script
START_TIMEOUT_S = 25.0
MAX_FDS = 4100
CROWD_PROCESSES = 2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "warmupFactor": 1.5,
    "warmupSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 12,
}


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Record:
    """Writes what happened, with seconds since the start, to record.txt beside the script."""

    def __init__(self, script: str) -> None:
        self._file = open(pathlib.Path(script).resolve().parent / "record.txt", "w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f}  {text}\n")

    def conclude(self, text: str) -> None:
        """Write a line and show it."""
        self.write(text)
        self._file.flush()
        print(text, flush=True)


class Daemon:
    """A daemon in a process of its own."""

    def __init__(self, name: str, host: str, zone: str, settings_path: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.settings_path = settings_path
        self.process: asyncio.subprocess.Process | None = None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class Answer(typing.NamedTuple):
    """What became of a client's request."""

    daemon: str
    request_id: str
    path: str
    sent_at: float  # monotonic clock
    answered_at: float
    status: int  # 0 if the connection ended or the time passed without an answer
    stamp: str
    text: str


class Deployment:
    """Store, leaves, operator, clients and daemons."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = stores.Store()
        self.leaves: list[leaves.Leaf] = []
        self.daemons: list[Daemon] = []
        self.answers: list[Answer] = []
        self.operator_writes: list[tuple[str, typing.Any]] = []
        self._numbers = itertools.count(1)
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        network = random.SystemRandom()
        self._prefix = f"127.{network.randint(130, 250)}.{network.randint(1, 250)}"
        self._hosts = itertools.count(1)
        self._ports = self._choose_ports()
        self._logs: list[typing.IO] = []
        self._crowds: list[asyncio.subprocess.Process] = []

    def new_host(self) -> str:
        """Return a loopback address that this deployment does not use yet."""
        return f"{self._prefix}.{next(self._hosts)}"

    def _choose_ports(self) -> dict[str, int]:
        names = ("front", "ready", "control", "metrics", "peer")
        with contextlib.ExitStack() as stack:
            probes = [stack.enter_context(socket.socket()) for _ in names]
            for probe in probes:
                probe.bind((f"{self._prefix}.254", 0))
            return {name: probe.getsockname()[1] for name, probe in zip(names, probes, strict=True)}

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(self.new_host())

    async def add_leaf(
        self,
        leaf_id: str,
        backend: str,
        zone: str,
        work_s: float = 0.01,
        slots: int = 8,
        cold_s: float = 0.0,
    ) -> leaves.Leaf:
        """Start a leaf, which is cold for a time."""
        self.record.write(f"leaf {leaf_id} of {backend} starts in {zone}")
        leaf = leaves.Leaf(self.store, leaf_id, backend, zone, work_s, slots, self.record.write)
        leaf.cold_until = time.monotonic() + cold_s
        await leaf.start(self.new_host())
        self.leaves.append(leaf)
        return leaf

    def write_as_operator(self, key: str, value: typing.Any) -> None:
        """Write an item for the operator; the store's return is the acknowledgement."""
        self.operator_writes.append((key, value))
        revision = self.store.put(key, value)
        text = f"version {value['version']}" if key == "op/config" else "written"
        self.record.write(f"operator: {key} {text}, acknowledged at revision {revision}")

    async def start_daemons(self, zones: typing.Sequence[str]) -> None:
        """Start one daemon for each zone named and wait until all are ready."""
        for index, zone in enumerate(zones):
            name = f"front-{zone}-{index + 1}"
            path = self._directory / f"{name}.toml"
            self.daemons.append(Daemon(name, self.new_host(), zone, path))
        for daemon in self.daemons:
            self._write_settings(daemon)
            await self.start_process(daemon)
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        self.record.write(f"{len(self.daemons)} daemons are ready")

    def _write_settings(self, daemon: Daemon) -> None:
        ports = self._ports
        zones = sorted({each.zone for each in self.daemons})
        seeds = [f"{seed.host}:{ports['control']}" for seed in self.daemons[:3]]
        lines = [
            f'node = "{daemon.name}"',
            'role = "hyssopproxy"',
            'machineClass = "front"',
            'serves = ["front", "control_plane"]',
            f'ip = "{daemon.host}"',
            f'zone = "{daemon.zone}"',
            'region = "r"',
            f"internalPorts = [{ports['peer']}, {ports['peer'] + 1}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            'discovery = "platform"',
            "heartbeatMs = 1200",
            "[zones]",
            *(f'{zone} = "r"' for zone in zones),
            "[listen]",
            f'front = "{daemon.host}:{ports["front"]}"',
            f'readinessAddr = "{daemon.host}:{ports["ready"]}"',
            f'control = "{daemon.host}:{ports["control"]}"',
            "[limits]",
            "memoryMb = 300",
            f"maxFds = {MAX_FDS}",
            "linkMbps = 1000.0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[platform]",
            f'address = "{self.store.address}"',
            'form = "read"',
            "readsPerS = 2000",
            "historyS = 20",
        ]
        daemon.settings_path.write_text("\n".join(lines) + "\n")

    async def start_process(self, daemon: Daemon) -> None:
        """Start the daemon's process as the deploy file says."""
        passed = ("PATH", "HOME", "LANG")
        environ = {name: os.environ[name] for name in passed if name in os.environ}
        environ["HYSSOPPROXY_NODE_FILE"] = str(daemon.settings_path)
        environ["HYSSOPPROXY_METRICS_PORT"] = str(self._ports["metrics"])
        log = open(self._directory / f"{daemon.name}.log", "ab")
        self._logs.append(log)
        daemon.process = await asyncio.create_subprocess_exec(
            *DAEMON_COMMAND,
            cwd=REPOSITORY,
            env=environ,
            stdout=log,
            stderr=log,
            preexec_fn=_limit_descriptors,
        )

    async def is_ready(self, daemon: Daemon) -> bool:
        """Return whether a daemon answers within a second that it is ready."""
        data = http.encode_request("GET", "/v1/ready", {"Host": "ready"})
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            response = await http.exchange(daemon.host, self._ports["ready"], data, 1.0)
            return response.status == 200
        return False

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon is ready; raise TimeoutError if it is not in time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self.is_ready(daemon):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{daemon.name} is not ready after {START_TIMEOUT_S} s")

    async def request(
        self, daemon: Daemon, path: str, method: str = "GET", deadline_ms: int = 3000
    ) -> Answer:
        """Send a client's request on a new connection and record the answer."""
        request_id = self.next_request_id()
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        body = b"dispatch" if method == "POST" else b""
        data = http.encode_request(method, path, headers, body)
        sent_at = time.monotonic()
        self.record.write(f"request {request_id} {method} {path} to {daemon.name}")
        status, stamp, text = 0, "", ""
        try:
            response = await http.exchange(
                daemon.host, self._ports["front"], data, deadline_ms / 1000
            )
            status, text = response.status, response.body.decode("latin-1")
            stamp = response.headers.get("server-stamp", "")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            text = type(error).__name__
        answer = Answer(
            daemon.name, request_id, path, sent_at, time.monotonic(), status, stamp, text
        )
        self.answers.append(answer)
        self.record.write(f"answer  {request_id} {status} {text}")
        return answer

    async def send_steadily(
        self, path: str, per_s: float, seconds: float, method: str = "GET"
    ) -> None:
        """Send requests to each daemon at a rate, evenly spaced, and wait for the answers."""
        pending = set()
        interval_s = 1.0 / (per_s * len(self.daemons))
        next_at = time.monotonic()
        end = next_at + seconds
        for daemon in itertools.cycle(self.daemons):
            if next_at >= end:
                break
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            task = asyncio.create_task(self.request(daemon, path, method))
            pending.add(task)
            task.add_done_callback(pending.discard)
            next_at += interval_s
        if pending:
            await asyncio.wait(pending)

    async def lose_recent_writes(self, older: stores.Copy, away_s: float) -> None:
        """Let the store be away for a moment and come back from an older copy.

        The operator then writes again what is missing, and the leaves do with their heartbeats.
        """
        self.record.write(f"store: away, at revision {self.store.revision}")
        self.store.go_away()
        await asyncio.sleep(away_s)
        await self.store.come_back(older)
        era = self.store.era
        self.record.write(f"store: back from a copy at revision {older.revision}, era {era}")

    def write_again(self, first: int) -> None:
        """Write the operator's writes again, from the one with this index on."""
        for key, value in self.operator_writes[first:]:
            revision = self.store.put(key, value)
            self.record.write(f"operator: {key} written again at revision {revision}")

    async def start_crowd(self, daemon: Daemon, count: int) -> None:
        """Start clients that nobody controls, in processes of their own."""
        for _ in range(CROWD_PROCESSES):
            arguments = (daemon.host, str(self._ports["front"]), str(count // CROWD_PROCESSES))
            process = await asyncio.create_subprocess_exec(
                "python3", "-m", "review.standins3.crowd", *arguments, cwd=REPOSITORY
            )
            self._crowds.append(process)
        self.record.write(f"a crowd of {count} connections comes to {daemon.name}")

    async def open_client(self, daemon: Daemon) -> "Client":
        """Return a client with an open connection to a daemon."""
        return Client(self, daemon, *await self.connect(daemon))

    async def connect(self, daemon: Daemon) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a daemon."""
        return await asyncio.open_connection(daemon.host, self._ports["front"])

    def next_request_id(self) -> str:
        """Return an id that no request has had."""
        return f"{next(self._numbers):016x}"

    def status_counts(self, answers: typing.Iterable[Answer]) -> dict[int, int]:
        """Return how many answers have each status."""
        return dict(collections.Counter(answer.status for answer in answers))

    async def close(self) -> None:
        """End everything that this deployment has started."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for crowd in self._crowds:
            if crowd.returncode is None:
                crowd.kill()
            await crowd.wait()
        for leaf in self.leaves:
            leaf.stop()
        self.store.stop()
        for log in self._logs:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self._directory, ignore_errors=True)


class Client:
    """A client that keeps its connection for further requests."""

    def __init__(
        self,
        deployment: Deployment,
        daemon: Daemon,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.deployment = deployment
        self.daemon = daemon
        self._reader = reader
        self._writer = writer

    async def request(
        self, path: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 5000
    ) -> Answer:
        """Send a request on the connection and record the answer, or that there is none."""
        deployment = self.deployment
        request_id = deployment.next_request_id()
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        sent_at = time.monotonic()
        size = f" with {len(body)} bytes" if body else ""
        deployment.record.write(f"request {request_id} {method} {path}{size} to {self.daemon.name}")
        status, stamp, text = 0, "", ""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                self._writer.write(http.encode_request(method, path, headers, body))
                await self._writer.drain()
                response = await http.read_response(self._reader)
            status, text = response.status, response.body.decode("latin-1")
            stamp = response.headers.get("server-stamp", "")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            text = type(error).__name__
        answer = Answer(
            self.daemon.name, request_id, path, sent_at, time.monotonic(), status, stamp, text
        )
        deployment.answers.append(answer)
        deployment.record.write(f"answer  {request_id} {status} {text}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def make_config(
    version: int, routes: typing.Sequence[dict], backends: typing.Sequence[dict]
) -> dict:
    """Return a configuration as the operator writes it."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": list(routes),
        "backends": list(backends),
        "limits": limits,
    }


def make_backend(name: str, warmup_per_s: float = 0.0) -> dict:
    """Return a service of a configuration."""
    return {
        "name": name,
        "healthPath": leaves.HEALTH_PATH,
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
        "warmupS": 10.0,
        "warmupPerS": warmup_per_s,
    }


def make_route(name: str, prefix: str, backend: str, kind: str = "idempotent") -> dict:
    """Return a route of a configuration to one service."""
    return {
        "name": name,
        "hostname": "desk.example",
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 800,
        "priority": 2,
        "backend": backend,
        "maxAttempts": 2,
    }


def run_script(
    script: str, play: typing.Callable[[Deployment, bool], typing.Awaitable[bool]]
) -> int:
    """Play a case; return the exit status. `play` returns whether the rule held.

    Its second argument says whether the disruption takes place.
    """
    record = Record(script)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110.0):
                return await play(deployment, has_trouble)
        finally:
            await deployment.close()

    try:
        has_held = asyncio.run(run())
    except Exception as error:
        record.conclude(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.conclude("the rule held" if has_held else "the rule was broken")
    return HELD if has_held else BROKEN
