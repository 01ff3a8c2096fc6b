"""Executes the reducer's effects over the platform's protocols; makes no decisions itself."""

import asyncio
import collections
import traceback
import typing

from hyssopproxy import address
from hyssopproxy import limit
from hyssopproxy import metric
from hyssopproxy import pump
from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect as effects
from hyssopproxy.engine import event as events
from hyssopproxy.engine import model
from hyssopproxy.engine import reducer
from hyssopproxy.engine import state as states
from hyssopproxy.engine import sync
from hyssopproxy.platform import ingress as ingresses
from hyssopproxy.platform import leaf
from hyssopproxy.platform import store
from hyssopproxy.transport import buffer
from hyssopproxy.transport import clock
from hyssopproxy.transport import journal
from hyssopproxy.transport import overflow
from hyssopproxy.transport import server


class Runtime:
    """Connects the reducer of a daemon to the event loop, the sockets and the log."""

    def __init__(
        self,
        state: states.State,
        logger: journal.Logger,
        peer_port: int,
        limits: limit.BufferLimits,
    ) -> None:
        self.state = state
        self.logger = logger
        self.metrics = metric.Metrics()
        self.ended = asyncio.Event()
        self.cache = store.ItemCache()
        self.cache_handler = store.CacheHandler(
            self.cache,
            lambda: sync.may_serve_followers(self.state, clock.read()),
            lambda: sync.data_age_s(self.state, clock.read()),
        )
        self.ingress = ingresses.Ingress(self.post, state.next_number)
        self.account = buffer.Account(limits.total_bytes)
        self.ingress.max_header_lines = limits.header_lines
        self.ingress.log_rejections = ingresses.RejectionLog(logger).write
        max_connections = overflow.bound_by_descriptors(limits.connections)
        self.front = server.Server(self.ingress, self.account, max_connections)
        self._store_client = store.StoreClient(self.post, self.cache, limits.store, self.account)
        self._leaf_client = leaf.LeafClient(self.post, limits.response, self.account)
        self._peer_transport: asyncio.DatagramTransport | None = None
        self._peer_port = peer_port
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._pump = pump.Pump(self._reduce, self._execute, self._handle_error)

    async def start(self) -> None:
        """Open the socket for datagrams from peers and post the first tick."""
        self._peer_transport, _ = await self._loop.create_datagram_endpoint(
            lambda: _PeerProtocol(self.post, self.state.counters),
            local_addr=(self.state.settings.ip, self._peer_port),
        )
        self.post(events.Tick())

    def post(self, event: typing.Any) -> None:
        """Pass an event to the reducer and execute the effects that it returns."""
        self._pump.post(event)
        self.ingress.closes_connections = self.state.unready_reason in ("stopping", "isolated")
        if self.state.table is not None:
            self.ingress.limits = self.state.table.limits
            self.ingress.requires_keys = self.state.table.requires_keys

    def _reduce(self, event: typing.Any, effects: list) -> None:
        reducer.reduce(self.state, event, clock.read(), effects)

    def _handle_error(self, error: Exception, cause: typing.Any) -> None:
        """Log an unexpected error, and fail the request, attempt or read that met it."""
        self.state.counters["internal_errors"] += 1
        fields = {
            "message": f"unexpected error at {type(cause).__name__}",
            "error": repr(error),
            "where": traceback.format_exception(error)[-3:],
        }
        self.logger.write("internal_error", fields, clock.read(), is_urgent=True)
        failed = _make_failure(cause)
        if failed is not None and type(failed) is not type(cause):
            self.post(failed)

    def _execute(self, effect: typing.Any) -> None:
        _EXECUTORS[type(effect)](self, effect)

    def _start_task(self, coroutine: typing.Coroutine, cause: typing.Any) -> None:
        task = self._loop.create_task(self._guard(coroutine, cause))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine: typing.Coroutine, cause: typing.Any) -> None:
        """Run a task of an effect; an unexpected error fails what the effect belongs to."""
        try:
            await coroutine
        except Exception as error:
            self._handle_error(error, cause)

    def _send(self, effect: effects.Send) -> None:
        request = self.ingress.requests.get(effect.query_no)
        if request is not None:
            self._leaf_client.send(effect, request)

    def _cancel(self, effect: effects.Cancel) -> None:
        self._leaf_client.cancel(effect.attempt_no, effect.only_unsent, effect.ends_unsent)

    def _deliver(self, effect: effects.Deliver) -> None:
        self.ingress.deliver(effect)

    def _deliver_search(self, effect: effects.DeliverSearch) -> None:
        self.ingress.deliver_search(effect)

    def _refuse(self, effect: effects.Refuse) -> None:
        self.ingress.refuse(effect)

    def _schedule_event(self, effect: effects.ScheduleEvent) -> None:
        delay = max(0.0, effect.at - clock.read())
        self._loop.call_later(delay, self.post, effect.event)

    def _read_page(self, effect: effects.ReadPage) -> None:
        self._start_task(self._store_client.read_page(effect), effect)

    def _read_changes(self, effect: effects.ReadChanges) -> None:
        self._start_task(self._store_client.read_changes(effect), effect)

    def _answer_followers(self, effect: effects.AnswerFollowers) -> None:
        self.cache_handler.answer_watches()

    def _send_peer(self, effect: effects.SendPeer) -> None:
        if not address.is_ip(effect.ip):  # a seed; asyncio may close the socket at odd names
            self.state.counters["datagrams_refused"] += 1
            return
        data = datagram.encode(effect.message)
        self._peer_transport.sendto(data, (effect.ip, self._peer_port))

    def _close_target(self, effect: effects.CloseTarget) -> None:
        self._leaf_client.close_target((effect.target_id, effect.started_at_ms))

    def _log(self, effect: effects.Log) -> None:
        if effect.name == "request":
            self.metrics.record(effect.fields["outcome"], effect.fields["ms"] / 1000)
        self.logger.write(effect.name, effect.fields, clock.read(), effect.is_urgent)

    def _stop_accepting(self, effect: effects.StopAccepting) -> None:
        self.front.stop_accepting()

    def _end(self, effect: effects.EndProcess) -> None:
        self.ended.set()


