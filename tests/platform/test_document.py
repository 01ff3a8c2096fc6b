import base64

import hypothesis
import hypothesis.strategies
import msgspec
import pytest

from bench import site as sites
from hyssopproxy.platform import document


def decode(key, value):
    blob = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return document.decode_item(document.Item(key, 5, base64.b64encode(blob).decode()))


def make_config(**fields):
    table = {
        "version": 7,
        "routes": [sites.search_route("s0", "s1"), sites.plain_route()],
        "backends": [{"name": "p", "maxConnections": 40, "warmupPerS": 2.5}],
        "limits": {
            "maxHeaderBytes": 1,
            "maxBodyBytes": 2,
            "headerTimeoutMs": 3,
            "idleTimeoutMs": 4,
        },
    }
    return {**table, **fields}


def make_server(**fields):
    return {
        "backend": "p",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "maxConcurrency": 6,
        "state": "ready",
        "warmupLeftMs": 1500,
        "sequence": 4,
        "born": 99,
        **fields,
    }


def test_configuration_is_decoded_into_routing_table():
    table = decode("op/config", make_config()).value
    search, plain = table.routes
    assert search.is_search and search.shards == ("s0", "s1") and search.least_coverage == 0.5
    assert plain.split[0].pool == "p" and plain.objective_s == 0.6 and plain.is_idempotent
    assert table.pools["p"].cold_per_s == 2.5 and table.limits.idle_timeout_s == 0.004


@pytest.mark.parametrize(
    "fields",
    [
        {"version": None},
        {"routes": [{"name": "x"}]},
        {"routes": [sites.plain_route(backend=None)]},
        {"routes": [sites.plain_route(trafficSplit=[{"backend": "p", "weight": 0}])]},
        {"backends": 3},
    ],
)
def test_invalid_configuration_is_rejected_with_reason(fields):
    change = decode("op/config", make_config(**fields))
    assert change.value is None and change.error


def test_server_is_decoded_into_target_entry():
    entry = decode("servers/i-1", make_server()).value
    assert (entry.id, entry.pool, entry.cold_left_s, entry.started_at_ms) == ("i-1", "p", 1.5, 99)


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"address": 5},
        {"state": "asleep"},
        {"maxConcurrency": 0},
        {"maxConcurrency": "6"},
        {"zone": None},
        {"born": "1"},
        {"born": 1.5},
        {"born": -1},
        {"born": None},
        {"warmupLeftMs": "x"},
        {"warmupLeftMs": -1},
        {"sequence": "4"},
        {"sequence": -1},
        {"version": 1},
        {"backend": ""},
        {"zone": ""},
    ],
)
def test_invalid_server_is_rejected_with_reason(fields):
    change = decode("servers/i-1", make_server(**fields))
    assert change.value is None and change.error


@pytest.mark.parametrize("name", sorted(make_server()))
def test_server_that_lacks_a_field_names_no_target(name):
    """Guards against a target that an entry of another writer puts into a foreign shard."""
    server = make_server()
    del server[name]
    change = decode("servers/i-1", server)
    assert change.value is None and name in change.error


@hypothesis.given(hypothesis.strategies.binary(max_size=60))
def test_decoding_never_raises_on_arbitrary_bytes(blob):
    for key in ("op/config", "servers/x"):
        assert decode(key, blob).value is None
    item = document.Item("servers/x", 1, blob.decode("latin-1"))
    assert document.decode_item(item).value is None


def test_unknown_keys_are_ignored():
    assert decode("my/key", {}) is None
