"""Small stand-ins for the platform, its leafs and its clients, for the scripts of this review.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2  # heartbeatMs of the settings
MAX_WATCH_S = 30.0
PAGE_ITEMS = 50
START_TIMEOUT_S = 30.0
_PREFIX = f"127.{65 + os.getpid() // 250 % 60}.{os.getpid() % 250}"
_hosts = itertools.count(1)


def free_host():
    """Return a loopback address for one program of this run."""
    return f"{_PREFIX}.{next(_hosts) % 250 + 1}"


def free_ports(count):
    """Return ports that no program uses, the same for all daemons, below the ephemeral ones."""
    ports = []
    for port in range(20000 + os.getpid() % 8000, 32000):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


class Record:
    """Writes what was sent, answered and run to a file, with the time since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder, "record.txt"), "w", buffering=1)  # noqa: SIM115
        self._start = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")


class Message:
    """A request or response that was read."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Read a message with a Content-Length; return None if the connection ends before it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in head[1:] if line]
        headers = {key.lower(): value.strip() for key, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(head[0], headers, body)


def encode_response(status, headers, body=b""):
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    head = f"HTTP/1.1 {status} -\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class Server:
    """An HTTP server whose subclasses implement `handle`."""

    def __init__(self):
        self.host = free_host()
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                response = await self.handle(request)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store: items with revisions, range reads and watches."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self._events = []
        self.revision = 1
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; a leaf's entry changes only when more than `sequence` changes."""
        known = self.items.get(key)
        if known is not None and known["plain"] == _without_sequence(value):
            return
        self.revision += 1
        blob = json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(blob).decode(),
            "revision": self.revision,
            "created": known["item"]["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = {"item": item, "plain": _without_sequence(value)}
        self._add(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "removed": True})

    def _add(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        parts = urllib.parse.urlsplit(request.first.split(" ")[1])
        query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        prefix = query.get("pathPrefix", "")
        if parts.path == "/v1/kv-range":
            return self._range(prefix, query.get("after", ""))
        if parts.path == "/v1/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000)
        return encode_response(404, {})

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key]["item"] for key in keys[:PAGE_ITEMS]]
        return _json({"items": items, "morePages": len(keys) > PAGE_ITEMS, "asOf": self.revision})

    async def _watch(self, prefix, after, wait_s):
        deadline = time.monotonic() + min(wait_s, MAX_WATCH_S)
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return _json({"events": events, "asOf": self.revision})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


def _without_sequence(value):
    return {key: field for key, field in value.items() if key != "sequence"}


def _json(value):
    return encode_response(200, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Leaf(Server):
    """A leaf: answers only requests that name it, and writes its entry each heartbeat."""

    def __init__(self, leaf_id, service, zone, store, record, run_s=0.005, slots=2):
        super().__init__()
        self.id = leaf_id
        self.service = service
        self.zone = zone
        self.run_s = run_s
        self.slots = slots
        self.state = "ready"
        self.runs = []  # of each run: request id, time, path, body
        self._store = store
        self._record = record
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._task = None

    async def start(self):
        await super().start()
        self._task = asyncio.create_task(self._beat())

    def stop(self):
        super().stop()
        if self._task is not None:
            self._task.cancel()

    def entry(self):
        """Return what the leaf says of itself."""
        self._sequence += 1
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    def write_entry(self):
        self._store.put(f"servers/{self.id}", self.entry())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request):
        method, path, _ = request.first.split(" ")
        if path == "/health":
            return encode_response(200, {"Instance-Id": self.id})
        if request.headers.get("expected-instance", self.id) != self.id:
            return encode_response(421, {"Instance-Id": self.id})
        request_id = request.headers.get("request-id")
        if request_id is None:
            return encode_response(400, {"Not-Executed": "1"})
        self.runs.append((request_id, time.monotonic(), path, request.body))
        self._record.write(
            f"run {request_id} {method} {path} by {self.id} of {self.service},"
            f" body {request.body[:40]!r} of {len(request.body)} bytes"
        )
        await asyncio.sleep(self.run_s)
        return self.respond(request_id)

    def respond(self, request_id):
        stamp = f"{self.id}.{request_id}"
        body = f"{self.service} {self.id}".encode()
        return encode_response(200, {"Request-Id": request_id, "Server-Stamp": stamp}, body)


class ShardLeaf(Leaf):
    """A leaf of a shard: pauses now and then, answers with records, and does not echo the id."""

    def __init__(self, *args, pause_s=0.1, pause_every_s=2.4, **options):
        super().__init__(*args, **options)
        self._pause_s = pause_s
        self._pause_every_s = pause_every_s
        self._phase_s = (zlib.crc32(self.id.encode()) % 1000) / 1000 * pause_every_s

    async def handle(self, request):
        at = (time.monotonic() + self._phase_s) % self._pause_every_s
        if at < self._pause_s:
            await asyncio.sleep(self._pause_s - at)
        return await super().handle(request)

    def respond(self, request_id):
        records = [f"{self.service}-{index:02}".ljust(16, ".").encode() for index in range(3)]
        return encode_response(200, {"Server-Stamp": f"{self.id}.{request_id}"}, b"".join(records))


