"""Emulated platform: a configuration value that can be read and watched."""

import asyncio
import sys
import time

import defopt
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from hyssopproxy.emulator import http

POLL_S = 0.005


class Platform:
    """Holds the configuration, the fault mode of the platform and counts of the reads."""

    def __init__(self) -> None:
        self.blob = b""
        self.version = 0
        self.previous: tuple[int, bytes] = (0, b"")
        self.mode = "up"  # up, down, old (serves the previous value), frozen (no watch times out)
        self.leaving: list[str] = []
        self.reads = 0
        self.reads_by_second: dict[int, int] = {}

    def app(self) -> starlette.applications.Starlette:
        """Return the application; only the emulator has /control, the real platform does not."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/v1/config", self._config),
                route("/v1/vms", self._vms),
                route("/control", self._control, methods=["POST"]),
                route("/control", self._report),
            ]
        )

    def _count_read(self) -> None:
        self.reads += 1
        second = int(time.time())
        self.reads_by_second[second] = self.reads_by_second.get(second, 0) + 1

    async def _config(self, request: starlette.requests.Request) -> starlette.responses.Response:
        self._count_read()
        if self.mode == "down":
            return starlette.responses.Response(status_code=503)
        after = int(request.query_params.get("after", 0))
        deadline = time.monotonic() + int(request.query_params.get("wait_ms", 0)) / 1000
        while True:
            version, blob = self.previous if self.mode == "old" else (self.version, self.blob)
            if version != after and version:
                return starlette.responses.Response(blob, media_type="application/json")
            if time.monotonic() >= deadline and self.mode != "frozen":
                return starlette.responses.Response(status_code=304 if after else 503)
            await asyncio.sleep(POLL_S)

    async def _vms(self, request: starlette.requests.Request) -> starlette.responses.Response:
        self._count_read()
        if self.mode == "down":
            return starlette.responses.Response(status_code=503)
        value = msgspec.json.decode(self.blob) if self.blob else {"vms": {}}
        live = [name for name in value["vms"] if name not in self.leaving]
        return http.respond({"live": live, "leaving": self.leaving})

    async def _control(self, request: starlette.requests.Request) -> starlette.responses.Response:
        """Apply {"value"}, {"raw", "version"}, {"mode"} or {"leaving"}."""
        settings = await http.read_json(request)
        if "value" in settings:
            self._publish(settings["value"]["version"], msgspec.json.encode(settings["value"]))
        if "raw" in settings:
            self._publish(settings["version"], settings["raw"].encode())
        self.mode = settings.get("mode", self.mode)
        self.leaving = settings.get("leaving", self.leaving)
        return http.respond({"version": self.version})

    def _publish(self, version: int, blob: bytes) -> None:
        self.previous = (self.version, self.blob)
        self.version, self.blob = version, blob

    async def _report(self, request: starlette.requests.Request) -> starlette.responses.Response:
        by_second = {str(second): count for second, count in self.reads_by_second.items()}
        return http.respond({"reads": self.reads, "reads_by_second": by_second})


def run(*, listen: str) -> None:
    """Serve an emulated platform.

    :param listen: IP:PORT
    """
    http.serve(Platform().app(), listen)


if __name__ == "__main__":
    defopt.run(run, argv=sys.argv[1:])
