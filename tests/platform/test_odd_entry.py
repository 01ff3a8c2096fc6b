"""Entries of another writer, through every daemon that reads them: no daemon ends or stops."""

import asyncio
import base64
import signal

import msgspec
import pytest

from bench import site as sites
from hyssopproxy import limit
from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import document
from hyssopproxy.platform import ingress
from hyssopproxy.platform import leaf
from hyssopproxy.platform import runtime
from hyssopproxy.platform import store
from hyssopproxy.transport import buffer
from hyssopproxy.transport import journal
from tests.engine import world as worlds

FIELDS = {
    "backend": "p",
    "address": "127.255.255.254:9",  # nothing listens there
    "zone": "a",
    "version": "v1",
    "maxConcurrency": 6,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
#: Addresses that the standard library takes for an IP address but that cannot be connected to.
SCOPED_HOSTS = ["fe80::1%\x00", "fe80::1%" + "a" * 70, "fe80::1%a..b", "fe80::1%\ud800"]


def decode(fields, key="servers/i-1"):
    blob = base64.b64encode(msgspec.json.encode({**FIELDS, **fields})).decode()
    return document.decode_item(document.Item(key, 5, blob))


def post_to(posted):
    def post(posted_event):
        posted.append(posted_event)

    return post


@pytest.mark.parametrize("host", SCOPED_HOSTS)
def test_attempt_to_an_odd_address_ends(host):
    """It never ended: the error was none that connecting is expected to raise."""

    async def scenario():
        posted = []
        client = leaf.LeafClient(post_to(posted), limit.ResponseLimits(), buffer.Account(1 << 20))
        attempt = effect.Send(
            query_no=1,
            attempt_no=7,
            target_id="i-1",
            address=f"{host}:80",
            time_left_s=1.0,
            not_after=1e12,
            needs_fresh_connection=False,
            max_connections=4,
        )
        errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        client.send(attempt, ingress.ForwardedRequest(None, b"r", b"", b"", False))
        async with asyncio.timeout(sites.WAIT_S):
            while client._tasks:
                await asyncio.sleep(0.01)
        assert [ended.attempt_no for ended in posted] == [7]
        assert posted[0].outcome in (model.Outcome.CONNECT, model.Outcome.RESET)
        assert not client._exchanges and not client._in_flight

    asyncio.run(scenario())


@pytest.mark.parametrize("host", SCOPED_HOSTS)
def test_read_from_an_odd_address_fails(host):
    """It stayed in flight, and the daemon started no other read: it stopped following."""

    async def scenario():
        state = worlds.make_plain_world().state
        loop_runtime = runtime.Runtime(state, journal.Logger("n"), 0, limit.BufferLimits())
        posted = []
        loop_runtime.post = post_to(posted)
        loop_runtime._store_client = store.StoreClient(
            loop_runtime.post, loop_runtime.cache, limit.ResponseLimits(), buffer.Account(1 << 20)
        )
        source = f"{host}:80"
        loop_runtime._execute(effect.ReadChanges(5, source, True, 1, 1.0, 1.0))
        loop_runtime._execute(effect.ReadPage(6, source, True, None, 1.0))
        async with asyncio.timeout(sites.WAIT_S):
            while loop_runtime._tasks:
                await asyncio.sleep(0.01)
        assert sorted(failed.read_no for failed in posted) == [5, 6]
        assert all(isinstance(failed, event.ReadFailed) for failed in posted)

    asyncio.run(scenario())


@pytest.mark.parametrize("host", [*SCOPED_HOSTS[:3], "[fe80::1%eth0]", "fe80::1%1"])
def test_entry_with_an_odd_address_names_no_leaf(host):
    change = decode({"address": f"{host}:80"})
    assert change.value is None and change.error


@pytest.mark.parametrize("host", SCOPED_HOSTS[:3])
def test_datagram_that_names_an_odd_address_is_refused(host):
    """The first datagram sent to it closed the socket for datagrams for good."""
    record = datagram.MemberRecord(host, "a", 1, 1, 1, 1)
    assert datagram.decode(datagram.encode(datagram.Ping(host))) is None
    assert datagram.decode(datagram.encode(datagram.Gossip(record, ()))) is None


def test_seed_with_an_odd_address_does_not_close_the_peer_socket():
    async def scenario():
        state = worlds.make_plain_world().state
        loop_runtime = runtime.Runtime(state, journal.Logger("n"), 0, limit.BufferLimits())
        loop_runtime._peer_transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        for host in (*SCOPED_HOSTS, "", "a\x00b", "not a host"):
            loop_runtime._execute(effect.SendPeer(host, datagram.Ping("10.0.0.1")))
            await asyncio.sleep(0)
        assert not loop_runtime._peer_transport.is_closing()
        assert state.counters["datagrams_refused"] == len(SCOPED_HOSTS) + 3
        loop_runtime._peer_transport.close()

    asyncio.run(scenario())


#: Literals of JSON that are too large, too deep or of a wrong type for any field of an entry.
ODD_LITERALS = {
    "infinite": "1e999",
    "huge": "1" + "0" * 30,
    "beyond_a_float": "1" + "0" * 400,
    "negative_huge": "-1" + "0" * 4000,
    "beyond_printing": "1" + "0" * 5000,
    "nan": "NaN",
    "deep": "[" * 100_000 + "]" * 100_000,
    "unclosed": "[" * 100_000,
    "surrogate": '"\\ud800"',
    "nul": '"\\u0000"',
    "long": '"' + "x" * 1_000_000 + '"',
    "null": "null",
    "true": "true",
    "object": "{}",
}


def make_raw_entry(field, literal):
    text = msgspec.json.encode({**FIELDS, "backend": "q", field: "@"}).decode()
    return text.replace('"@"', literal).encode()


@pytest.mark.parametrize("literal", sorted(ODD_LITERALS))
@pytest.mark.parametrize("field", sorted(set(FIELDS) - {"sequence", "warmupLeftMs"}))
def test_entry_with_an_odd_value_names_no_leaf(field, literal):
    raw = make_raw_entry(field, ODD_LITERALS[literal])
    blob = base64.b64encode(raw).decode()
    change = document.decode_item(document.Item("servers/i-1", 5, blob))
    if literal == "nul" and field in ("backend", "zone", "version"):
        assert change.value is not None, "a name that no configuration has, or of odd software"
    else:
        assert change.value is None and change.error and len(change.error) <= 160


@pytest.mark.parametrize("number", ["1" + "0" * 30, "9223372036854775808", "-1", "1e999"])
def test_configuration_whose_version_is_out_of_range_is_refused(number):
    """In force, it kept a daemon from sending any gossip."""
    blob = b'{"version": %s, "routes": [], "backends": []}' % number.encode()
    item = document.Item("op/config", 5, base64.b64encode(blob).decode())
    assert document.decode_item(item).value is None


@pytest.mark.parametrize("weights", [["1e308", "1e308"], ["-1", "2"], ["0", "0"]])
def test_split_whose_weights_have_no_finite_sum_is_refused(weights):
    parts = ",".join(f'{{"backend": "p{w}", "weight": {w}}}' for w in weights)
    route = msgspec.json.encode(sites.plain_route(backend=None, trafficSplit="@")).decode()
    route = route.replace('"@"', f"[{parts}]")
    blob = f'{{"version": 5, "routes": [{route}], "backends": []}}'.encode()
    item = document.Item("op/config", 5, base64.b64encode(blob).decode())
    assert document.decode_item(item).value is None


@pytest.mark.parametrize("field", ["timeoutMs", "targetLatencyMs"])
@pytest.mark.parametrize("number", ["1e308", "-1", "1" + "0" * 400])
def test_route_whose_times_are_out_of_range_is_refused(field, number):
    route = msgspec.json.encode(sites.plain_route(**{field: "@"})).decode().replace('"@"', number)
    blob = f'{{"version": 5, "routes": [{route}], "backends": []}}'.encode()
    item = document.Item("op/config", 5, base64.b64encode(blob).decode())
    assert document.decode_item(item).value is None


GOOD_ITEM = b'{"key": "servers/a", "revision": 3, "value": "e30="}'
#: Items of a page or of a watch that cannot be read.
ODD_ITEMS = {
    "surrogate": b'{"key": "servers/\\ud800", "revision": 4, "value": "e30="}',
    "not_utf8": b'{"key": "servers/\xff", "revision": 4, "value": "e30="}',
    "number_as_value": b'{"key": "servers/x", "revision": 4, "value": 5}',
    "no_key": b'{"revision": 4, "value": "e30="}',
    "null": b"null",
    "nan": b'{"key": "servers/x", "revision": NaN, "value": "e30="}',
    "huge_revision": b'{"key": "servers/x", "revision": 1' + b"0" * 30 + b', "value": "e30="}',
    "unprintable": b'{"key": "servers/x", "revision": 1' + b"0" * 5000 + b', "value": "e30="}',
    "negative": b'{"key": "servers/x", "revision": -4, "value": "e30="}',
    "infinite": b'{"key": "servers/x", "revision": 1e999, "value": "e30="}',
    "wrong_flag": b'{"key": "servers/x", "revision": 4, "value": "e30=", "removed": 7}',
}


@pytest.mark.parametrize("name", sorted(ODD_ITEMS))
def test_odd_item_does_not_hide_the_others(name):
    """One of them made the whole listing or watch unreadable, again at each retry."""
    items = b"[" + ODD_ITEMS[name] + b", " + GOOD_ITEM + b"]"
    page = document.decode_page(b'{"items": %s, "asOf": 9, "morePages": true}' % items)
    events = document.decode_events(b'{"events": %s, "asOf": 9}' % items)
    assert [item.key for item in page.items] == ["servers/a"]
    assert [item.key for item in events.events] == ["servers/a"]
    assert (page.unread, events.unread) == (1, 1)
    assert page.as_of == events.as_of == 9 and page.more_pages


@pytest.mark.parametrize(
    "body", [b'{"asOf": 9}', b'{"items": 5, "asOf": 9}', b'{"items": [], "asOf": 1e999}', b"[1]"]
)
def test_odd_envelope_is_a_decode_error(body):
    with pytest.raises(document.DECODE_ERRORS):
        document.decode_page(body)


#: Addresses at which no leaf answers, and values that the engine uses, of entries that are valid.
USABLE_FIELDS = [
    {"address": "0.0.0.0:9"},
    {"address": "255.255.255.255:9"},
    {"address": "224.0.0.1:9"},
    {"address": "[::1]:9"},
    {"address": "::ffff:127.0.0.1:9"},
    {"address": "127.0.0.1:00001"},
    {"warmupLeftMs": 1e308, "maxConcurrency": 10_000, "born": 2**63 - 1},
    {"warmupLeftMs": -1e308, "maxConcurrency": 1, "born": -(2**63)},
    {"zone": "", "state": "draining"},
    {"zone": "\0 \u2028\U0001f300" * 10},
]
ODD_ADDRESSES = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999",
    "10.0.0.1:-1",
    "10.0.0.1:\u0663",
    "10.0.0.1",
    "leaf.example:80",
    ":80",
    "",
    *(f"{host}:80" for host in SCOPED_HOSTS[:3]),
]
ODD_KEYS = ["servers/", "servers/a b", "servers/\r\nX: y", "servers/" + "k" * 192, "servers/\0"]
ODD_DOCUMENTS = [b"", b"\xff" * 50, b"[" * 100_000, b"{}", b"null", b'{"version": 1e999}']
ODD_ZONES = ["", "\0", "a/b", "%2F", "\u2028" * 60]


