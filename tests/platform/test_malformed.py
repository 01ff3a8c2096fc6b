"""Malformed and forged input of every kind: it is refused or ignored, and nothing raises."""

import asyncio
import base64
import signal
import socket

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from bench import site as sites
from hyssopproxy import limit
from hyssopproxy import problem
from hyssopproxy.engine import catalog
from hyssopproxy.engine import datagram
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import routing
from hyssopproxy.platform import document
from hyssopproxy.platform import ingress
from hyssopproxy.platform import leaf
from hyssopproxy.platform import nodefile
from hyssopproxy.platform import runtime
from hyssopproxy.transport import client
from hyssopproxy.transport import journal
from hyssopproxy.transport import message
from hyssopproxy.transport import server
from tests.engine import world as worlds

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=12),
    st.binary(max_size=12),
    st.sampled_from(["10.1.0.1", "10.9.0.1", "domain-a", "domain-b", "p-0", "s0"]),
)
VALUES = st.recursive(SCALARS, lambda values: st.lists(values, max_size=8), max_leaves=30)
JSON_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
)
JSON_VALUES = st.recursive(
    JSON_SCALARS,
    lambda values: st.one_of(
        st.lists(values, max_size=4), st.dictionaries(st.text(max_size=8), values, max_size=4)
    ),
    max_leaves=12,
)
SERVER = {
    "backend": "p",
    "address": "10.0.0.1:80",
    "zone": "domain-a",
    "version": "v1",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
SERVER_TYPES = {
    **dict.fromkeys(("backend", "address", "zone", "version", "state"), (str,)),
    **dict.fromkeys(("maxConcurrency", "sequence", "born"), (int,)),
    "warmupLeftMs": (int, float),
}
CONFIG = {
    "version": 9,
    "routes": [sites.search_route("s0", "s1"), sites.plain_route()],
    "backends": [{"name": "p", "maxConnections": 40, "warmupPerS": 2.5}],
    "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 1, "headerTimeoutMs": 1},
}


@pytest.fixture(scope="module")
def world():
    return worlds.make_search_world()


def serve_some_requests(world):
    """Check that the daemon still answers."""
    number = world.send_request()
    world.run(2.0)
    assert number in world.results


@hypothesis.given(st.binary(max_size=200))
@hypothesis.settings(max_examples=300, deadline=None)
def test_arbitrary_datagrams_are_refused(blob):
    decoded = datagram.decode(blob)
    assert decoded is None or isinstance(decoded, datagram.Message)


@hypothesis.given(tag=st.integers(0, 9), fields=st.lists(VALUES, max_size=6))
@hypothesis.settings(
    max_examples=400,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_datagrams_with_arbitrary_fields_harm_no_daemon(world, tag, fields):
    try:
        blob = msgspec.msgpack.encode([tag, *fields])
    except (OverflowError, UnicodeEncodeError):
        return  # not expressible in MessagePack
    decoded = datagram.decode(blob)
    if decoded is not None:
        world.post(runtime.PEER_EVENTS[type(decoded)](decoded))
        world.run(0.1)


def test_forged_but_valid_datagrams_leave_the_daemon_serving(world):
    names = ("domain-a", "domain-b", "nowhere", "")
    for index in range(300):
        record = datagram.MemberRecord(
            f"10.77.{index // 200}.{index % 200}", names[index % 4], 2**60, 2**62, 2**62, 2**62
        )
        world.post(event.GossipReceived(datagram.Gossip(record, (record,) * 3)))
        world.post(event.LostDomainsReceived(datagram.LostDomains("domain-a", names)))
        reports = tuple(
            datagram.Report(f"s{index % 10}-{index % 30}", symptom, 2**40, 1e9)
            for symptom in datagram.Symptom
        )
        world.post(event.ReportsReceived(datagram.Reports("domain-a", 1e9, 1e9, reports)))
        world.run(0.02)
    serve_some_requests(world)


def test_members_beyond_any_fleet_are_not_stored():
    world = worlds.make_plain_world()
    for index in range(5000):
        world.receive_gossip(f"10.{index // 250}.7.{index % 250}", "domain-b")
    assert len(world.state.members) == 4096
    assert world.state.counters["members_refused"] == 904


@hypothesis.given(st.one_of(st.binary(max_size=80), JSON_VALUES))
@hypothesis.settings(max_examples=200, deadline=None)
def test_responses_of_a_source_raise_only_decode_errors(value):
    blob = value if isinstance(value, bytes) else msgspec.json.encode(value)
    for decode in (document.decode_page, document.decode_events):
        try:
            decoded = decode(blob)
        except document.DECODE_ERRORS:
            continue
        for item in getattr(decoded, "items", getattr(decoded, "events", ())):
            document.decode_item(item)


def test_deeply_nested_response_is_a_decode_error():
    for blob in (b'{"items": [], "x": ' + b"[" * 100_000, b"[" * 100_000):
        with pytest.raises(document.DECODE_ERRORS):
            document.decode_page(blob)


@hypothesis.given(key=st.sampled_from(sorted(SERVER)), value=JSON_VALUES, name=st.text(max_size=20))
@hypothesis.settings(max_examples=300, deadline=None)
def test_entries_with_one_arbitrary_field_are_valid_or_refused(key, value, name):
    blob = base64.b64encode(msgspec.json.encode({**SERVER, key: value})).decode()
    for item_key in ("servers/i-1", f"servers/{name}"):
        change = document.decode_item(document.Item(item_key, 5, blob))
        assert (change.value is None) == bool(change.error)
        if change.value is not None:
            assert change.value.id.isascii() and "\n" not in change.value.id
            assert 0.0 <= change.value.cold_left_s <= document.MAX_COLD_LEFT_S
            assert type(value) in SERVER_TYPES[key]


@hypothesis.given(
    section=st.sampled_from(["version", "routes", "backends", "limits"]), value=JSON_VALUES
)
@hypothesis.settings(max_examples=200, deadline=None)
def test_configurations_with_one_arbitrary_field_are_valid_or_refused(section, value):
    blob = base64.b64encode(msgspec.json.encode({**CONFIG, section: value})).decode()
    change = document.decode_item(document.Item("op/config", 5, blob))
    assert (change.value is None) == bool(change.error)


@hypothesis.given(
    key=st.sampled_from(
        ["node", "ip", "zone", "internalPorts", "seeds", "listen", "bounds", "limits", "platform"]
    ),
    value=st.one_of(JSON_VALUES, st.integers(), st.lists(st.integers(), max_size=3)),
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_settings_with_one_arbitrary_field_are_valid_or_refused(key, value):
    table = {
        "node": "n",
        "ip": "10.0.0.1",
        "zone": "z",
        "internalPorts": [7000, 7001],
        "seeds": ["10.0.0.1:80"],
        "listen": {"front": "10.0.0.1:80", "readinessAddr": "10.0.0.1:81"},
        "platform": {"address": "10.0.0.2:80"},
    }
    assert nodefile.parse(table).peer_port == 7000
    try:
        parsed = nodefile.parse({**table, key: value})
    except problem.UserError as error:
        assert error.errors
    else:
        assert all(isinstance(seed, str) for seed in parsed.engine.seeds)


class Recorder(server.Handler):
    """Answers each request at once."""

    def __init__(self):
        self.requests = []

    def handle(self, request, connection):
        self.requests.append(request)
        connection.reply(message.Response(200, [], b"x"))


class Transport(asyncio.Transport):
    """Transport that discards what is written."""

    def __init__(self):
        super().__init__()
        self.is_closed = False

    def write(self, data):
        pass

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


TOKENS = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"POST /p/x HTTP/1.1\r\n",
                b"HTTP/1.1 200 OK\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.0 503 x\r\n",
                b"Host: h\r\n",
                b"Content-Length: 5\r\n",
                b"Content-Length: 99999999999999999999\r\n",
                b"Content-Length: -1\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Keep-Alive: timeout=99999999999999999999\r\n",
                b"Connection: upgrade\r\nUpgrade: x\r\n",
                b"\r\n",
                b"hello",
                b"5\r\nhello\r\n",
                b"0\r\n\r\n",
                b"0\r\nTrailer: x\r\n\r\n",
                b"ffffffffffffffff\r\n",
            ]
        ),
        st.binary(max_size=8),
    ),
    max_size=14,
)


