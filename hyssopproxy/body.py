"""Bodies of callers' requests: decoded whole, so that none can harm the batch it goes into."""

import typing

import msgspec

from hyssopproxy import problem
from hyssopproxy import wire

MAX_NESTING = 64  # targets share a request among callers and may take no deeper JSON
SEARCH = msgspec.json.Decoder(wire.SearchBody)
ANY = msgspec.json.Decoder()


def read_search(blob: bytes) -> wire.SearchBody | problem.Problem:
    """Return a search with its query as it came, or why it is refused.

    >>> read_search(b'{"query": "x", "limit": 3}').limit
    3
    >>> read_search(b'{"query": ' + b"[" * 99 + b"]" * 99 + b"}").kind.name
    'BAD_REQUEST'
    """
    value = read_any(blob)
    if isinstance(value, problem.Problem):
        return value
    try:
        return SEARCH.decode(blob)
    except msgspec.MsgspecError as error:
        detail = f'{error}: give {{"query": ..., "limit": N}}'
        return problem.Problem(problem.Kind.BAD_REQUEST, detail)


def read_any(blob: bytes) -> typing.Any:
    """Return the JSON value of a body, or a problem."""
    try:
        value = ANY.decode(blob)
    except wire.DECODE_ERRORS as error:
        return problem.Problem(problem.Kind.BAD_REQUEST, f"the body is no JSON: {error}")
    if _is_too_deep(value):
        detail = f"the body is nested over {MAX_NESTING} levels"
        return problem.Problem(problem.Kind.BAD_REQUEST, detail)
    return value


def _is_too_deep(value: typing.Any) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        inner: list[typing.Any] = []
        for one in level:
            if isinstance(one, dict):
                inner.extend(one.values())
            elif isinstance(one, list):
                inner.extend(one)
        if not inner:
            return False
        level = inner
    return True
