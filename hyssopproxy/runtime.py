"""Passes events to the reducer and performs its effects; makes no decisions itself."""

import asyncio
import time
import typing

import structlog

from hyssopproxy import effect
from hyssopproxy import event
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
        self._pump = pump.Pump(self._reduce, self._perform)
        self._log = structlog.get_logger()

    def start(self) -> None:
        """Start the periodic tick and the receiver of peer messages."""
        self._spawn(self._listen())
        self.post(event.Tick(time.monotonic()))

    def post(self, posted_event: typing.Any) -> None:
        """Pass an event to the reducer and perform its effects."""
        self._pump.post(posted_event)

    def _reduce(self, posted_event: typing.Any) -> list:
        return reducer.reduce(self.state, posted_event, time.monotonic())

    def _perform(self, command: typing.Any) -> None:
        _PERFORMERS[type(command)](self, command)

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

    async def _listen(self) -> None:
        while True:
            self.post(event.PeerMessageReceived(await self._link.receive()))

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply(self, number: int, reply: Reply) -> None:
        future = self._replies.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def _answer_search(self, command: effect.AnswerSearch) -> None:
        self._reply(command.query_no, command.answer)

    def _refuse(self, command: effect.Refuse) -> None:
        self._reply(command.number, command.problem)

    def _answer_action(self, command: effect.AnswerAction) -> None:
        self._reply(command.action_no, (command.status, command.body))

    def _send_search(self, command: effect.SendSearch) -> None:
        self._spawn(self._targets.search(command))

    def _send_action(self, command: effect.SendAction) -> None:
        self._spawn(self._targets.act(command))

    def _send_cancel(self, command: effect.SendCancel) -> None:
        self._spawn(self._targets.cancel(command))

    def _probe(self, command: effect.ProbeStatus) -> None:
        self._spawn(self._targets.probe(command))

    def _send_peer(self, command: effect.SendPeer) -> None:
        self._link.send(command.address, command.message)

    def _close_other_peers(self, command: effect.KeepPeers) -> None:
        self._link.close_except(command.addresses)

    def _read_config(self, command: effect.ReadConfig) -> None:
        self._spawn(self._platform.read_config(command))

    def _read_vms(self, command: effect.ReadVMs) -> None:
        self._spawn(self._platform.read_vms())

    def _schedule_event(self, command: effect.ScheduleEvent) -> None:
        self._loop.call_at(command.at, self.post, command.event)

    def _write_log(self, command: effect.Log) -> None:
        self._log.info(command.name, vm=self.state.identity.vm, **command.fields)

    def _stop(self, command: effect.StopServing) -> None:
        self.stopped.set()


_PERFORMERS: dict[type, typing.Callable] = {
    effect.AnswerSearch: Runtime._answer_search,
    effect.Refuse: Runtime._refuse,
    effect.AnswerAction: Runtime._answer_action,
    effect.SendSearch: Runtime._send_search,
    effect.SendAction: Runtime._send_action,
    effect.SendCancel: Runtime._send_cancel,
    effect.ProbeStatus: Runtime._probe,
    effect.SendPeer: Runtime._send_peer,
    effect.KeepPeers: Runtime._close_other_peers,
    effect.ReadConfig: Runtime._read_config,
    effect.ReadVMs: Runtime._read_vms,
    effect.ScheduleEvent: Runtime._schedule_event,
    effect.Log: Runtime._write_log,
    effect.StopServing: Runtime._stop,
}
