"""Replica policies: which leaf of a shard gets a request."""

from hyssopproxy.policy import base

FAULT_PENALTY = 20.0  # a fault rate of 1 adds this many times the latency to the cost of a leaf
MIN_LATENCY_S = 0.0005  # keeps a leaf without observed latencies from getting all requests


class RoundRobin(base.ReplicaPolicy):
    """Baseline: each available leaf in turn."""

    name = "round_robin"

    def choose(self, leaves: list[base.Leaf], turn: int) -> base.Leaf:
        return leaves[turn % len(leaves)]


class Observed(base.ReplicaPolicy):
    """Chooses the leaf with the shortest expected time, as observed by this daemon."""

    name = "observed"

    def choose(self, leaves: list[base.Leaf], turn: int) -> base.Leaf:
        if len(leaves) == 1:
            return leaves[0]
        start = turn % len(leaves)
        best = leaves[start]
        best_cost = _cost(best)
        for leaf in leaves:
            cost = _cost(leaf)
            if cost < best_cost:
                best, best_cost = leaf, cost
        return best


def _cost(leaf: base.Leaf) -> float:
    latency_s = max(leaf.latency_s, MIN_LATENCY_S)
    return (leaf.in_flight + 1) * latency_s * (1.0 + FAULT_PENALTY * leaf.fault_rate)
