"""Messages on the wire towards callers and targets."""

import typing

import msgspec


class SearchBody(msgspec.Struct, forbid_unknown_fields=True):
    """A caller's search; the query is passed on as it came."""

    query: msgspec.Raw
    limit: int | None = None


class Hit(msgspec.Struct):
    """One hit of a shard."""

    id: str
    score: float


class Line(msgspec.Struct):
    """One line of a target's reply."""

    request_id: str
    shard: str
    snapshot: str = ""
    complete: bool = False
    hits: list[Hit] = []
    error: str = ""
    execution: str = ""


class SubSearch(msgspec.Struct):
    """One sub-search of a request to a target."""

    request_id: str
    timeout_ms: int
    snapshot: str
    shard: str
    query: typing.Any
    limit: int


class Missing(msgspec.Struct):
    """A shard that did not answer, and why."""

    shard: str
    reason: str


class Coverage(msgspec.Struct):
    """How much of the snapshot an answer covers."""

    shards_total: int
    shards_answered: int
    missing: list[Missing]


class MergedHit(msgspec.Struct):
    """One hit of an answer."""

    id: str
    score: float
    shard: str


class Answer(msgspec.Struct):
    """The whole answer to a search."""

    request_id: str
    snapshot: str
    coverage: Coverage
    hits: list[MergedHit]


LINE_DECODER = msgspec.json.Decoder(Line)
# What a decoder raises for bytes that it cannot take; the second one for deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
