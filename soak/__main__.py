"""Runs the soak test: python -m soak --seed N [--seeds COUNT] [--seconds S]."""

import argparse
import asyncio
import base64
import contextlib
import functools
import random
import signal
import sys
import time
import typing

from bench import site as sites
from soak import check

DAEMONS = 4
CALLERS = 12
SHARDS = 4
LEAVES_PER_POOL = 3
REQUEST_INTERVAL_S = 0.01  # pause between two requests of a caller
RECOVERY_TIMEOUT_S = 12.0  # time from the last fault until every daemon must serve again
QUIET_S = 1.0  # callers send hundreds of requests in this time
LEAF_FAULTS = ("shed", "error", "reset", "truncate", "garbage", "extra", "unframed", "silent")
DRAIN_MS = 1000  # shorter than in operation, so that it ends while faults are injected
LOST_WRITES = 8  # before the last return of the store; more than are written after it
NEW_ROUTE = "/n/"  # path prefix that only the last configuration has
LINK_FAULTS = ("reset", "cut", "stall_up", "stall_down", "delay")


class SoakRun:
    """Run of one seed: load, faults, recovery, a removal and checks."""

    def __init__(self, site: sites.Site, rng: random.Random, seconds: float) -> None:
        self._site = site
        self._rng = rng
        self._faults_until = time.monotonic() + seconds
        self._ledger = check.Ledger(site)
        self._affected_hosts: set[str] = set()  # daemons that a fault currently affects
        self._affected_leaves: set[str] = set()  # leaves whose link or entry a fault affects
        self._is_store_returning = False
        self.faults: list[str] = []

    async def run(self) -> check.Ledger:
        """Generate load and faults, wait for recovery, and return the ledger."""
        stop = asyncio.Event()
        callers = [asyncio.create_task(self._send_requests(stop)) for _ in range(CALLERS)]
        fault_tasks = [asyncio.create_task(self._inject_faults()) for _ in range(3)]
        fault_tasks.append(asyncio.create_task(self._inject_statements()))
        await asyncio.gather(*fault_tasks)
        await self._check_recovery()
        await self._check_return()
        await self._check_removal()
        stop.set()
        await asyncio.gather(*callers)
        self._ledger.check_runs()
        return self._ledger

    async def _send_requests(self, stop: asyncio.Event) -> None:
        """Send requests as one caller that keeps its connection until the daemon closes it."""
        while not stop.is_set():
            daemon = self._rng.choice(self._site.daemons)
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                reader, writer = await self._site.connect(daemon)
                try:
                    while not stop.is_set() and await self._send_request(daemon, reader, writer):
                        await asyncio.sleep(REQUEST_INTERVAL_S)
                finally:
                    writer.close()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(
        self,
        daemon: sites.Daemon,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        kind = self._rng.choice(("search", "search", "plain", "unsafe"))
        target = {"search": "/s/x", "plain": "/p/x", "unsafe": "/u/x"}[kind]
        request_id = self._site.next_request_id()
        if kind == "unsafe":
            self._ledger.non_idempotent.add(request_id)
        self._ledger.record.senders[request_id] = daemon.host, time.monotonic()
        writer.write(self._site.make_request(target, 1200, headers={"Request-Id": request_id}))
        try:
            async with asyncio.timeout(3.0):
                reply, keep_alive = await sites.read_response(reader)
        except (OSError, TimeoutError, EOFError):
            self._ledger.check_response(request_id, kind, None)
            raise OSError("no response") from None
        self._ledger.check_response(request_id, kind, reply)
        return keep_alive

    async def _inject_faults(self) -> None:
        daemon_faults = (
            self._kill,
            self._pause,
            self._stop,
            self._stop_while_starting,
            self._send_sighups,
        )
        injectors = [functools.partial(self._inject_daemon_fault, fault) for fault in daemon_faults]
        injectors += (
            self._inject_leaf_fault,
            self._inject_link_fault,
            self._inject_store_fault,
            self._change_configuration,
            self._drain_leaf,
        )
        while time.monotonic() < self._faults_until:
            await self._rng.choice(injectors)()
            await asyncio.sleep(self._rng.uniform(0.0, 0.6))

    def _record_fault(self, text: str) -> None:
        self.faults.append(text)

    async def _inject_daemon_fault(
        self, fault: typing.Callable[[sites.Daemon], typing.Awaitable[None]]
    ) -> None:
        """Inject a fault into a daemon that no other fault currently affects."""
        unaffected = [
            daemon for daemon in self._site.daemons if daemon.host not in self._affected_hosts
        ]
        if not unaffected:
            return
        daemon = self._rng.choice(unaffected)
        self._affected_hosts.add(daemon.host)
        self._record_disturbance(daemon, fault)
        try:
            await fault(daemon)
        finally:
            self._record_disturbance(daemon, fault)
            self._affected_hosts.discard(daemon.host)

    def _record_disturbance(self, daemon: sites.Daemon, fault: typing.Callable) -> None:
        """Record that a daemon forgets or is late; SIGHUP is no reason for that."""
        if fault != self._send_sighups:
            self._ledger.record.disturbances.append((daemon.host, time.monotonic()))

    async def _kill(self, daemon: sites.Daemon) -> None:
        self._record_fault(f"kill {daemon.host}")
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await self._start(daemon)

    async def _pause(self, daemon: sites.Daemon) -> None:
        self._record_fault(f"pause {daemon.host}")
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        daemon.signal(signal.SIGCONT)

    async def _stop(self, daemon: sites.Daemon) -> None:
        self._record_fault(f"stop {daemon.host}")
        await self._wait_for_first_statement(daemon)
        daemon.signal(signal.SIGTERM)
        if self._rng.random() < 0.5:  # settings may change during the stop, up to its last moment
            while daemon.process.returncode is None:
                daemon.send_if_running(signal.SIGHUP)
                await asyncio.sleep(self._rng.uniform(0.0, 0.02))
        status = await daemon.wait()
        if status != 0:
            self._ledger.add_violation(f"{daemon.host}: stopped with exit status {status}")
        await self._start(daemon)

    async def _stop_while_starting(self, daemon: sites.Daemon) -> None:
        self._record_fault(f"stop {daemon.host} while it starts")
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        await self._site.start_daemon(daemon)
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await self._stop(daemon)

    async def _send_sighups(self, daemon: sites.Daemon) -> None:
        self._record_fault(f"SIGHUP {daemon.host}")
        await self._wait_for_first_statement(daemon)
        for _ in range(self._rng.randrange(1, 4)):
            daemon.signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def _start(self, daemon: sites.Daemon) -> None:
        """Start a daemon; its settings may change meanwhile."""
        await self._site.start_daemon(daemon)
        if self._rng.random() < 0.5:
            await self._send_sighups(daemon)

    async def _wait_for_first_statement(self, daemon: sites.Daemon) -> None:
        while not daemon.takes_signals():
            await asyncio.sleep(0.001)

    async def _inject_leaf_fault(self) -> None:
        leaf = self._rng.choice(list(self._site.leaves.values()))
        fault = self._rng.choice(LEAF_FAULTS)
        self._record_fault(f"{leaf.name} {fault}")
        leaf.fault, leaf.delay_s = fault, self._rng.choice((0.0, 0.0, 0.3))
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        leaf.fault, leaf.delay_s = "", 0.0

    async def _inject_link_fault(self) -> None:
        name = self._rng.choice(list(self._site.links))
        if name in self._affected_leaves:
            return
        self._affected_leaves.add(name)
        link = self._site.links[name]
        fault = self._rng.choice(LINK_FAULTS)
        self._record_fault(f"link {name} {fault}")
        if fault in ("reset", "cut"):
            link.faults.cut = fault == "cut"
            link.reset()
        elif fault == "delay":
            link.faults.delay_ms, link.faults.jitter_ms = 60.0, 100.0
        else:
            setattr(link.faults, fault, True)
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        link.faults.cut = link.faults.stall_up = link.faults.stall_down = False
        link.faults.delay_ms = link.faults.jitter_ms = 0.0
        self._affected_leaves.discard(name)

    async def _inject_store_fault(self) -> None:
        fault = self._rng.choice(("refuse", "silent", "compact", "return"))
        if fault == "return":
            await self._return_store()
            return
        self._record_fault(f"store {fault}")
        if fault == "compact":
            self._site.store.compact()
            return
        self._site.store.fault = fault
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        self._site.store.fault = ""

    async def _return_store(self) -> None:
        """Let the store return from an older copy; what it lost is written again."""
        if self._is_store_returning:
            return
        self._is_store_returning = True
        store = self._site.store
        older = store.make_copy()
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._record_fault(f"store returns from {store.revision} to {older.revision}")
        store.fault = "refuse"
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        lost = dict(store.items)
        store.restore(older)
        store.fault = ""
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        for key in sorted(lost.keys() | older.items.keys()):
            if store.items.get(key) != older.items.get(key) or lost.get(key) == older.items.get(
                key
            ):
                continue  # written since the return, or not lost
            if key in lost:
                store.put(key, base64.b64decode(lost[key]["value"]))
            else:
                store.remove(key)
        self._is_store_returning = False

    async def _change_configuration(self) -> None:
        shards = [f"s{index}" for index in range(SHARDS)]
        shards = shards[: self._rng.choice((SHARDS, SHARDS - 1))]
        self._record_fault(f"configure {shards}")
        publish(self._site, shards)

    async def _inject_statements(self) -> None:
        """Let leaves state in their answers that they leave or are closed, one after another."""
        while time.monotonic() < self._faults_until:
            name = self._rng.choice(list(self._site.leaves))
            if name not in self._affected_leaves:
                self._affected_leaves.add(name)
                state = self._rng.choice((self._leave_leaf, self._close_leaf))
                await state(name, self._site.leaves[name])
                self._affected_leaves.discard(name)
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _leave_leaf(self, name: str, leaf: sites.replicas.Replica) -> None:
        """Let a leaf leave while its entry says ready, and start its next incarnation."""
        self._record_fault(f"{name} leaves")
        leaf.leave()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        leaf.restart()
        address = self._site.published_addresses[name]
        entry = sites.replicas.make_entry(leaf, name.split("-")[1], "a", address=address)
        self._site.store.put(f"servers/{name}", entry)

    async def _close_leaf(self, name: str, leaf: sites.replicas.Replica) -> None:
        seconds = self._rng.uniform(0.6, 2.5)
        odd = self._rng.choice(("", "", "", "-1", "nan", "Sun, 06 Dec 2026 08:00:00 GMT"))
        self._record_fault(f"{name} closed for {seconds:.1f} s {odd}")
        leaf.close_itself(seconds, odd)
        await asyncio.sleep(seconds)

    async def _drain_leaf(self) -> None:
        name = self._rng.choice(list(self._site.leaves))
        if name in self._affected_leaves:
            return
        self._affected_leaves.add(name)
        leaf = self._site.leaves[name]
        pool = name.split("-")[1]
        self._record_fault(f"drain {name}")
        link = self._site.published_addresses[name]
        entry = sites.replicas.make_entry(leaf, pool, "a", address=link)
        self._site.store.put(f"servers/{name}", {**entry, "state": "draining"})
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self._site.store.remove(f"servers/{name}")
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        self._site.store.put(f"servers/{name}", entry)
        self._affected_leaves.discard(name)

    async def _check_recovery(self) -> None:
        """Check that every daemon serves all routes with all shards within the time limit."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        for daemon in self._site.daemons:
            while not await self._is_serving(daemon):
                if time.monotonic() > deadline:
                    self._ledger.add_violation(
                        f"{daemon.host}: not serving {RECOVERY_TIMEOUT_S} s after the last fault"
                    )
                    return
                await asyncio.sleep(0.1)

    async def _check_return(self) -> None:
        """Return the store from an older copy; daemons must take the next configuration."""
        store = self._site.store
        older = store.make_copy()
        for number in range(LOST_WRITES):
            store.put(f"notes/{number}", b"{}")
        await asyncio.sleep(QUIET_S)
        self._record_fault(f"store returns from {store.revision} to {older.revision}")
        store.restore(older)
        await asyncio.sleep(QUIET_S)
        publish(self._site, [f"s{index}" for index in range(SHARDS)], NEW_ROUTE)
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        for daemon in self._site.daemons:
            while not await self._is_serving(daemon, (f"{NEW_ROUTE}x",)):
                if time.monotonic() > deadline:
                    self._ledger.add_violation(
                        f"{daemon.host}: version {self._site.version} not in force after"
                        f" {RECOVERY_TIMEOUT_S} s"
                    )
                    return
                await asyncio.sleep(0.1)

    async def _check_removal(self) -> None:
        """Remove an entry right before a loss of history; requests to its leaf must end."""
        name = next(iter(self._site.leaves))
        leaf = self._site.leaves[name]
        self._record_fault(f"remove {name} and compact")
        self._site.store.remove(f"servers/{name}")
        self._site.store.compact()
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        arrivals = -1
        while len(leaf.arrivals) > arrivals:
            if time.monotonic() > deadline:
                self._ledger.add_violation(
                    f"{name}: gets requests {RECOVERY_TIMEOUT_S} s after its entry was removed"
                )
                return
            arrivals = len(leaf.arrivals)
            await asyncio.sleep(QUIET_S)

    async def _is_serving(
        self, daemon: sites.Daemon, targets: tuple[str, ...] = ("/s/x", "/p/x")
    ) -> bool:
        for target in targets:
            with contextlib.suppress(OSError, TimeoutError):
                reply = await self._site.get(daemon, target)
                if reply.status == 200 and reply.get_header(b"missing-parts") in (None, b"0"):
                    continue
            return False
        return True


def publish(site: sites.Site, shards: list[str], *new_prefixes: str) -> None:
    """Publish the routes that the soak test uses."""
    new_routes = [sites.plain_route(name="r-new", pathPrefix=prefix) for prefix in new_prefixes]
    non_idempotent = sites.plain_route(name="r-unsafe", pathPrefix="/u/", type="non_idempotent")
    site.publish(sites.search_route(*shards), sites.plain_route(), non_idempotent, *new_routes)


async def run_seed(seed: int, seconds: float) -> tuple[check.Ledger, list[str]]:
    """Run one seed and return its ledger and the injected faults."""
    site = sites.Site(has_links=True)
    site.drain_ms = DRAIN_MS
    rng = random.Random(seed)
    try:
        await site.start_store()
        for pool in [*(f"s{index}" for index in range(SHARDS)), "p"]:
            for _ in range(LEAVES_PER_POOL):
                await site.add_leaf(pool)
        publish(site, [f"s{index}" for index in range(SHARDS)])
        for _ in range(DAEMONS):
            await site.add_daemon()
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        run = SoakRun(site, rng, seconds)
        ledger = await run.run()
        for daemon in site.daemons:
            if daemon.process.returncode is not None:
                status = daemon.process.returncode
                ledger.add_violation(f"{daemon.host}: ended by itself with status {status}")
            for line in daemon.log:
                if line["event"] == "internal_error":
                    ledger.add_violation(f"{daemon.host}: {line}")
        return ledger, run.faults
    finally:
        await site.close()


def main() -> None:
    """Run the seeds and print violations; exit with status 1 if there are any."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds from --seed on"
    )
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the fault injection per seed"
    )
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.seed, options.seed + options.seeds):
        ledger, faults = asyncio.run(run_seed(seed, options.seconds))
        outcomes = ", ".join(
            f"{kind} {status}: {count}"
            for (kind, status), count in sorted(ledger.outcomes.items(), key=str)
        )
        print(f"seed {seed}: {len(ledger.violations)} violations; {outcomes}", flush=True)
        for violation in ledger.violations[:20]:
            print(f"  {violation}")
        if ledger.violations:
            failed_seeds += 1
            print("  faults: " + "; ".join(faults))
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