class Daemon:
    """The project's daemon as a process of its own, with the command of the deploy file."""

    def __init__(self, deployment, zone):
        self.host = free_host()
        self.zone = zone
        self.path = pathlib.Path(deployment.folder, f"{self.host}.toml")
        self.process = None
        self._deployment = deployment

    async def start(self):
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HYSSOPPROXY_NODE_FILE": str(self.path),
            "HYSSOPPROXY_METRICS_PORT": str(METRICS_PORT),
        }
        log = open(pathlib.Path(self._deployment.folder, f"{self.host}.log"), "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-m", "hyssopproxy.platform", cwd=ROOT, env=environ, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            response = await exchange(self.host, READY_PORT, "/v1/ready", {"Host": "x"}, 1.0)
            return response is not None and response.status == 200
        return False


FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, PEER_PORT = free_ports(5)

SETTINGS = """\
node = "front-{zone}-{host}"
role = "hyssopproxy"
machineClass = "front"
serves = ["front","control_plane"]
ip = "{host}"
zone = "{zone}"
region = "r"
internalPorts = [{peer},{peer}]
seeds = {seeds}
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "{host}:{front}"
readinessAddr = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 56
warmupFactor = 1.5
warmupSlack = 5
evacuateMs = 5000
recoverS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Deployment:
    """A small deployment: a store, leafs and daemons."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.leaves = {}
        self.daemons = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = self._folder.name
        self._numbers = itertools.count(1)
        self.version = 0

    def add_leaf(self, service, zone, kind=Leaf, **options):
        leaf_id = f"i-{service}-{zone}-{next(self._numbers)}"
        leaf = kind(leaf_id, service, zone, self.store, self.record, **options)
        self.leaves[leaf_id] = leaf
        return leaf

    def leaves_of(self, service):
        return [leaf for leaf in self.leaves.values() if leaf.service == service]

    def publish(self, routes, services):
        """Write a configuration."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": routes,
            "backends": [
                {"name": name, "healthPath": "/health", "maxConnections": 46, "warmupPerS": 0}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 30000,
            },
        }
        self.store.put("op/config", value)
        self.record.write(f"configuration {self.version} is acknowledged")

    async def start(self, zones):
        """Start the store, the leafs and a daemon in each of the zones; wait until all serve."""
        await self.store.start()
        for leaf in self.leaves.values():
            await leaf.start()
        self.daemons = [Daemon(self, zone) for zone in zones]
        seeds = json.dumps([f"{daemon.host}:{CONTROL_PORT}" for daemon in self.daemons[:3]])
        for daemon in self.daemons:
            daemon.path.write_text(
                SETTINGS.format(
                    host=daemon.host,
                    zone=daemon.zone,
                    seeds=seeds,
                    store=self.store.address,
                    front=FRONT_PORT,
                    ready=READY_PORT,
                    control=CONTROL_PORT,
                    peer=PEER_PORT,
                )
            )
            await daemon.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{daemon.host} is not ready")
                await asyncio.sleep(0.1)

    async def close(self):
        """End everything that was started; processes by their ids."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.send_signal(signal.SIGCONT)
                    daemon.process.kill()
                await daemon.process.wait()
        for leaf in self.leaves.values():
            leaf.stop()
        self.store.stop()
        self._folder.cleanup()


class CannotRunError(Exception):
    """The case could not run."""


async def exchange(host, port, path, headers, timeout_s, method="GET", body=b""):
    """Send a request on a new connection; return the response, None if there is none."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode_request(path, headers, method, body))
            return await read_message(reader)
        finally:
            writer.close()


def encode_request(path, headers, method="GET", body=b""):
    fields = dict(headers)
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def plain_route(name, service, **fields):
    return {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": f"/{name}/",
        "type": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "priority": 2,
        "backend": service,
        "maxAttempts": 2,
        **fields,
    }


def search_route(name, services, **fields):
    return {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": f"/{name}/",
        "type": "idempotent",
        "timeoutMs": 1200,
        "targetLatencyMs": 250,
        "priority": 1,
        "gather": list(services),
        "maxAttempts": 2,
        "topK": 10,
        "minCoverage": 0.75,
        **fields,
    }


def main(scenario, folder):
    """Run a scenario; exit with 1 if it returns broken rules, 0 if none, 2 if it cannot run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the daemons are ended on the way out
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                return await scenario(deployment, record, trouble)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except (TimeoutError, CannotRunError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN {text}")
        print(text)
    record.write(f"{len(broken)} broken")
    sys.exit(1 if broken else 0)