def put_odd_items(store_, number):
    """Write each odd item, under keys that the number tells apart."""
    encoded = msgspec.json.encode(FIELDS)
    for field in sorted(FIELDS):
        for name, literal in sorted(ODD_LITERALS.items()):
            store_.put(f"servers/{field}-{name}-{number}", make_raw_entry(field, literal))
    duplicate = encoded[:-1] + b', "address": "10.0.0.1:0"}'
    for index, blob in enumerate([duplicate, encoded + b"}", *ODD_DOCUMENTS]):
        store_.put(f"servers/document-{index}-{number}", blob)
    for index, odd_address in enumerate(ODD_ADDRESSES):
        value = {**FIELDS, "address": odd_address}
        store_.put(f"servers/address-{index}-{number}", value)
    for index, fields in enumerate(USABLE_FIELDS):
        value = {**FIELDS, "backend": "q", "address": "127.0.0.1:9", **fields}
        store_.put(f"servers/usable-{index}-{number}", value)
    for key in ODD_KEYS:
        store_.put(key, FIELDS)
    for zone in ODD_ZONES:
        store_.put(f"op/evacuate/{zone}", b"\xff")
    for name, item in sorted(ODD_ITEMS.items()):
        store_.put_encoded(f"servers/item-{name}-{number}", item)


