"""Parses callers' request bodies completely, so that none can break the batch it joins."""

import typing

import msgspec

from hyssopproxy import problem
from hyssopproxy import wire

MAX_NESTING = 64  # targets may reject deeper JSON, and the other searches in the batch with it
SEARCH_DECODER = msgspec.json.Decoder(wire.SearchBody)
JSON_DECODER = msgspec.json.Decoder()


def parse_search(blob: bytes) -> wire.SearchBody | problem.Problem:
    """Return a search with its query unchanged, or why it is refused.

    >>> parse_search(b'{"query": "x", "limit": 3}').limit
    3
    >>> parse_search(b'{"query": ' + b"[" * 99 + b"]" * 99 + b"}").kind.name
    'BAD_REQUEST'
    """
    value = parse_json(blob)
    if isinstance(value, problem.Problem):
        return value
    try:
        return SEARCH_DECODER.decode(blob)
    except msgspec.MsgspecError as error:
        detail = f'{error}: give {{"query": ..., "limit": N}}'
        return problem.Problem(problem.Kind.BAD_REQUEST, detail)


def parse_json(blob: bytes) -> typing.Any:
    """Return the JSON value of a body, or why it is refused."""
    try:
        value = JSON_DECODER.decode(blob)
    except wire.DECODE_ERRORS as error:
        return problem.Problem(problem.Kind.BAD_REQUEST, f"the body is no JSON: {error}")
    if _is_too_deep(value):
        detail = f"the body is nested over {MAX_NESTING} levels"
        return problem.Problem(problem.Kind.BAD_REQUEST, detail)
    return value


def _is_too_deep(value: typing.Any) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        children: list[typing.Any] = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        if not children:
            return False
        level = children
    return True