@hypothesis.given(TOKENS)
@hypothesis.settings(max_examples=400, deadline=None)
def test_arbitrary_bytes_of_callers_raise_nothing(tokens):
    connections = set()
    handler = Recorder()
    listener = server.Server(handler)
    connection = server.Connection(handler, connections, listener._account)
    connection.connection_made(Transport())
    for token in tokens:
        connection.data_received(token)
    connection.check_timeouts(1e12)
    connection.connection_lost(None)


@hypothesis.given(TOKENS)
@hypothesis.settings(max_examples=400, deadline=None)
def test_arbitrary_bytes_of_targets_end_the_exchange_once_at_most(tokens):
    results = []
    connection = client.Connection()
    connection.connection_made(Transport())
    connection.send(b"x", lambda response, failure: results.append(response or failure))
    for token in tokens:
        connection.data_received(token)
    connection.eof_received()
    connection.connection_lost(None)
    assert len(results) == 1
    if isinstance(results[0], message.Response):
        leaf.classify(results[0])


@hypothesis.given(st.binary(max_size=40))
def test_header_values_raise_nothing(value):
    for text in (value, b"9" * 5000 + value):
        assert ingress.parse_ms(text) is None or ingress.parse_ms(text) >= 0.0
        assert leaf.parse_seconds(text) >= 0.0
        cold_left_s = leaf.parse_cold_left_s(text)
        assert cold_left_s is None or cold_left_s >= 0.0


