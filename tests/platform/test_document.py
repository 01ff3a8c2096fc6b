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


def make_tenant(name, *keys, **fields):
    return {"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 12, "burst": 3, **fields}


def test_tenants_are_decoded_into_organisations_by_key():
    tenants = [make_tenant("acme", "k1", "k2"), make_tenant("beta", "k3", priority=0)]
    table = decode("op/config", make_config(tenants=tenants)).value
    owners = [table.key_owners[document.digest_key(key)] for key in (b"k1", b"k2", b"k3")]
    assert [owner.name for owner in owners] == ["acme", "acme", "beta"]
    assert (owners[0].priority, owners[0].rate_per_s, owners[0].burst) == (1, 12.0, 3.0)
    assert table.requires_keys and not table.routes[0].is_public


def test_configuration_without_tenants_requires_no_keys():
    assert not decode("op/config", make_config()).value.requires_keys


@pytest.mark.parametrize(
    "tenants",
    [
        [make_tenant("acme", "k1"), make_tenant("beta", "k1")],
        [make_tenant("acme", "k1"), make_tenant("acme", "k2")],
        [make_tenant("", "k1")],
        [make_tenant("acme\r\nX: 1", "k1")],
        [make_tenant("acme", "")],
        [make_tenant("acme", 5)],
        [make_tenant("acme", "k1", ratePerS=-1)],
        [make_tenant("acme", "k1", burst="3")],
    ],
)
def test_invalid_tenants_are_rejected_without_a_key_in_the_reason(tenants):
    change = decode("op/config", make_config(tenants=tenants))
    assert change.value is None and change.error and "k1" not in change.error


def test_many_keys_are_found_at_constant_cost():
    tenants = [
        make_tenant(f"o{index}", *(f"k{index}-{n}" for n in range(10))) for index in range(1000)
    ]
    assert len(decode("op/config", make_config(tenants=tenants)).value.key_owners) == 10_000


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
