"""Carries out the reducer's effects over the platform's protocols; decides nothing."""

import asyncio
import collections
import typing

from hyssopproxy import metric
from hyssopproxy import pump
from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import reducer
from hyssopproxy.engine import state as states
from hyssopproxy.platform import ingress as ingresses
from hyssopproxy.platform import leaf
from hyssopproxy.platform import store
from hyssopproxy.transport import clock
from hyssopproxy.transport import journal as journals
from hyssopproxy.transport import server


class Runtime:
    """One daemon's event loop side."""

    def __init__(self, state: states.State, journal: journals.Journal, peer_port: int) -> None:
        self.state = state
        self.journal = journal
        self.metrics = metric.Metrics()
        self.ended = asyncio.Event()
        self.shelf = store.Shelf()
        self.ingress = ingresses.Ingress(self.post, state.next_number)
        self.front = server.Server(self.ingress)
        self._store = store.StoreClient(self.post, self.shelf)
        self._leafs = leaf.LeafClient(self.post)
        self._peers: asyncio.DatagramTransport | None = None
        self._peer_port = peer_port
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._pump = pump.Pump(self._reduce, self._perform)

    async def start(self) -> None:
        """Begin to tick and to listen to other daemons."""
        self._peers, _ = await self._loop.create_datagram_endpoint(
            lambda: _PeerProtocol(self.post, self.state.counters),
            local_addr=(self.state.settings.ip, self._peer_port),
        )
        self.post(event.Tick())

    def post(self, happened: typing.Any) -> None:
        """Give the reducer one event and carry out its effects."""
        self._pump.post(happened)
        self.ingress.moves_callers = self.state.unready_reason in ("stopping", "isolated")
        if self.state.table is not None:
            self.ingress.limits = self.state.table.limits

    def _reduce(self, happened: typing.Any) -> list:
        return reducer.reduce(self.state, happened, clock.read())

    def _perform(self, wanted: typing.Any) -> None:
        _PERFORM[type(wanted)](self, wanted)

    def _spawn(self, work: typing.Coroutine) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, wanted: effect.Send) -> None:
        request = self.ingress.requests.get(wanted.query_no)
        if request is not None:
            self._leafs.send(wanted, request)

    def _cancel(self, wanted: effect.Cancel) -> None:
        self._leafs.cancel(wanted.attempt_no, wanted.only_unsent)

    def _deliver(self, wanted: effect.Deliver) -> None:
        self.ingress.deliver(wanted)

    def _deliver_search(self, wanted: effect.DeliverSearch) -> None:
        self.ingress.deliver_search(wanted)

    def _refuse(self, wanted: effect.Refuse) -> None:
        self.ingress.refuse(wanted)

    def _wake(self, wanted: effect.ScheduleEvent) -> None:
        delay = max(0.0, wanted.at - clock.read())
        self._loop.call_later(delay, self.post, wanted.event)

    def _read_page(self, wanted: effect.ReadPage) -> None:
        self._spawn(self._store.read_page(wanted))

    def _read_changes(self, wanted: effect.ReadChanges) -> None:
        self._spawn(self._store.read_changes(wanted))

    def _send_peer(self, wanted: effect.SendPeer) -> None:
        blob = datagram.encode(wanted.message)
        self._peers.sendto(blob, (wanted.ip, self._peer_port))

    def _close_target(self, wanted: effect.CloseTarget) -> None:
        self._leafs.close_target(wanted.target_id)

    def _log(self, wanted: effect.Log) -> None:
        if wanted.name == "request":
            self.metrics.record(wanted.fields["outcome"], wanted.fields["ms"] / 1000)
        self.journal.write(wanted.name, wanted.fields, clock.read(), wanted.is_urgent)

    def _stop_accepting(self, wanted: effect.StopAccepting) -> None:
        self.front.stop_accepting()

    def _end(self, wanted: effect.EndProcess) -> None:
        self.ended.set()


class _PeerProtocol(asyncio.DatagramProtocol):
    """Datagrams of other daemons."""

    def __init__(
        self, post: typing.Callable[[typing.Any], None], counters: collections.Counter
    ) -> None:
        self._post = post
        self._counters = counters

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        message = datagram.decode(data)
        if message is None:
            self._counters["datagrams_garbled"] += 1
        else:
            self._post(_PEER_EVENTS[type(message)](message))

    def error_received(self, exc: OSError) -> None:
        self._counters["datagrams_refused"] += 1


_PEER_EVENTS: dict[type, type] = {
    datagram.Gossip: event.GossipReceived,
    datagram.Reports: event.ReportsReceived,
    datagram.LostDomains: event.LostDomainsReceived,
    datagram.Ping: event.PingReceived,
}

_PERFORM: dict[type, typing.Callable] = {
    effect.Send: Runtime._send,
    effect.Cancel: Runtime._cancel,
    effect.Deliver: Runtime._deliver,
    effect.DeliverSearch: Runtime._deliver_search,
    effect.Refuse: Runtime._refuse,
    effect.ScheduleEvent: Runtime._wake,
    effect.ReadPage: Runtime._read_page,
    effect.ReadChanges: Runtime._read_changes,
    effect.SendPeer: Runtime._send_peer,
    effect.CloseTarget: Runtime._close_target,
    effect.Log: Runtime._log,
    effect.StopAccepting: Runtime._stop_accepting,
    effect.EndProcess: Runtime._end,
}
