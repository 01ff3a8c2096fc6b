"""Plays the process-related entries of a day of a site file: python -m soak.replay SITE.toml DAY.

Each daemon is an ordinary process, started by the `run` command of the clone's deploy file and
supervised without a look at its state. Store and leaves are stand-ins; a `platform_down` affects
all daemons. Entries that affect only leaves, links or clocks are left out.
"""

import argparse
import asyncio
import collections
import contextlib
import random
import signal
import sys
import time
import tomllib
import typing

from bench import site as sites
from soak import supervisor

ZONES = ("a", "a", "a", "b", "b", "b", "c", "c")
SHARDS = tuple(f"s{index}" for index in range(10))
SEARCHES_PER_S = 75.0
RECOVERY_S = 12.0
MIN_FAULT_S = 3.0  # duration of an entry without `for_s`


class Replay:
    """Plays the entries of a day against a site."""

    def __init__(
        self, site: supervisor.SupervisedSite, rng: random.Random, options: supervisor.Options
    ) -> None:
        self._site = site
        self._rng = rng
        self._options = options
        self._routes = 0  # routes that `big_config` has added
        self._is_over = False
        self.outcomes: collections.Counter = collections.Counter()
        self.unready: list[str] = []  # hosts of daemons that did not recover
        self.probed: list[dict] = []
        self.versions = 0
        self.config_bytes = 0  # of the last version

    async def play(self, day: dict, length_s: float) -> None:
        """Play the day and its closing fault, wait for the recovery and stop all daemons."""
        scale = self._options.time_scale
        for _ in range(self._options.callers):
            self._site.spawn(self._call())
        entries = [self._start(entry) for entry in [*day.get("plan", ()), *day.get("faults", ())]]
        await asyncio.gather(asyncio.sleep(length_s * scale), *entries)
        if closing := day.get("closing"):
            self.publish()
            for daemon in self._site.daemons:
                self._site.kill(daemon, closing.get("down_s", 1.0) * scale)
            await asyncio.sleep(closing.get("down_s", 1.0) * scale + RECOVERY_S / 2)
        self.unready = await self._find_unready()
        self._is_over = self._site.is_closing = True
        await asyncio.gather(*map(self._site.stop, self._site.daemons))

    async def _find_unready(self) -> list[str]:
        """Return the hosts of the daemons that do not become ready in time."""
        tasks = {
            daemon.host: self._site.spawn(self._site.wait_ready(daemon))
            for daemon in self._site.daemons
        }
        done, _ = await asyncio.wait(tasks.values(), timeout=RECOVERY_S)
        ready = {task for task in done if task.exception() is None}
        return [host for host, task in tasks.items() if task not in ready]

    async def _start(self, entry: dict) -> None:
        play = getattr(self, f"_play_{entry['kind']}", None)
        if play is not None:
            scale = self._options.time_scale
            await asyncio.sleep(entry["at"] * scale)
            for_s = entry.get("for_s", MIN_FAULT_S) * scale
            await play(entry, for_s, entry.get("gap_s", 0.0) * scale)

    def _choose(self, entry: dict, share: float) -> list[sites.Daemon]:
        daemons = self._site.daemons
        count = entry.get("count") or max(1, round(entry.get("share", share) * len(daemons)))
        return self._rng.sample(daemons, min(count, len(daemons)))

    async def _play_hup(self, entry: dict, for_s: float, gap_s: float) -> None:
        chosen = self._choose(entry, 0.3)
        delays = [self._rng.uniform(0.0, gap_s) for _ in chosen]
        await asyncio.gather(*map(self._site.reload, chosen, delays))

    async def _play_roll_term(self, entry: dict, for_s: float, gap_s: float) -> None:
        for daemon in self._choose(entry, 1.0):
            self._site.spawn(self._site.stop(daemon))
            await asyncio.sleep(gap_s)

    async def _play_herd_kill(self, entry: dict, for_s: float, gap_s: float) -> None:
        down_s = for_s if "power" in entry.get("how", "") else 0.0
        for daemon in self._choose(entry, 0.6):
            self._site.kill(daemon, down_s)

    _play_node_kill = _play_herd_kill

    async def _play_node_freeze(self, entry: dict, for_s: float, gap_s: float) -> None:
        chosen = self._choose(entry, 0.1)
        for number, pause_s in ((signal.SIGSTOP, for_s), (signal.SIGCONT, 0.0)):
            for daemon in chosen:
                self._site.order(daemon, number)
            await asyncio.sleep(pause_s)

    async def _play_platform_down(self, entry: dict, for_s: float, gap_s: float) -> None:
        self._site.store.fault = "refuse" if "busy" in entry.get("how", "") else "silent"
        await asyncio.sleep(for_s)
        self._site.store.fault = ""

    async def _play_config_change(self, entry: dict, for_s: float, gap_s: float) -> None:
        self.publish()

    async def _play_big_config(self, entry: dict, for_s: float, gap_s: float) -> None:
        self._routes += entry["count"]
        self.publish()

    async def _play_config_storm(self, entry: dict, for_s: float, gap_s: float) -> None:
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            self.publish()
            await asyncio.sleep(gap_s)

    def publish(self) -> None:
        """Publish a configuration with other timeouts than the last one."""
        timeout_ms = self._rng.randint(1000, 1400)
        padding = "x" * (1024 * self._options.config_kb // max(1, self._routes))
        routes = [
            sites.plain_route(name=f"r-{number}", pathPrefix=f"/more/{number}/{padding}/")
            for number in range(self._routes)
        ]
        search = sites.search_route(*SHARDS, timeoutMs=timeout_ms)
        self._site.publish(search, sites.plain_route(), *routes)
        self.versions += 1
        self.config_bytes = len(self._site.store.items["op/config"]["value"]) * 3 // 4

    async def _call(self) -> None:
        """Search as one caller that keeps its connection until the daemon closes it."""
        interval_s = self._options.callers / SEARCHES_PER_S
        while not self._is_over:
            await asyncio.sleep(self._rng.uniform(0.0, interval_s))
            try:
                reader, writer = await self._site.connect(self._rng.choice(self._site.daemons))
            except OSError:
                self.outcomes["no connection"] += 1
                continue
            with contextlib.closing(writer):
                while await self._search(reader, writer):
                    await asyncio.sleep(self._rng.uniform(0.0, 2 * interval_s))

    async def _search(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        writer.write(self._site.make_request("/s/x", 1200))
        try:
            async with asyncio.timeout(3.0):
                reply, keeps_alive = await sites.read_response(reader)
        except (OSError, TimeoutError, EOFError):
            self.outcomes["no response"] += 1
            return False
        self.outcomes[reply.status] += 1
        return keeps_alive


async def run(
    day: dict,
    length_s: float,
    options: supervisor.Options,
    probe: typing.Callable[[supervisor.SupervisedSite], typing.Coroutine] | None = None,
) -> tuple[str, supervisor.SupervisedSite, Replay]:
    """Play a day while a probe runs; return a title, the site, which is closed, and the replay."""
    rng = random.Random(options.seed)
    site = supervisor.SupervisedSite(options, rng)
    replay = Replay(site, rng, options)
    try:
        await site.start_store()
        for pool in [*SHARDS, "p"]:
            for zone in sorted(set(ZONES)):
                await site.add_leaf(pool, zone)
        replay.publish()
        for zone in ZONES:
            await site.add_daemon(zone)
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        probing = site.spawn(probe(site)) if probe else None
        await replay.play(day, length_s)
        if probing:
            replay.probed = await probing
        await asyncio.sleep(1.0)
    finally:
        await site.close()
    return f"{day['name']} seed {options.seed}", site, replay


def report(title: str, site: supervisor.SupervisedSite, replay: Replay) -> bool:
    """Print figures and the faulty ends; return whether there are none."""
    faults = [life for life in site.lives if life.judge()]
    memory_mib = max(life.peak_kib for life in site.lives) / 1024
    descriptors = max(life.peak_descriptors for life in site.lives)
    cpu_s = max(life.cpu_s for life in site.lives)
    print(
        f"{title}: {len(site.lives)} processes, {len(faults)} faulty ends;"
        f" peak {memory_mib:.0f} MiB, {descriptors} descriptors, {cpu_s:.1f} s of processor;"
        f" {replay.versions} versions, the last of {replay.config_bytes} bytes;"
        f" {dict(replay.outcomes)}"
    )
    for figures in replay.probed:
        print(f"  readiness answers in ms: {figures}")
    for life in faults:
        print(life.describe())
    for host in replay.unready:
        print(f"  {host}: not ready {RECOVERY_S:.0f} s after the last fault")
    return not faults and not replay.unready


def load_day(path: str, name: str) -> tuple[dict, float]:
    """Return a day of a site file and its length in seconds."""
    with open(path, "rb") as file:
        table = tomllib.load(file)
    days = {day["name"]: day for day in table["day"]}
    if name not in days:
        raise KeyError(f"{path} has no day {name!r}: choose one of {', '.join(days)}")
    return days[name], days[name].get("length_s", table["length_s"])


def main() -> None:
    """Play a day and print the faulty ends; exit with status 1 if there are any."""
    parser = argparse.ArgumentParser(prog="soak.replay", description=__doc__)
    parser.add_argument("site")
    parser.add_argument("day")
    supervisor.add_flags(parser, supervisor.Options)
    arguments = vars(parser.parse_args())
    day, length_s = load_day(arguments.pop("site"), arguments.pop("day"))
    result = asyncio.run(run(day, length_s, supervisor.Options(**arguments)))
    sys.exit(0 if report(*result) else 1)


if __name__ == "__main__":
    main()
