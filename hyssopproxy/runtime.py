"""Carries out the reducer's effects and feeds it events; decides nothing."""

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
    """One daemon's event loop side."""

    def __init__(self, state: states.State, link: peerlink.PeerLink, platform: str) -> None:
        self.state = state
        self.metrics = metric.Metrics()
        self.stopped = asyncio.Event()
        self._link = link
        self._platform = platformclient.HttpPlatformClient(platform, self.post)
        self._targets = targetclient.HttpTargetClient(self.post)
        self._loop = asyncio.get_running_loop()
        self._replies: dict[int, asyncio.Future] = {}
        self._calls: set[asyncio.Task] = set()
        self._pump = pump.Pump(self._reduce, self._perform)
        self._log = structlog.get_logger()

    def start(self) -> None:
        """Begin to tick and to listen to peers."""
        self._call(self._listen())
        self.post(event.Tick(time.monotonic()))

    def post(self, happened: typing.Any) -> None:
        """Give the reducer one event and carry out its effects."""
        self._pump.post(happened)

    def _reduce(self, happened: typing.Any) -> list:
        return reducer.reduce(self.state, happened, time.monotonic())

    def _perform(self, wanted: typing.Any) -> None:
        _PERFORM[type(wanted)](self, wanted)

    def expect(self) -> tuple[int, asyncio.Future]:
        """Return a new number and the future of its reply."""
        number = self.state.next_number()
        future = self._loop.create_future()
        self._replies[number] = future
        return number, future

    async def close(self) -> None:
        """End all calls and connections."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        await self._targets.close()
        await self._platform.close()
        self._link.close()

    async def _listen(self) -> None:
        while True:
            self.post(event.PeerMessageReceived(await self._link.receive()))

    def _call(self, work: typing.Coroutine) -> None:
        task = self._loop.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _reply(self, number: int, reply: Reply) -> None:
        future = self._replies.pop(number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def _answer_search(self, wanted: effect.AnswerSearch) -> None:
        self._reply(wanted.query_no, wanted.answer)

    def _refuse(self, wanted: effect.Refuse) -> None:
        self._reply(wanted.number, wanted.problem)

    def _answer_action(self, wanted: effect.AnswerAction) -> None:
        self._reply(wanted.action_no, (wanted.status, wanted.body))

    def _send_search(self, wanted: effect.SendSearch) -> None:
        self._call(self._targets.search(wanted))

    def _send_action(self, wanted: effect.SendAction) -> None:
        self._call(self._targets.act(wanted))

    def _send_cancel(self, wanted: effect.SendCancel) -> None:
        self._call(self._targets.cancel(wanted))

    def _probe(self, wanted: effect.ProbeStatus) -> None:
        self._call(self._targets.probe(wanted))

    def _send_peer(self, wanted: effect.SendPeer) -> None:
        self._link.send(wanted.address, wanted.message)

    def _keep_peers(self, wanted: effect.KeepPeers) -> None:
        self._link.forget(wanted.addresses)

    def _read_config(self, wanted: effect.ReadConfig) -> None:
        self._call(self._platform.read_config(wanted))

    def _read_vms(self, wanted: effect.ReadVMs) -> None:
        self._call(self._platform.read_vms())

    def _wake(self, wanted: effect.ScheduleEvent) -> None:
        self._loop.call_at(wanted.at, self.post, wanted.event)

    def _write_log(self, wanted: effect.Log) -> None:
        self._log.info(wanted.name, vm=self.state.identity.vm, **wanted.fields)

    def _stop(self, wanted: effect.StopServing) -> None:
        self.stopped.set()


_PERFORM: dict[type, typing.Callable] = {
    effect.AnswerSearch: Runtime._answer_search,
    effect.Refuse: Runtime._refuse,
    effect.AnswerAction: Runtime._answer_action,
    effect.SendSearch: Runtime._send_search,
    effect.SendAction: Runtime._send_action,
    effect.SendCancel: Runtime._send_cancel,
    effect.ProbeStatus: Runtime._probe,
    effect.SendPeer: Runtime._send_peer,
    effect.KeepPeers: Runtime._keep_peers,
    effect.ReadConfig: Runtime._read_config,
    effect.ReadVMs: Runtime._read_vms,
    effect.ScheduleEvent: Runtime._wake,
    effect.Log: Runtime._write_log,
    effect.StopServing: Runtime._stop,
}
