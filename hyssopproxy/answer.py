"""Merges the hits of all shards into one answer."""

from hyssopproxy import state as states
from hyssopproxy import wire


def merge(query: states.Query) -> wire.Answer:
    """Return the answer: best hits first and without duplicates, missing shards with reasons."""
    missing = [
        wire.Missing(shard, query.missing.get(shard, "deadline"))
        for shard in query.route.shards
        if shard not in query.answered
    ]
    total = len(query.route.shards)
    coverage = wire.Coverage(total, total - len(missing), missing)
    hits = _merge_hits(query.answered, query.limit)
    return wire.Answer(query.request_id, query.route.snapshot.name, coverage, hits)


def _merge_hits(answered: dict[str, list[wire.Hit]], limit: int) -> list[wire.MergedHit]:
    ranked = sorted((-hit.score, hit.id, shard) for shard, hits in answered.items() for hit in hits)
    merged: dict[str, wire.MergedHit] = {}
    for negative_score, hit_id, shard in ranked:
        if len(merged) == limit:
            break
        if hit_id not in merged:
            merged[hit_id] = wire.MergedHit(hit_id, -negative_score, shard)
    return list(merged.values())
