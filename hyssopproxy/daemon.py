"""The daemon hyssopproxyd."""

import asyncio
import functools
import gc
import os
import random
import signal
import sys
import time

import defopt
import structlog

from hyssopproxy import event
from hyssopproxy import peerlink
from hyssopproxy import problem
from hyssopproxy import runtime as runtimes
from hyssopproxy import server
from hyssopproxy import settings as settings_module
from hyssopproxy import signals
from hyssopproxy import state as states

KEY_FLAG = "--peer-key"
GC_THRESHOLD = 50_000  # allocations between garbage collections; rarer ones shorten latency tails


def main() -> None:
    """Run hyssopproxyd."""
    defopt.run(run, argv=join_values(sys.argv[1:]), cli_options="all", no_negated_flags=True)


def join_values(argv: list[str]) -> list[str]:
    """Return the arguments with each key joined to its flag, as a key may begin with a dash.

    >>> join_values(["--vm", "a", "--peer-key", "-k"])
    ['--vm', 'a', '--peer-key=-k']
    """
    joined: list[str] = []
    for argument in argv:
        if joined and joined[-1] == KEY_FLAG:
            joined[-1] = f"{KEY_FLAG}={argument}"
        else:
            joined.append(argument)
    return joined


def run(
    *,
    vm: str | None = None,
    failure_domain: str | None = None,
    listen: str | None = None,
    admin: str | None = None,
    peer: str | None = None,
    platform: str | None = None,
    peer_key: str | None = None,
    seeds: str | None = None,
    action_window_s: str | None = None,
    stop_grace_s: str | None = None,
    seed: str | None = None,
) -> None:
    """Answer searches over many shards.

    Each flag may be given as an environment variable instead, such as HYSSOPPROXY_VM for --vm.

    :param vm: name of this VM in the published configuration
    :param failure_domain: failure domain of this VM
    :param listen: IP:PORT for callers
    :param admin: IP:PORT for operators; default 127.0.0.1:9090
    :param peer: IP:PORT for the other daemons
    :param platform: IP:PORT of the platform's configuration service
    :param peer_key: secret key of the fleet, made by hyssopctl key
    :param seeds: peers to get the configuration from while the platform is down, IP:PORT,IP:PORT
    :param action_window_s: seconds in which a caller may repeat an Idempotency-Key
    :param stop_grace_s: seconds after SIGTERM in which connections are still accepted
    :param seed: seed of the random generator; 0 for one from the operating system
    """
    flags = dict(locals())
    try:
        settings = settings_module.read(flags, os.environ)
    except problem.UserError as error:
        print(f"hyssopproxyd: the settings are refused:\n{error}", file=sys.stderr)
        raise SystemExit(2) from None
    configure_logs()
    sys.exit(asyncio.run(serve(settings)))


def configure_logs() -> None:
    """Write logs to standard error, one JSON object per line."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def make_state(settings: settings_module.Settings) -> states.State:
    """Return the initial state of a daemon."""
    rng = random.Random(settings.seed or None)
    identity = states.Identity(
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        peer_address=f"{settings.peer.host}:{settings.peer.port}",
        incarnation=time.time_ns() // 1000,
    )
    return states.State(
        identity=identity,
        rng=rng,
        started_at=time.monotonic(),
        action_window_s=settings.action_window_s,
        stop_grace_s=settings.stop_grace_s,
        seeds=settings.seeds,
    )


async def serve(settings: settings_module.Settings) -> int:
    """Serve until a signal arrives; return the exit status."""
    state = make_state(settings)
    try:
        link = peerlink.PeerLink(state.identity.peer_address, settings.peer_key, state.counters)
    except OSError as error:
        print(f"hyssopproxyd: --peer {settings.peer}: {error}: give a free port", file=sys.stderr)
        return 2
    runtime = runtimes.Runtime(state, link, settings.platform)
    endpoints = server.Endpoints(runtime)
    servers = [
        server.make_server(endpoints.operator_app(), settings.admin.host, settings.admin.port),
        server.make_server(endpoints.caller_app(), settings.listen.host, settings.listen.port),
    ]
    try:
        listeners = [http_server.bind() for http_server in servers]
    except OSError as error:
        print(f"hyssopproxyd: --admin or --listen: {error}: give free ports", file=sys.stderr)
        return 2
    _watch_signals(runtime, servers)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    runtime.start()
    server_tasks = [
        asyncio.create_task(http_server.serve([listener]))
        for http_server, listener in zip(servers, listeners, strict=True)
    ]
    stop_task = asyncio.create_task(runtime.stopped.wait())
    await asyncio.wait([stop_task, *server_tasks], return_when=asyncio.FIRST_COMPLETED)
    for http_server in servers[::-1]:
        http_server.should_exit = True
    results = await asyncio.gather(*server_tasks, return_exceptions=True)
    await runtime.close()
    signals.defer(signals.INTERACTIVE)  # the closed loop has no handlers left
    return 2 if any(isinstance(result, BaseException) for result in results) else 0


def _watch_signals(runtime: runtimes.Runtime, servers: list[server.Server]) -> None:
    """Stop gracefully on SIGTERM or SIGINT; exit at once on a second one of them.

    SIGHUP is logged only, because flags and environment variables cannot change.
    """
    logger = structlog.get_logger()

    def handle() -> None:
        if runtime.state.stopping_at is not None:
            os._exit(1)
        runtime.post(event.StopRequested())

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(loop, signal_number, handle)
    signals.handle(loop, signal.SIGHUP, functools.partial(logger.info, "signal_ignored"))
    signals.deliver(signals.INTERACTIVE)


if __name__ == "__main__":
    main()