def test_process_goes_on_after_malformed_messages_of_every_kind():
    """One process, attacked on every port, keeps answering and counts what it refused."""

    async def scenario(site):
        daemon = site.daemons[0]
        ports = site.ports
        blobs = [b"", b"\x00" * 1400, b"\xff" * 60, b"[" * 1000, msgspec.msgpack.encode([1, 2, 3])]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for blob in blobs:
                peer.sendto(blob, (daemon.host, ports["peer"]))
        for name in ("front", "ready", "control", "metrics"):
            for blob in (*blobs, b"GET /v1/kv-watch?after=9&waitMs=x HTTP/1.1\r\n\r\n"):
                _, writer = await asyncio.open_connection(daemon.host, ports[name])
                writer.write(blob)
                writer.close()
        for key in ("op/config", "servers/x", "servers/a b", "op/evacuate/", "servers/"):
            site.store.put(key, b"\xff")
        daemon.signal(signal.SIGHUP)

        async def has_counted():
            metrics = await site.metrics(daemon)
            return (
                metrics.get("hyssopproxy_datagrams_garbled_total", 0) >= 4
                and metrics.get("hyssopproxy_items_refused_total", 0) >= 3
                and metrics.get("hyssopproxy_rejected_400_total", 0) >= 2
            )

        await sites.wait_for(has_counted, "the counters")
        assert (await site.get(daemon)).status == 200
        assert (await site.get(daemon, "/p/x")).status == 200
        assert daemon.process.returncode is None
        assert not [line for line in daemon.log if line["event"] == "internal_error"]

    sites.run_scenario(scenario)


def test_unexpected_error_costs_one_request(world):
    number = world.send_request()
    world.post(event.RequestFailed(number))
    refusal = world.results[number].effect
    assert refusal.reason is model.Refusal.INTERNAL_ERROR and not refusal.is_not_run
    assert number not in world.state.queries
    serve_some_requests(world)


class Caller:
    """Connection of a caller that records its responses."""

    def __init__(self):
        self.responses = []

    def reply(self, response, keep_alive=True):
        self.responses.append(response)


def test_unexpected_errors_of_the_program_leave_nothing_in_flight(monkeypatch):
    """A decision that raises, a send that raises and a read whose items cannot be applied."""

    async def scenario():
        state = worlds.make_plain_world().state
        loop_runtime = runtime.Runtime(state, journal.Logger("n"), 0, limit.BufferLimits())
        caller = Caller()
        headers = [(b"Host", b"h"), (b"Request-Id", b"r1")]
        request = message.Request(b"GET", b"/p/x", headers, b"")

        monkeypatch.setattr(routing, "match", fail)
        loop_runtime.ingress.handle(request, caller)
        assert [response.status for response in caller.responses] == [502]
        monkeypatch.undo()

        monkeypatch.setattr(leaf.LeafClient, "send", fail)
        loop_runtime.ingress.handle(request, caller)
        assert not state.attempts and not any(t.attempts for t in state.targets.values())
        assert state.counters["attempts_reset"] >= 1
        monkeypatch.undo()

        monkeypatch.setattr(catalog, "apply", fail)
        state.sync.read_no, state.sync.source = 77, state.settings.store
        item = model.Change("servers/x", 10**9, None)
        loop_runtime.post(event.ChangesRead(77, (item,), 10**9))
        assert state.sync.read_no == 0, "no further read would be started"
        assert state.counters["internal_errors"] >= 3

    asyncio.run(scenario())


def fail(*args):
    raise KeyError("unexpected")
