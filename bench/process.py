"""Starts, watches and ends the processes of a measurement or test, by id."""

import os
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

import attrs
import msgspec

WAIT_S = 60.0  # for a condition, wide so that a busy machine fails no test
POLL_S = 0.03
_GIVEN: set[str] = set()  # addresses that this process gave out


def free_address() -> str:
    """Return a loopback address that nobody listens on.

    The IP number is this process's own, so that no connection going out takes the port.
    """
    host = f"127.{1 + os.getpid() // 65536 % 250}.{os.getpid() // 256 % 256}.{os.getpid() % 256}"
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            place = f"{host}:{probe.getsockname()[1]}"
        if place not in _GIVEN:
            _GIVEN.add(place)
            return place


def send_request(
    url: str, body: typing.Any = None, headers: dict | None = None, timeout: float = 30.0
):
    """Return status, decoded body and headers of one HTTP call; POST when there is a body."""
    data = None if body is None else msgspec.json.encode(body)
    if isinstance(body, bytes):
        data = body
    request = urllib.request.Request(url, data, headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, _decode(response.read()), dict(response.headers)
    except urllib.error.HTTPError as error:
        return error.code, _decode(error.read()), dict(error.headers)


def _decode(blob: bytes) -> typing.Any:
    try:
        return msgspec.json.decode(blob)
    except msgspec.DecodeError:
        return blob.decode(errors="replace")


def wait_for(condition: typing.Callable[[], typing.Any], what: str, seconds: float = WAIT_S):
    """Return the first true value of a condition; raise when it stays false."""
    until = time.monotonic() + seconds
    while True:
        try:
            value = condition()
        except (OSError, ValueError):
            value = None
        if value:
            return value
        if time.monotonic() > until:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(POLL_S)


@attrs.define
class Process:
    """One started process."""

    popen: subprocess.Popen

    @classmethod
    def start(cls, module: str, *flags: str, stderr: typing.Any = subprocess.DEVNULL):
        """Start a module of the project."""
        return cls(subprocess.Popen([sys.executable, "-m", module, *flags], stderr=stderr))

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """End it gracefully and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(WAIT_S)

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        total = 0
        for task in os.listdir(f"/proc/{self.popen.pid}/task"):
            with open(f"/proc/{self.popen.pid}/task/{task}/schedstat") as file:
                total += int(file.read().split()[0])
        return total / 1e9

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        with open(f"/proc/{self.popen.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
