"""Stand-ins for the cases of the second review: store, leaves, clients and the daemon's host.

Uses the standard library alone. Store, leaves and clients run in the process of the script, each
daemon in a process of its own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses
MAX_FDS = 4100
_NET = f"127.{80 + os.getpid() // 250 % 100}.{os.getpid() % 250 + 1}"
_numbers = itertools.count(1)


def new_host():
    """Return a loopback address that nothing else in this process uses."""
    return f"{_NET}.{next(_numbers)}"


def free_ports(host, count):
    """Return distinct ports that are free for TCP and UDP."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            probe = stack.enter_context(socket.socket())
            probe.bind((host, 0))
            port = probe.getsockname()[1]
            with contextlib.suppress(OSError), socket.socket(type=socket.SOCK_DGRAM) as datagram:
                datagram.bind((host, port))
                ports.append(port)
        return ports


def limit_descriptors():
    """Set the limit of this process to the `maxFds` of the settings, if the machine allows it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


class Record:
    """Writes what happened to `record.txt`, with seconds since the start of the script."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder, "record.txt"), "w")  # noqa: SIM115
        self._started_at = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the first line, the headers by lower-case name and the body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def encode_response(status, headers=(), body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} -\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """An HTTP/1.1 server on an address of its own."""

    def __init__(self):
        self.host = new_host()
        self.port = 0
        self.writers = set()
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if not await self.handle(line.split(" ")[:2], headers, body, writer):
                    break
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the peer has gone, or the script ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, headers, body, writer):
        """Answer one request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store: range reads in pages, and watches over a history of events."""

    PAGE_ITEMS = 50
    PAGE_BYTES = 1 << 20
    HISTORY_S = 20.0

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []  # (time, event)
        self.revision = 7
        self.compacted = 7  # events up to this revision are gone
        self._changed = asyncio.Event()
        self._watchers = set()

    def put(self, key, value):
        """Write an item; returns once it is acknowledged. Bytes are written as they are."""
        blob = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(blob).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._append(self.items[key])

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._append({"key": key, "revision": self.revision, "removed": True})

    def _append(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events[0][0] < now - self.HISTORY_S:
            self.compacted = self.events.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    def discard_history(self):
        """Drop all past events and cut the watches that wait."""
        self.events.clear()
        self.compacted = self.revision
        for writer in list(self._watchers):
            writer.transport.abort()

    async def handle(self, request, headers, body, writer):
        url = urllib.parse.urlsplit(request[1])
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/v1/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = self._take_page(keys)
            value = {"items": page, "morePages": len(keys) > len(page), "asOf": self.revision}
        elif url.path == "/v1/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            value = await self._watch(after, until, writer)
        else:
            value = None
        if value is None:
            gone = url.path == "/v1/kv-watch"
            writer.write(encode_response(410 if gone else 404))
        else:
            json_type = ("Content-Type", "application/json")
            writer.write(encode_response(200, [json_type], json.dumps(value).encode()))
        await writer.drain()
        return True

    def _take_page(self, keys):
        """Return the first items, as many as a page holds and at least one."""
        page = []
        size = 0
        for key in keys[: self.PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > self.PAGE_BYTES:
                break
            page.append(self.items[key])
        return page

    async def _watch(self, after, until, writer):
        """Return the events after a revision, or None if some of them are gone."""
        while True:
            if after < self.compacted:
                return None
            events = [event for _, event in self.events if event["revision"] > after]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "asOf": self.revision}
            changed = self._changed
            self._watchers.add(writer)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
            self._watchers.discard(writer)


class Leaf(Listener):
    """A sound leaf; `arrivals` holds time, request id, method and whether it ran."""

    def __init__(self, record, leaf_id, backend, zone, work_s=0.02, slots=6):
        super().__init__()
        self.record = record
        self.id = leaf_id
        self.backend = backend
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.running = set()
        self.stopped_at = None

    def entry(self, **fields):
        """Return what the leaf writes of itself into the store."""
        return {
            "backend": self.backend,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
            **fields,
        }

    def exit(self):
        """End as a process does: listener and connections are gone."""
        self.stopped_at = time.monotonic()
        self.record.write(f"leaf {self.id} exits, {len(self.running)} requests at work")
        self.stop()

    async def handle(self, request, headers, body, writer):
        request_id = headers.get("request-id", "")
        is_run = headers.get("expected-instance", self.id) == self.id
        self.arrivals.append((time.monotonic(), request_id, request[0], is_run))
        self.record.write(f"leaf {self.id} got {request[0]} {request_id} run={is_run}")
        if not is_run:
            misdirected = [("Not-Executed", "1"), ("Instance-Id", self.id)]
            writer.write(encode_response(421, misdirected))
            return True
        self.running.add(request_id)
        try:
            await self.work(request_id)
        finally:
            self.running.discard(request_id)
        stamps = [("Request-Id", request_id), ("Server-Stamp", f"{self.id}.{request_id}")]
        writer.write(encode_response(200, stamps, f"{self.id} {request[1]}".encode()))
        await writer.drain()
        return True

    async def work(self, request_id):
        await asyncio.sleep(self.work_s)


class Daemon:
    """A machine with the daemon of the deploy file."""

    def __init__(self, site, zone):
        self.site = site
        self.host = new_host()
        self.zone = zone
        self.name = f"front-{zone}-{self.host.rpartition('.')[2]}"
        self.process = None
        self.settings_path = pathlib.Path(site.folder, f"{self.name}.toml")

    @property
    def front(self):
        return self.host, self.site.ports["front"]

    def write_settings(self):
        site, ports = self.site, self.site.ports
        seeds = [f"{daemon.host}:{ports['control']}" for daemon in site.daemons[:3]]
        zones = sorted({daemon.zone for daemon in site.daemons})
        zone_lines = "".join(f'{zone} = "pos"\n' for zone in zones)
        bounds = "".join(f"{name} = {value}\n" for name, value in site.bounds.items())
        text = (
            f'node = "{self.name}"\nrole = "hyssopproxy"\nmachineClass = "front"\n'
            f'serves = ["front", "control_plane"]\nip = "{self.host}"\nzone = "{self.zone}"\n'
            f'region = "pos"\ninternalPorts = [{ports["inner"]}, {ports["inner"] + 1}]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = true\nheartbeatMs = 1200\n"
            f"[zones]\n{zone_lines}"
            f'[listen]\nfront = "{self.host}:{ports["front"]}"\n'
            f'readinessAddr = "{self.host}:{ports["ready"]}"\n'
            f'control = "{self.host}:{ports["control"]}"\n'
            f"[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = {MAX_FDS}\n"
            "linkMbps = 1000.0\ndiskMb = 0\n"
            f"[bounds]\n{bounds}"
            f'[platform]\naddress = "{site.store.address}"\nform = "read"\nreadsPerS = 2000\n'
            "historyS = 20\nvalueBytes = 1048576\n"
        )
        self.settings_path.write_text(text)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        run = next(iter(deploy["roles"].values()))["run"].split()
        command = [shutil.which(run[0]) or sys.executable, *run[1:]]
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environ["HYSSOPPROXY_NODE_FILE"] = str(self.settings_path)
        environ["HYSSOPPROXY_METRICS_PORT"] = str(self.site.ports["metrics"])
        log = open(pathlib.Path(self.site.folder, f"{self.name}.log"), "ab")  # noqa: SIM115
        with log:
            self.process = self.site.spawn(command, environ, log)

    def log_lines(self):
        """Return the decoded lines that the daemon has logged so far."""
        path = pathlib.Path(self.site.folder, f"{self.name}.log")
        lines = []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Site:
    """A store, leaves and daemons; ends all processes that it started."""

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

    def __init__(self, record):
        self.record = record
        self.bounds = dict(self.BOUNDS)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.leaves = {}
        self.daemons = []
        self.ports = {}
        self.version = 1
        self._processes = []
        self._request_numbers = itertools.count(1)

    def spawn(self, command, environ, log):
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=limit_descriptors,
        )
        self._processes.append(process)
        return process

    def add_daemons(self, *zones):
        self.daemons = [Daemon(self, zone) for zone in zones]
        names = ("front", "ready", "control", "metrics", "inner")
        self.ports = dict(zip(names, free_ports(self.daemons[0].host, len(names)), strict=True))
        for daemon in self.daemons:
            daemon.write_settings()
            daemon.start()

    async def add_leaf(self, leaf, publishes=True, **fields):
        await leaf.start()
        self.leaves[leaf.id] = leaf
        if publishes:
            self.store.put(f"servers/{leaf.id}", leaf.entry(**fields))
        return leaf

    def publish(self, routes, backends):
        self.version += 3
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        value = {
            "version": self.version,
            "routes": routes,
            "backends": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConnections": connections,
                    "protocol": "h1",
                    "tls": False,
                    "warmupS": 3.0,
                    "warmupPerS": warmup_per_s,
                }
                for name, connections, warmup_per_s in backends
            ],
            "limits": limits,
        }
        self.store.put("op/config", value)

    async def wait_ready(self, timeout_s=20.0):
        """Return whether all daemons are ready in time."""
        deadline = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while not await self.is_ready(daemon):
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.05)
        return True

    async def is_ready(self, daemon):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(daemon.host, self.ports["ready"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line, _, _ = await read_message(reader)
                writer.close()
                return line.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def next_request_id(self):
        return f"{os.getpid():08x}{next(self._request_numbers):08x}"

    async def send(
        self, daemon, target, method="GET", deadline_ms=5000, body=b"", host="h.example"
    ):
        """Send one request on a connection of its own; return its id, send time and answer.

        The answer is a status, or a word for a request that got none.
        """
        request_id = self.next_request_id()
        sent_at = time.monotonic()
        answer = "no connection"
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(*daemon.front)
                try:
                    length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
                    head = (
                        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                        f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n{length}\r\n"
                    )
                    writer.write(head.encode() + body)
                    answer = "closed without an answer"
                    line, _, _ = await read_message(reader)
                    answer = line.split(" ")[1]
                finally:
                    writer.close()
        except TimeoutError:
            answer = "no answer"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.record.write(f"client {method} {target} {request_id} to {daemon.name}: {answer}")
        return request_id, sent_at, answer

    def close(self):
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.store.stop()
        for leaf in self.leaves.values():
            leaf.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, scenario):
    """Run a scenario with a site and a record, and exit with its status."""
    limit_descriptors()
    record = Record(folder)

    async def play():
        site = Site(record)
        try:
            async with asyncio.timeout(115):
                return await scenario(site, record)
        finally:
            # Connections that are cancelled below need no lines of their own.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            site.close()

    status = NOT_RUN
    try:
        status = asyncio.run(play())
    except Exception as error:
        record.say(f"could not run: {error!r}")
    record.say(f"exit status {status}")
    record.close()
    sys.exit(status)
