"""Decodes the documents that the platform publishes into the engine's types."""

import base64
import binascii
import hashlib
import json
import re
import typing

import msgspec

from hyssopproxy import address
from hyssopproxy import limit
from hyssopproxy.engine import model

#: Errors that malformed input raises; the last one comes from deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, binascii.Error, ValueError, RecursionError)
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
UNREAD_KEY = "(unread)"  # stands for the keys of items that could not be read
MAX_SLOTS = 10_000
MAX_COLD_LEFT_S = 600.0  # longest cold start that a leaf may state
KEY_DIGEST_BYTES = 16
MAX_RATE_PER_S = 1e9
_TENANT_NAME = re.compile(r"[!-~]{1,200}")  # it is sent as a header's value
_TARGET_ID = re.compile(r"[!-~]{1,200}")  # it is sent as a header's value
_IDEMPOTENT_TYPE = "idempotent"
MAX_TIME_MS = 1e9
MAX_INT_CHARS = 20  # longer numbers are out of range
MAX_WEIGHT = 1e15  # sums of weights stay finite

# Versions and revisions are sent to other daemons, in at most 64 bits.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Whole = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_MS)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WEIGHT)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]  # no longer than a key


class _WeightedBackend(msgspec.Struct, frozen=True):
    backend: str
    weight: Weight


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0  # objective of the route's requests, not of targets
    max_attempts: Whole = 1
    priority: Whole = 0
    backend: str | None = None
    traffic_split: tuple[_WeightedBackend, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: Whole = 0
    min_coverage: float = 0.0
    public: bool = False  # callers need no key


class _Backend(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: Whole = 64  # to each leaf, from all daemons together
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: Whole = 16384
    max_body_bytes: Whole = 1 << 20
    header_timeout_ms: Milliseconds = 5000.0
    idle_timeout_ms: Milliseconds = 30000.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    """An organisation."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Whole | None = None
    rate_per_s: typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)] = 0.0
    burst: typing.Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)] = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: Count
    routes: tuple[_Route, ...]
    backends: tuple[_Backend, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Server(msgspec.Struct, frozen=True, rename="camel"):
    """What a leaf writes of itself; all fields are required."""

    backend: Name
    address: str
    zone: Name
    version: Name  # of its software
    max_concurrency: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: typing.Literal["ready", "draining"]
    warmup_left_ms: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    sequence: Count  # of its writes
    born: Count  # Unix milliseconds of its start


class Item(msgspec.Struct, frozen=True):
    """An item, or a change to an item, as the store encodes it."""

    key: str
    revision: Count
    value: str | None = None  # base64
    removed: bool = False


class Page(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """The store's response to a range read."""

    items: tuple[Item, ...]
    as_of: Count
    more_pages: bool = False
    unread: int = 0  # items that could not be read; not part of the response


class Events(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """The store's response to a watch."""

    events: tuple[Item, ...]
    as_of: Count
    unread: int = 0  # items that could not be read; not part of the response


_Envelope = typing.TypeVar("_Envelope", Page, Events)
_PAGE_DECODER = msgspec.json.Decoder(Page, strict=False)
_EVENTS_DECODER = msgspec.json.Decoder(Events, strict=False)
_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_page(body: bytes) -> Page:
    """Decode a page, without the items that cannot be read.

    Raise one of `DECODE_ERRORS` if the body is malformed apart from its items.
    """
    try:
        return _PAGE_DECODER.decode(body)
    except DECODE_ERRORS:
        return _decode_readable(body, "items", Page)


def decode_events(body: bytes) -> Events:
    """Decode events, without those that cannot be read.

    Raise one of `DECODE_ERRORS` if the body is malformed apart from its events.
    """
    try:
        return _EVENTS_DECODER.decode(body)
    except DECODE_ERRORS:
        return _decode_readable(body, "events", Events)


def _decode_readable(body: bytes, field: str, envelope_type: type[_Envelope]) -> _Envelope:
    """Decode a response with a decoder that reads more than JSON, and each item by itself."""
    text = body.decode("utf-8", "surrogateescape")
    envelope = json.loads(text, parse_int=_parse_int)
    if not isinstance(envelope, dict) or not isinstance(envelope.get(field), list):
        raise ValueError(f"{field}: not a list")
    items = tuple(item for item in map(_read_item, envelope[field]) if item is not None)
    unread = len(envelope[field]) - len(items)
    return msgspec.convert(
        {**envelope, field: items, "unread": unread}, envelope_type, strict=False
    )


def _parse_int(text: str) -> int | float:
    return int(text) if len(text) < MAX_INT_CHARS else float("inf")


def _read_item(value: typing.Any) -> Item | None:
    """Return an item, or None if it cannot be read."""
    try:
        item = msgspec.convert(value, Item, strict=False)
        msgspec.json.encode(item)  # raises an error for text that is not Unicode
    except DECODE_ERRORS:
        return None
    return item


def decode_item(item: Item) -> model.Change | None:
    """Decode an item into a change; return None for keys that the daemon does not use."""
    decode = _find_decoder(item.key)
    if decode is None:
        return None
    if item.removed or item.value is None:
        return model.Change(item.key, item.revision, None)
    try:
        blob = base64.b64decode(item.value, validate=True)
        return model.Change(item.key, item.revision, decode(item.key, blob))
    except DECODE_ERRORS as error:
        return model.Change(item.key, item.revision, None, error=str(error)[:160])


def _find_decoder(key: str) -> typing.Callable[[str, bytes], typing.Any] | None:
    if key == CONFIG_KEY:
        return _decode_config
    if key.startswith(SERVER_PREFIX):
        return _decode_server
    if key.startswith(EVACUATION_PREFIX):
        return _decode_evacuation
    return None


def _decode_config(key: str, blob: bytes) -> model.RoutingTable:
    config = _CONFIG_DECODER.decode(blob)
    pools = {
        backend.name: model.Pool(
            backend.name, max(1, backend.max_connections), max(0.0, backend.warmup_per_s)
        )
        for backend in config.backends
    }
    limits = config.limits
    return model.RoutingTable(
        version=config.version,
        routes=tuple(_make_route(route) for route in config.routes),
        pools=pools,
        limits=limit.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        key_owners=_find_key_owners(config.tenants or ()),
        requires_keys=bool(config.tenants),
    )


def _find_key_owners(tenants: tuple[_Tenant, ...]) -> dict[bytes, model.Organisation]:
    """Return the organisations by the digests of their keys.

    Raise ValueError for a name that cannot be a header's value, for an empty key, and for a name or
    key that two organisations have. No error contains a key.
    """
    owners: dict[bytes, model.Organisation] = {}
    names = set()
    for tenant in tenants:
        if not _TENANT_NAME.fullmatch(tenant.name) or tenant.name in names:
            raise ValueError(f"tenant {tenant.name!r}: the name is invalid or not unique")
        names.add(tenant.name)
        organisation = model.Organisation(
            tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst
        )
        for key in tenant.api_keys:
            digest = digest_key(key.encode())
            if not key or owners.setdefault(digest, organisation) is not organisation:
                raise ValueError(f"tenant {tenant.name!r}: a key is empty or not unique")
    return owners


def digest_key(key: bytes) -> bytes:
    """Return a digest of a caller's key, so that the key itself is not kept or logged.

    >>> len(digest_key(b"k"))
    16
    """
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


def _make_route(route: _Route) -> model.Route:
    if route.gather:
        split: tuple[model.WeightedPool, ...] = ()
    elif route.traffic_split:
        split = tuple(model.WeightedPool(part.backend, part.weight) for part in route.traffic_split)
        if sum(part.weight for part in split) <= 0:
            raise ValueError(f"route {route.name}: the sum of the weights is not positive")
    elif route.backend:
        split = (model.WeightedPool(route.backend, 1.0),)
    else:
        raise ValueError(f"route {route.name}: no backend is given")
    return model.Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        is_idempotent=route.type == _IDEMPOTENT_TYPE,
        timeout_s=route.timeout_ms / 1000,
        objective_s=(route.target_latency_ms or route.timeout_ms) / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        split=split,
        shards=route.gather or (),
        least_coverage=route.min_coverage,
        top_k=route.top_k,
        is_public=route.public,
    )


def _decode_server(key: str, blob: bytes) -> model.TargetEntry:
    server = _SERVER_DECODER.decode(blob)
    target_id = key[len(SERVER_PREFIX) :]
    if not _TARGET_ID.fullmatch(target_id):
        raise ValueError(f"invalid id {target_id!r}")
    parsed = address.parse(server.address)
    if isinstance(parsed, address.BadAddress):
        raise ValueError(f"address: {parsed.reason}")
    return model.TargetEntry(
        id=target_id,
        pool=server.backend,
        address=server.address,
        failure_domain=server.zone,
        slots=server.max_concurrency,
        is_draining=server.state == "draining",
        cold_left_s=min(MAX_COLD_LEFT_S, server.warmup_left_ms / 1000),
        started_at_ms=server.born,
    )


def _decode_evacuation(key: str, blob: bytes) -> model.Evacuation:
    return model.Evacuation(key[len(EVACUATION_PREFIX) :])