def test_daemons_follow_and_serve_with_odd_items_in_the_store():
    """The items come by watch, by listing after a restart and after history was dropped."""

    async def scenario(site):
        for zone in "ab":
            await site.wait_ready(await site.add_daemon(zone))
        paths = []

        async def check_all():
            """Check that a change of the configuration reaches each daemon, and that all serve."""
            paths.append(f"/new{len(paths)}/")
            site.publish(
                sites.search_route("s0", "s1"),
                sites.plain_route(),
                sites.plain_route("q", name="r-odd", pathPrefix="/q/", timeoutMs=800),
                sites.plain_route(name="r-new", pathPrefix=paths[-1]),
            )
            for daemon in site.daemons:

                async def is_applied(daemon=daemon):
                    return (await site.get(daemon, paths[-1] + "x")).status == 200

                await sites.wait_for(is_applied, f"{paths[-1]} at {daemon.host}")
                assert (await site.get(daemon)).status == 200
                assert (await site.get(daemon, "/p/x")).status == 200
                assert (await site.get(daemon, "/q/x", 800)).status in (502, 503, 504)
                assert daemon.process.returncode is None

        await check_all()
        put_odd_items(site.store, 1)
        await check_all()
        for daemon in site.daemons[:2]:
            daemon.signal(signal.SIGKILL)
            await daemon.wait()
            await site.start_daemon(daemon)
        for daemon in site.daemons:
            await site.wait_ready(daemon)
        await check_all()
        put_odd_items(site.store, 2)
        site.store.compact()
        await check_all()
        for daemon in site.daemons:
            metrics = await site.metrics(daemon)
            assert metrics["hyssopproxy_items_refused_total"] > 100
            assert not [line for line in daemon.log if line["event"] == "internal_error"]
        for daemon in site.daemons:
            daemon.process.terminate()
        for daemon in site.daemons:
            assert await daemon.wait() == 0

    sites.run_scenario(scenario, daemons=2)


def test_daemon_named_as_a_leaf_does_not_call_itself():
    """One request became 84 nested ones within a second."""

    async def scenario(site):
        daemon = site.daemons[0]
        address = f"{daemon.host}:{site.ports['front']}"
        site.store.put("servers/i-own", {**FIELDS, "backend": "own", "address": address})
        site.publish(
            sites.plain_route(), sites.plain_route("own", name="r-own", pathPrefix="/own/")
        )

        async def is_applied():
            return (await site.get(daemon, "/own/x")).status != 404

        await sites.wait_for(is_applied, "the route")
        before = (await site.metrics(daemon))["hyssopproxy_attempts_total"]
        assert (await site.get(daemon, "/own/x")).status == 503
        after = (await site.metrics(daemon))["hyssopproxy_attempts_total"]
        assert after - before <= 1
        assert (await site.get(daemon, "/p/x")).status == 200

    sites.run_scenario(scenario)
