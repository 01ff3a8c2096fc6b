"""Runs daemons as ordinary processes and restarts them, without a look at their state."""

import argparse
import asyncio
import collections
import os
import random
import resource
import signal
import time
import tomllib
import typing

import attrs

from bench import site as sites
from soak import life as lives

GRACE_S = 6.0
RESTART_S = (0.05, 0.5)  # delay of a restart
SAMPLE_S = 0.1  # interval between looks at memory and descriptors


@attrs.frozen
class Options:
    """What to run, and the limits of the processes."""

    clone: str = "."
    seed: int = 1
    time_scale: float = 1.0
    hup_after_start: bool = False  # SIGHUP within 100 ms of each start
    callers: int = 24
    config_kb: int = 0  # minimum size of a configuration
    max_descriptors: int = 0  # 0: as in this process
    max_memory_mb: int = 0  # address space


def add_flags(parser: argparse.ArgumentParser, options: type) -> None:
    """Add a flag for each field of a class of options."""
    for field in attrs.fields(options):
        flag = f"--{field.name.replace('_', '-')}"
        kind = {"action": "store_true"} if field.type is bool else {"type": field.type}
        parser.add_argument(flag, default=field.default, **kind)


class SupervisedSite(sites.Site):
    """Site whose daemons are run and restarted as a hosting platform does it."""

    def __init__(self, options: Options, rng: random.Random) -> None:
        super().__init__()
        with open(os.path.join(options.clone, "deploy/system.toml"), "rb") as file:
            self._role = tomllib.load(file)["roles"]["hyssopproxy"]
        self._options = options
        self._rng = rng
        self.lives: list[lives.Life] = []
        self._down_until: collections.Counter = collections.Counter()  # by host
        self._tasks: set[asyncio.Task] = set()
        self.is_closing = False

    def find_life(self, daemon: sites.Daemon) -> lives.Life:
        """Return the last process of a daemon."""
        return next(life for life in reversed(self.lives) if life.host == daemon.host)

    def spawn(self, coroutine: typing.Coroutine) -> asyncio.Task:
        """Start a task that ends with the site."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def start_daemon(self, daemon: sites.Daemon, *arguments: str) -> None:
        clone = os.path.abspath(self._options.clone)
        environ = {
            **{key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ},
            **self._role.get("env", {}),
            "PYTHONPATH": os.path.join(clone, "target/deps"),
            "HYSSOPPROXY_NODE_FILE": daemon.settings_path,
            "HYSSOPPROXY_METRICS_PORT": str(self.ports["metrics"]),
        }
        started_at = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *self._role["run"].split(),
            env=environ,
            cwd=clone,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=self._limit_process,
        )
        daemon.attach(process)
        life = lives.Life(daemon.host, process.pid, started_at)
        life.open()
        self.lives.append(life)
        reader = self.spawn(life.read_log(process.stdout))
        self.spawn(self._supervise(daemon, process, life, reader))
        if self._options.hup_after_start:
            self.spawn(self.reload(daemon, self._rng.uniform(0.0, 0.1)))

    def _limit_process(self) -> None:
        if self._options.max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self._options.max_descriptors,) * 2)
        if self._options.max_memory_mb:
            resource.setrlimit(resource.RLIMIT_AS, (self._options.max_memory_mb << 20,) * 2)

    async def _supervise(
        self,
        daemon: sites.Daemon,
        process: asyncio.subprocess.Process,
        life: lives.Life,
        reader: asyncio.Task,
    ) -> None:
        """Sample a process until it ends, note its end and start its successor."""
        ended = asyncio.ensure_future(process.wait())
        while not ended.done():
            life.sample()
            await asyncio.wait([ended], timeout=SAMPLE_S)
        life.end(ended.result(), time.monotonic())
        await asyncio.wait([reader], timeout=1.0)
        await asyncio.sleep(self._rng.uniform(*RESTART_S))
        while time.monotonic() < self._down_until[daemon.host]:
            await asyncio.sleep(0.02)
        if not self.is_closing:
            await self.start_daemon(daemon)

    def order(self, daemon: sites.Daemon, number: signal.Signals) -> bool:
        """Send a signal, whatever the state of the process; return False if it has ended."""
        return self.find_life(daemon).send(number, time.monotonic())

    async def reload(self, daemon: sites.Daemon, delay_s: float = 0.0) -> None:
        """Change the settings file and send SIGHUP."""
        await asyncio.sleep(delay_s)
        seeds = [
            f"{seed.host}:{self.ports['control']}" for seed in self._rng.sample(self.daemons, 3)
        ]
        self.write_settings(daemon, seeds)
        self.order(daemon, signal.SIGHUP)

    async def stop(self, daemon: sites.Daemon) -> None:
        """Stop a process by SIGTERM, by SIGKILL if it lives on after its grace."""
        life = self.find_life(daemon)
        self.order(daemon, signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if life.status is None:
            life.overran = life.send(signal.SIGKILL, time.monotonic())

    def kill(self, daemon: sites.Daemon, down_s: float) -> None:
        """Kill a process; its successor starts no sooner than after `down_s`."""
        self._down_until[daemon.host] = time.monotonic() + down_s
        self.order(daemon, signal.SIGKILL)

    async def close(self) -> None:
        self.is_closing = True
        for task in self._tasks:
            task.cancel()
        await super().close()
