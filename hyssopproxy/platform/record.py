"""Merges the records that the shards return for a search."""

import heapq
import typing

import attrs

RECORD_BYTES = 16


def split(body: bytes) -> list[bytes]:
    """Split a response body into its records; ignore an incomplete last record.

    >>> split(b"a" * 16 + b"b")
    [b'aaaaaaaaaaaaaaaa']
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def merge(bodies: typing.Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all bodies in descending order, with duplicates."""
    records = [record for body in bodies for record in split(body)]
    return b"".join(heapq.nlargest(top_k, records))


@attrs.frozen
class Part:
    """What a search keeps of the response of one shard."""

    stamp: bytes  # signature of the leaf
    records: bytes  # the greatest records, in descending order


def make_part(stamp: bytes, body: bytes, top_k: int) -> Part:
    """Return the part of a search that a leaf's response makes up, without needless records.

    >>> make_part(b"s", b"a" * 16 + b"c" * 16 + b"b" * 16, 1).records
    b'cccccccccccccccc'
    """
    return Part(stamp, merge((body,), top_k))
