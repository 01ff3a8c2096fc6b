"""Crowds of callers that send requests of many short or odd header lines, and what they may cost.

The crowd and the bounds were fixed before the product was changed for them, and stay.
"""

import asyncio
import contextlib
import os

from bench import memory
from bench import site as sites

CALLERS = 150  # of each crowd
MAX_GROWTH_BYTES = 60 << 20  # of resident memory above rest, while the callers are connected
MAX_KEPT_BYTES = 20 << 20  # of resident memory above rest, after they have left
MAX_TARGET_CONNECTIONS = 240  # the published 40 of each of the site's six targets
MAX_DESCRIPTORS = CALLERS + 60 + MAX_TARGET_CONNECTIONS  # of a daemon, which has some 20 at rest
MAX_KEPT_DESCRIPTORS = 60 + MAX_TARGET_CONNECTIONS
MAX_ACCEPTED = CALLERS + 10  # connections that a daemon has accepted, and the tests' own
MAX_KEPT_ACCEPTED = 10
MAX_HEADER_BYTES = 16384  # published; the limit that applies without a configuration
OVER_BYTES = 60_000  # sent at once, beyond any limit of a head
LEGAL_BYTES = 8_000
PIPELINED = 10  # requests sent at once on each connection
BUFFERED_BYTES = 16 << 20  # lowered, so that a small crowd reaches it
CLOSE_WAIT_S = 1.0  # for the daemon to notice that the callers have left
SETTLE_EXCHANGES = 4  # on the readiness address, each at least one turn of the daemon's event loop

_LISTEN_STATE = "0A"  # in /proc/net/tcp

#: Lines of a head, by the name of their kind.
LINES = {
    "short": b"a:\r\n",
    "no_name": b":\r\n",
    "folded": b"a:b\r\n c\r\n",
    "cookie": b"Cookie:b\r\n",
    "odd_name": b"!#$%&'*+-.^_`|~:\x80\xff\r\n",
    "bad_name": b"\x80\xff:b\r\n",
    "tabs": b"a:\t\t\t b \t\r\n",
    "connection": b"Connection:a,b\r\n",
    "encoding": b"Transfer-Encoding:a\r\n",
    "length": b"Content-Length:0\r\n",
    "value": b"b" * 64,  # of one header whose value does not end
}


def make_head(kind: str, size: int, target: bytes = b"/p/x", number: int = 0) -> bytes:
    """Return the start of a request without the end of its head, of about `size` bytes."""
    start = b"GET %s HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 1200\r\nRequest-Id: odd%d\r\n"
    start %= (target, number)
    if kind == "value":
        start += b"a:"
    line = LINES[kind]
    return start + line * ((size - len(start)) // len(line))


def make_requests(kind: str, size: int, target: bytes = b"/p/x") -> bytes:
    """Return complete requests, to be sent at once."""
    return b"".join(
        make_head(kind, size, target, number) + b"\r\n\r\n" for number in range(PIPELINED)
    )


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def count_accepted(pid: int) -> int:
    """Return the number of connections that a process has accepted and still holds."""
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(f"/proc/{pid}/fd/{name}"))
    with open(f"/proc/{pid}/net/tcp") as file:
        # The kernel lists a socket twice if the table changes while it is read.
        rows = {row[9]: row for row in (line.split() for line in file)}.values()
    own = [row for row in rows if f"socket:[{row[9]}]" in inodes]
    listening = {row[1].partition(":")[2] for row in own if row[3] == _LISTEN_STATE}
    ports = [row[1].partition(":")[2] for row in own if row[3] != _LISTEN_STATE]
    return sum(port in listening for port in ports)


def read_peak_bytes(pid: int) -> int:
    """Return the highest resident memory since `reset_peak`."""
    with open(f"/proc/{pid}/status") as file:
        fields = dict(line.split(":", 1) for line in file)
    return int(fields["VmHWM"].split()[0]) << 10