def _make_failure(cause: typing.Any) -> typing.Any:
    """Return the event that ends what an event or effect belongs to; None if it stands alone."""
    if isinstance(cause, effects.Send):
        return events.AttemptEnded(cause.attempt_no, model.Outcome.RESET, detail="internal_error")
    if hasattr(cause, "read_no"):
        return events.ReadFailed(cause.read_no, "internal_error")
    if hasattr(cause, "query_no"):
        return events.RequestFailed(cause.query_no)
    return None


class _PeerProtocol(asyncio.DatagramProtocol):
    """Decodes datagrams from peers into events."""

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
            self._post(PEER_EVENTS[type(message)](message))

    def error_received(self, exc: OSError) -> None:
        self._counters["datagrams_refused"] += 1


#: Event of each type of datagram.
PEER_EVENTS: dict[type, type] = {
    datagram.Gossip: events.GossipReceived,
    datagram.Reports: events.ReportsReceived,
    datagram.Answers: events.AnswersReceived,
    datagram.Misdirected: events.MisdirectedReceived,
    datagram.LostDomains: events.LostDomainsReceived,
    datagram.Ping: events.PingReceived,
    datagram.QuotaAsk: events.QuotaAskReceived,
    datagram.QuotaAnswer: events.QuotaAnswerReceived,
    datagram.Load: events.LoadReceived,
}

_EXECUTORS: dict[type, typing.Callable] = {
    effects.Send: Runtime._send,
    effects.Cancel: Runtime._cancel,
    effects.Deliver: Runtime._deliver,
    effects.DeliverSearch: Runtime._deliver_search,
    effects.Refuse: Runtime._refuse,
    effects.ScheduleEvent: Runtime._schedule_event,
    effects.ReadPage: Runtime._read_page,
    effects.ReadChanges: Runtime._read_changes,
    effects.AnswerFollowers: Runtime._answer_followers,
    effects.SendPeer: Runtime._send_peer,
    effects.CloseTarget: Runtime._close_target,
    effects.Log: Runtime._log,
    effects.StopAccepting: Runtime._stop_accepting,
    effects.EndProcess: Runtime._end,
}
