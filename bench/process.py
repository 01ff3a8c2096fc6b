"""Starts, monitors and stops the processes of a measurement or test, each by its process id."""

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

from bench import memory

WAIT_S = 60.0  # timeout of waits; long, so that tests do not fail on a busy machine
POLL_S = 0.03
_ASSIGNED: set[str] = set()  # addresses that free_address has returned


def free_address() -> str:
    """Return a loopback address and port that no process listens on.

    The IP address is specific to this process, so that no outgoing connection takes the port.
    """
    host = f"127.{1 + os.getpid() // 65536 % 250}.{os.getpid() // 256 % 256}.{os.getpid() % 256}"
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            candidate = f"{host}:{probe.getsockname()[1]}"
        if candidate not in _ASSIGNED:
            _ASSIGNED.add(candidate)
            return candidate


def send_request(
    url: str, body: typing.Any = None, headers: dict | None = None, timeout: float = 30.0
):
    """Send an HTTP request and return status, decoded body and headers; POST if there is a body."""
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
    """Poll a condition and return its first true value; raise TimeoutError if there is none."""
    deadline = time.monotonic() + seconds
    while True:
        try:
            value = condition()
        except (OSError, ValueError):
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {seconds} s waiting for {what}")
        time.sleep(POLL_S)


@attrs.define
class Process:
    """A started process."""

    popen: subprocess.Popen

    @classmethod
    def start(cls, module: str, *flags: str, stderr: typing.Any = subprocess.DEVNULL):
        """Start a module of the project in a new process."""
        return cls(subprocess.Popen([sys.executable, "-m", module, *flags], stderr=stderr))

    def signal(self, number: int) -> None:
        """Send a signal to this process only; do nothing if it has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self) -> int:
        """Stop the process gracefully with SIGTERM and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(WAIT_S)

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        total_ns = 0
        for task in os.listdir(f"/proc/{self.popen.pid}/task"):
            with open(f"/proc/{self.popen.pid}/task/{task}/schedstat") as file:
                total_ns += int(file.read().split()[0])
        return total_ns / 1e9

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return memory.resident_bytes(self.popen.pid) / 1e6