def reset_peak(pid: int) -> None:
    """Start a new measurement of the highest resident memory."""
    with open(f"/proc/{pid}/clear_refs", "w") as file:
        file.write("5")


class Cost:
    """What a crowd costs a process above rest."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        reset_peak(pid)
        self._rest_bytes = memory.resident_bytes(pid)
        self._descriptors = 0
        self._accepted = 0

    def observe(self) -> None:
        """Note the descriptors that are open now."""
        self._accepted = max(self._accepted, count_accepted(self._pid))
        self._descriptors = max(self._descriptors, count_descriptors(self._pid))

    def check(self) -> None:
        """Check the bounds after the crowd has left; print what was measured."""
        peak = read_peak_bytes(self._pid) - self._rest_bytes
        kept = memory.resident_bytes(self._pid) - self._rest_bytes
        descriptors = count_descriptors(self._pid)
        accepted = count_accepted(self._pid)
        print(
            f"above rest: peak {peak / 2**20:.1f} MB, kept {kept / 2**20:.1f} MB;"
            f" descriptors: at most {self._descriptors}, kept {descriptors};"
            f" accepted: at most {self._accepted}, kept {accepted}"
        )
        assert peak < MAX_GROWTH_BYTES
        assert kept < MAX_KEPT_BYTES
        assert self._descriptors < MAX_DESCRIPTORS
        assert descriptors < MAX_KEPT_DESCRIPTORS
        assert self._accepted < MAX_ACCEPTED
        assert accepted < MAX_KEPT_ACCEPTED


async def settle(site: sites.Site, daemon: sites.Daemon) -> None:
    """Wait until the daemon has read what is there."""
    for _ in range(SETTLE_EXCHANGES):
        await site.get_readiness(daemon)


async def send_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    for byte in data:
        writer.write(bytes((byte,)))
        await asyncio.sleep(1.0)


@contextlib.asynccontextmanager
async def connected(host: str, port: int, callers: int = CALLERS):
    """Connect a crowd; abort its connections at the end."""
    writers = []
    try:
        for _ in range(callers):
            _, writer = await asyncio.open_connection(host, port, limit=1024)  # hardly reads
            writers.append(writer)
        yield writers
    finally:
        for writer in writers:
            writer.transport.abort()


async def check_crowd(
    site: sites.Site, data: bytes, port: str = "front", dripped: bytes = b"", rounds: int = 1
) -> None:
    """Let a crowd send `data` at once, and check what it costs and that the daemon serves on.

    `dripped` is then sent at one byte a second, for some seconds.
    """
    daemon = site.daemons[0]
    assert (await site.get(daemon)).status == 200
    cost = Cost(daemon.process.pid)
    for _ in range(rounds):
        async with connected(daemon.host, site.ports[port]) as writers:
            for writer in writers:
                writer.write(data)
            await settle(site, daemon)
            cost.observe()
            if dripped:
                await asyncio.gather(*(send_slowly(writer, dripped) for writer in writers))
                cost.observe()
            await settle(site, daemon)
        await asyncio.sleep(CLOSE_WAIT_S)
        await settle(site, daemon)
    assert daemon.process.returncode is None
    assert (await site.get(daemon)).status == 200
    assert (await site.get(daemon, "/p/x")).status == 200
    cost.check()


def run(scenario, **limits: int) -> None:
    """Run a scenario against a site whose daemon has lowered limits."""

    async def run_scenario() -> None:
        async with sites.running(shards=2, daemons=0) as site:
            site.publish(
                sites.search_route("s0", "s1"),
                sites.plain_route(),
                maxHeaderBytes=MAX_HEADER_BYTES,
                **limits,
            )
            os.environ["HYSSOPPROXY_MAX_BUFFERED_BYTES"] = str(BUFFERED_BYTES)
            try:
                daemon = await site.add_daemon()
            finally:
                del os.environ["HYSSOPPROXY_MAX_BUFFERED_BYTES"]
            await site.wait_ready(daemon)
            await scenario(site)

    asyncio.run(run_scenario())
