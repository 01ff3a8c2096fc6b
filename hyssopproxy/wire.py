"""JSON messages exchanged with callers and targets."""

import typing

import msgspec


class SearchBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a caller's search; the query is forwarded unchanged."""

    query: msgspec.Raw
    limit: int | None = None


class Hit(msgspec.Struct):
    """Hit found in a shard."""

    id: str
    score: float


class Line(msgspec.Struct):
    """Line of a target's reply: hits or an error of one sub-search."""

    request_id: str
    shard: str
    snapshot: str = ""
    complete: bool = False
    hits: list[Hit] = []
    error: str = ""
    execution: str = ""


class SubSearch(msgspec.Struct):
    """Search of one shard; a request to a target carries a list of these."""

    request_id: str
    timeout_ms: int
    snapshot: str
    shard: str
    query: typing.Any
    limit: int


class Missing(msgspec.Struct):
    """Shard that did not answer, with the reason."""

    shard: str
    reason: str


class Coverage(msgspec.Struct):
    """Number of the snapshot's shards that an answer covers."""

    shards_total: int
    shards_answered: int
    missing: list[Missing]


class MergedHit(msgspec.Struct):
    """Hit of an answer, with the shard it comes from."""

    id: str
    score: float
    shard: str


class Answer(msgspec.Struct):
    """Answer to a search, merged from all shards that answered."""

    request_id: str
    snapshot: str
    coverage: Coverage
    hits: list[MergedHit]


LINE_DECODER = msgspec.json.Decoder(Line)
# Exceptions of a decoder for invalid input; deep nesting raises RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
