"""Runs the soak: python -m soak --seed N [--seeds COUNT] [--seconds S]."""

import argparse
import asyncio
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
COPIES = 3
PAUSE_S = 0.01  # between two requests of a caller
RECOVER_S = 12.0  # after the last fault every daemon serves again
LEAF_FAULTS = ("shed", "error", "reset", "truncate", "garbage", "extra", "unframed", "silent")
LINK_FAULTS = ("reset", "cut", "stall_up", "stall_down", "delay")


class Soak:
    """One seed's run."""

    def __init__(self, site: sites.Site, rng: random.Random, seconds: float) -> None:
        self._site = site
        self._rng = rng
        self._until = time.monotonic() + seconds
        self._ledger = check.Ledger(site)
        self._down: set[str] = set()  # daemons that are stopping or starting
        self.events: list[str] = []

    async def run(self) -> check.Ledger:
        """Play load and faults, let all recover, and return what was found."""
        stop = asyncio.Event()
        callers = [asyncio.create_task(self._call(stop)) for _ in range(CALLERS)]
        faults = [asyncio.create_task(self._fault()) for _ in range(3)]
        await asyncio.gather(*faults)
        await self._check_recovery()
        stop.set()
        await asyncio.gather(*callers)
        self._ledger.close()
        return self._ledger

    async def _call(self, stop: asyncio.Event) -> None:
        """One caller, who keeps its connection open until the daemon closes it."""
        while not stop.is_set():
            daemon = self._rng.choice(self._site.daemons)
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                reader, writer = await self._site.connect(daemon)
                try:
                    while not stop.is_set() and await self._ask(reader, writer):
                        await asyncio.sleep(PAUSE_S)
                finally:
                    writer.close()
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        kind = self._rng.choice(("search", "search", "plain", "unsafe"))
        target = {"search": "/s/x", "plain": "/p/x", "unsafe": "/u/x"}[kind]
        request_id = self._site.next_request_id()
        if kind == "unsafe":
            self._ledger.unsafe.add(request_id)
        writer.write(self._site.make_request(target, 1200, headers={"Request-Id": request_id}))
        try:
            async with asyncio.timeout(3.0):
                reply, keeps_open = await sites.read_response(reader)
        except (OSError, TimeoutError, EOFError):
            self._ledger.take(request_id, kind, None)
            raise OSError("no answer") from None
        self._ledger.take(request_id, kind, reply)
        return keeps_open

    async def _fault(self) -> None:
        to_daemons = (self._kill, self._pause, self._stop, self._hang_up)
        kinds = [functools.partial(self._disturb_daemon, fault) for fault in to_daemons]
        kinds += (self._leaf, self._link, self._store, self._configure, self._drain)
        while time.monotonic() < self._until:
            await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(0.0, 0.6))

    def _note(self, text: str) -> None:
        self.events.append(text)

    async def _disturb_daemon(
        self, fault: typing.Callable[[sites.Daemon], typing.Awaitable[None]]
    ) -> None:
        """Play a fault on a daemon that no other fault has stopped."""
        free = [one for one in self._site.daemons if one.host not in self._down]
        if not free:
            return
        daemon = self._rng.choice(free)
        self._down.add(daemon.host)
        try:
            await fault(daemon)
        finally:
            self._down.discard(daemon.host)

    async def _kill(self, daemon: sites.Daemon) -> None:
        self._note(f"kill {daemon.host}")
        daemon.signal(signal.SIGKILL)
        await daemon.wait()
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await self._site.start_daemon(daemon)

    async def _pause(self, daemon: sites.Daemon) -> None:
        self._note(f"pause {daemon.host}")
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 2.5))
        daemon.signal(signal.SIGCONT)

    async def _stop(self, daemon: sites.Daemon) -> None:
        self._note(f"stop {daemon.host}")
        daemon.signal(signal.SIGTERM)
        status = await daemon.wait()
        if status not in (0, -signal.SIGTERM):  # the latter while the process is starting
            self._ledger.blame(f"{daemon.host}: a stop ended with status {status}")
        await self._site.start_daemon(daemon)

    async def _hang_up(self, daemon: sites.Daemon) -> None:
        if daemon.handles_sighup():
            self._note(f"hang up {daemon.host}")
            daemon.signal(signal.SIGHUP)

    async def _leaf(self) -> None:
        leaf = self._rng.choice(list(self._site.leaves.values()))
        fault = self._rng.choice(LEAF_FAULTS)
        self._note(f"{leaf.name} {fault}")
        leaf.fault, leaf.delay_s = fault, self._rng.choice((0.0, 0.0, 0.3))
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        leaf.fault, leaf.delay_s = "", 0.0

    async def _link(self) -> None:
        name = self._rng.choice(list(self._site.links))
        link = self._site.links[name]
        fault = self._rng.choice(LINK_FAULTS)
        self._note(f"link {name} {fault}")
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

    async def _store(self) -> None:
        fault = self._rng.choice(("refuse", "silent", "compact"))
        self._note(f"store {fault}")
        if fault == "compact":
            self._site.store.compact()
            return
        self._site.store.fault = fault
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        self._site.store.fault = ""

    async def _configure(self) -> None:
        shards = [f"s{index}" for index in range(SHARDS)]
        shards = shards[: self._rng.choice((SHARDS, SHARDS - 1))]
        self._note(f"configure {shards}")
        publish(self._site, shards)

    async def _drain(self) -> None:
        name = self._rng.choice(list(self._site.leaves))
        leaf = self._site.leaves[name]
        pool = name.split("-")[1]
        self._note(f"drain {name}")
        link = self._site.published_addresses[name]
        entry = sites.replicas.make_entry(leaf, pool, "a", address=link)
        self._site.store.put(f"servers/{name}", {**entry, "state": "draining"})
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self._site.store.remove(f"servers/{name}")
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        self._site.store.put(f"servers/{name}", entry)

    async def _check_recovery(self) -> None:
        """Every daemon serves every route again within the bound, with all shards."""
        until = time.monotonic() + RECOVER_S
        for daemon in self._site.daemons:
            while not await self._serves(daemon):
                if time.monotonic() > until:
                    self._ledger.blame(f"{daemon.host}: not serving {RECOVER_S} s after the faults")
                    return
                await asyncio.sleep(0.1)

    async def _serves(self, daemon: sites.Daemon) -> bool:
        for target in ("/s/x", "/p/x"):
            with contextlib.suppress(OSError, TimeoutError):
                reply = await self._site.get(daemon, target)
                if reply.status == 200 and reply.get_header(b"missing-parts") in (None, b"0"):
                    continue
            return False
        return True


