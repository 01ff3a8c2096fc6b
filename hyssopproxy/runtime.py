"""Passes events to the reducer and executes its effects; makes no decisions itself."""

import asyncio
import time
import traceback
import typing

import structlog

from hyssopproxy import effect as effects
from hyssopproxy import event as events
from hyssopproxy import metric
from hyssopproxy import peerlink
from hyssopproxy import platformclient
from hyssopproxy import problem
from hyssopproxy import pump
from hyssopproxy import reducer
from hyssopproxy import state as states
from hyssopproxy import targetclient
from hyssopproxy import wire

Reply = wire.Answer | problem.Problem | tuple[int, bytes]


class Runtime:
    """I/O of one daemon, on the asyncio event loop."""

    def __init__(self, state: states.State, link: peerlink.PeerLink, platform: str) -> None:
        self.state = state
        self.metrics = metric.Metrics()
        self.stopped = asyncio.Event()
        self._link = link
        self._platform = platformclient.HttpPlatformClient(platform, self.post)
        self._targets = targetclient.HttpTargetClient(self.post)
        self._loop = asyncio.get_running_loop()
        self._replies: dict[int, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()
        self._pump = pump.Pump(self._reduce, self._execute, self._handle_error)
        self._log = structlog.get_logger()

    def start(self) -> None:
        """Start the periodic tick and the receiver of peer messages."""
        self._start_task(self._receive_peer_messages())
        self.post(events.Tick(time.monotonic()))

    def post(self, event: typing.Any) -> None:
        """Pass an event to the reducer and execute the resulting effects."""
        self._pump.post(event)

    def _reduce(self, event: typing.Any, effects: list) -> None:
        reducer.reduce(self.state, event, time.monotonic(), effects)

    def _handle_error(self, error: Exception, cause: typing.Any) -> None:
        """Log an unexpected error, and refuse the request that met it."""
        self.state.counters["internal_errors"] += 1
        self._log.error(
            "internal_error",
            vm=self.state.identity.vm,
            message=f"unexpected error at {type(cause).__name__}",
            error=repr(error),
            where=traceback.format_exception(error)[-3:],
        )
        number = getattr(cause, "query_no", None) or getattr(cause, "action_no", None)
        if number is not None:
            self._reply(
                number,
                problem.Problem(
                    problem.Kind.INTERNAL_ERROR,
                    "an unexpected error, see the log",
                    problem.Execution.UNKNOWN,
                ),
            )

    def _execute(self, effect: typing.Any) -> None:
        _EXECUTORS[type(effect)](self, effect)

    def register_request(self) -> tuple[int, asyncio.Future]:
        """Return the number of a new request and the future of its reply."""
        number = self.state.next_number()
        future = self._loop.create_future()
        self._replies[number] = future
        return number, future

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._targets.close()
        await self._platform.close()
        self._link.close()

    async def _receive_peer_messages(self) -> None:
        while True:
            self.post(events.PeerMessageReceived(await self._link.receive()))

    def _start_task(self, coroutine: typing.Coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply(self, number: int, reply: Reply) -> None:
        future = self._replies.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def _answer_search(self, effect: effects.AnswerSearch) -> None:
        self._reply(effect.query_no, effect.answer)

    def _refuse(self, effect: effects.Refuse) -> None:
        self._reply(effect.number, effect.problem)

    def _answer_action(self, effect: effects.AnswerAction) -> None:
        self._reply(effect.action_no, (effect.status, effect.body))

    def _send_search(self, effect: effects.SendSearch) -> None:
        self._start_task(self._targets.search(effect))

    def _send_action(self, effect: effects.SendAction) -> None:
        self._start_task(self._targets.act(effect))

    def _send_cancel(self, effect: effects.SendCancel) -> None:
        self._start_task(self._targets.cancel(effect))

    def _probe(self, effect: effects.ProbeStatus) -> None:
        self._start_task(self._targets.probe(effect))

    def _send_peer(self, effect: effects.SendPeer) -> None:
        self._link.send(effect.address, effect.message)

    def _close_other_peers(self, effect: effects.KeepPeers) -> None:
        self._link.close_except(effect.addresses)

    def _read_config(self, effect: effects.ReadConfig) -> None:
        self._start_task(self._platform.read_config(effect))

    def _read_vms(self, effect: effects.ReadVMs) -> None:
        self._start_task(self._platform.read_vms())

    def _schedule_event(self, effect: effects.ScheduleEvent) -> None:
        self._loop.call_at(effect.at, self.post, effect.event)

    def _write_log(self, effect: effects.Log) -> None:
        self._log.info(effect.name, vm=self.state.identity.vm, **effect.fields)

    def _stop(self, effect: effects.StopServing) -> None:
        self.stopped.set()


_EXECUTORS: dict[type, typing.Callable] = {
    effects.AnswerSearch: Runtime._answer_search,
    effects.Refuse: Runtime._refuse,
    effects.AnswerAction: Runtime._answer_action,
    effects.SendSearch: Runtime._send_search,
    effects.SendAction: Runtime._send_action,
    effects.SendCancel: Runtime._send_cancel,
    effects.ProbeStatus: Runtime._probe,
    effects.SendPeer: Runtime._send_peer,
    effects.KeepPeers: Runtime._close_other_peers,
    effects.ReadConfig: Runtime._read_config,
    effects.ReadVMs: Runtime._read_vms,
    effects.ScheduleEvent: Runtime._schedule_event,
    effects.Log: Runtime._write_log,
    effects.StopServing: Runtime._stop,
}
