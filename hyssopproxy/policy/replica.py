"""Replica choice."""

from hyssopproxy.policy import base

FAULT_PENALTY = 20.0  # a leaf that always fails looks this many times slower
MIN_LATENCY_S = 0.0005  # keeps a leaf with no history from taking all work


class RoundRobin(base.ReplicaPolicy):
    """Baseline: each usable leaf in turn."""

    name = "round_robin"

    def choose(self, leaves: list[base.Leaf], turn: int) -> base.Leaf:
        return leaves[turn % len(leaves)]


class Observed(base.ReplicaPolicy):
    """The leaf with the least expected time by this daemon's own observation."""

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
    usual = max(leaf.latency_s, MIN_LATENCY_S)
    return (leaf.in_flight + 1) * usual * (1.0 + FAULT_PENALTY * leaf.fault_rate)