def publish(site: sites.Site, shards: list[str]) -> None:
    """Publish the routes of the soak."""
    unsafe = sites.plain_route(name="r-unsafe", pathPrefix="/u/", type="non_idempotent")
    site.publish(sites.search_route(*shards), sites.plain_route(), unsafe)


async def play(seed: int, seconds: float) -> tuple[check.Ledger, list[str]]:
    """Run one seed."""
    site = sites.Site(has_links=True)
    rng = random.Random(seed)
    try:
        await site.start_store()
        for pool in [*(f"s{index}" for index in range(SHARDS)), "p"]:
            for _ in range(COPIES):
                await site.add_leaf(pool)
        publish(site, [f"s{index}" for index in range(SHARDS)])
        for _ in range(DAEMONS):
            await site.add_daemon()
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        soak = Soak(site, rng, seconds)
        ledger = await soak.run()
        for daemon in site.daemons:
            for line in daemon.log:
                if line["event"] == "internal_error":
                    ledger.blame(f"{daemon.host}: {line}")
        return ledger, soak.events
    finally:
        await site.close()


def main() -> None:
    """Run the seeds and tell what broke."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seeds", type=int, default=1, help="how many, from the first one on")
    parser.add_argument("--seconds", type=float, default=8.0, help="of faults for each seed")
    given = parser.parse_args()
    broken = 0
    for seed in range(given.seed, given.seed + given.seeds):
        ledger, events = asyncio.run(play(seed, given.seconds))
        outcomes = ", ".join(
            f"{kind} {status}: {count}"
            for (kind, status), count in sorted(ledger.outcomes.items(), key=str)
        )
        print(f"seed {seed}: {len(ledger.violations)} violations; {outcomes}", flush=True)
        for violation in ledger.violations[:20]:
            print(f"  {violation}")
        if ledger.violations:
            broken += 1
            print("  faults: " + "; ".join(events))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
