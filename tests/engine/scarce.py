"""Replays of loads in which a few shards can hardly answer.

`python -m tests.engine.scarce POLICY [LOAD...]` prints figures for a scarcity policy.
"""

import collections
import random
import sys

import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from tests.engine import fleet as fleets
from tests.engine import world as worlds

SHARDS = 36
OBJECTIVES_S = {"full": 0.25, "urgent": 0.09}
SERVICE_TIME_S = 0.011
SLOW_FACTOR = 12.0
ROUTES = (
    worlds.search_route(
        SHARDS,
        name="full",
        prefix="/full",
        objective_s=OBJECTIVES_S["full"],
        timeout_s=1.0,
        least_coverage=0.95,
    ),
    worlds.search_route(
        SHARDS,
        name="urgent",
        prefix="/urgent",
        objective_s=OBJECTIVES_S["urgent"],
        timeout_s=0.5,
        least_coverage=0.85,
    ),
)


class Replay(fleets.Fleet):
    """A fleet whose targets queue and pause, with two kinds of search over all shards."""

    def __init__(self, per_domain: int = 24, per_s: float = 60.0, retry_slack: float = 56.0):
        self.sends: collections.Counter = collections.Counter()  # by shard
        self.reasons: collections.Counter = collections.Counter()  # why parts are missing
        self.per_s = per_s
        super().__init__(per_domain, SHARDS, ROUTES, retry_slack)
        rng = random.Random(11)
        for replica in self.replicas.values():
            replica.has_queue = True
            replica.service_time_s = SERVICE_TIME_S
            replica.pause_period_s, replica.pause_length_s = 4.0, 0.15
            replica.pause_phase_s = 4.0 * rng.random()

    def replicas_of(self, *shards: int) -> list[worlds.Replica]:
        pools = {f"s{shard}" for shard in shards}
        return [replica for replica in self.replicas.values() if replica.entry.pool in pools]

    def send_both(self, seconds: float) -> dict[str, list[tuple]]:
        """Send both kinds of search in turn; return the requests of each kind."""
        requests: dict[str, list[tuple]] = {kind: [] for kind in OBJECTIVES_S}
        for index in range(round(self.per_s * seconds)):
            kind = "urgent" if index % 2 else "full"
            timeout_s = 0.5 if index % 2 else 1.0
            world = next(self._turns)
            number = world.send_request(path=f"/{kind}", time_left_s=timeout_s)
            requests[kind].append((world, number))
            self.run(1.0 / self.per_s)
        return requests

    def _deliver(self, ip: str, world: worlds.World) -> None:
        for item in world.effects:
            if isinstance(item, effect.Send):
                self.sends[item.target_id.partition("-")[0]] += 1
            elif isinstance(item, effect.Log) and item.name == "request":
                for part in item.fields.get("parts", ()):
                    if not part["answered"]:
                        self.reasons[part["reason"]] += 1
        super()._deliver(ip, world)

    def counters(self) -> collections.Counter:
        """Return the counters of all daemons together."""
        total: collections.Counter = collections.Counter()
        for world in self.worlds.values():
            total.update(world.state.counters)
        return total


def slow_shards(replay: Replay) -> list[int]:
    """All replicas of two shards become slow."""
    for replica in replay.replicas_of(3, 17):
        replica.service_time_s = SERVICE_TIME_S * SLOW_FACTOR
    return [3, 17]


def silent_shards(replay: Replay) -> list[int]:
    """All replicas of two shards stop answering."""
    for replica in replay.replicas_of(3, 17):
        replica.is_silent = True
    return [3, 17]


def mixed_shards(replay: Replay) -> list[int]:
    """One shard becomes slow, another stops answering."""
    for replica in replay.replicas_of(3):
        replica.service_time_s = SERVICE_TIME_S * SLOW_FACTOR
    for replica in replay.replicas_of(17):
        replica.is_silent = True
    return [3, 17]


def lost_shard(replay: Replay) -> list[int]:
    """The replicas of one shard refuse connections."""
    for replica in replay.replicas_of(3):
        replica.is_down = True
    return [3]


def slow_replicas(replay: Replay) -> list[int]:
    """One replica of each of 18 shards becomes slow."""
    for replica in replay.replicas_of(*range(18))[::3]:
        replica.service_time_s = SERVICE_TIME_S * SLOW_FACTOR
    return list(range(18))


def late_replicas(replay: Replay) -> list[int]:
    """All targets pause at other times than before, for long, and few hedges are allowed."""
    for replica in replay.replicas.values():
        replica.pause_period_s, replica.pause_length_s = 2.4, 0.25
        replica.pause_phase_s = 2.4 * replica.rng.random()
    for world in replay.worlds.values():
        world.state.settings = attrs.evolve(world.state.settings, retry_slack=0.0)
    return list(range(SHARDS))


def unsteady_replicas(replay: Replay) -> list[int]:
    """Each target pauses at a period of its own, so that no pause can be predicted."""
    for replica in replay.replicas.values():
        replica.pause_period_s = 2.4 + 3.6 * replica.rng.random()
        replica.pause_length_s = 0.2
    return list(range(SHARDS))


def moved_replicas(replay: Replay) -> list[int]:
    """Another target answers at the address of one replica of each of 18 shards."""
    for replica in replay.replicas_of(*range(18))[::3]:
        replica.fixed_outcome = model.Outcome.MISDIRECTED
    return list(range(18))


def moved_replicas_short_budget(replay: Replay) -> list[int]:
    """The same, while the fleet has no slack for extra requests."""
    for world in replay.worlds.values():
        world.state.settings = attrs.evolve(world.state.settings, retry_slack=0.0)
    return moved_replicas(replay)


def calm(replay: Replay) -> list[int]:
    """Nothing but the pauses."""
    return []


LOADS = {
    load.__name__: load
    for load in (
        calm,
        slow_shards,
        silent_shards,
        mixed_shards,
        lost_shard,
        slow_replicas,
        late_replicas,
        unsteady_replicas,
        moved_replicas,
        moved_replicas_short_budget,
    )
}


def recover(replay: Replay) -> None:
    """All targets are as before."""
    for replica in replay.replicas.values():
        replica.service_time_s = SERVICE_TIME_S
        replica.is_silent = replica.is_down = False


def hold_s(replay: Replay, requests: list[tuple]) -> float:
    """Return the mean time for which requests were held that were then refused."""
    refused = [
        world.results[number].latency_s
        for world, number in requests
        if number in world.results and isinstance(world.results[number].effect, effect.Refuse)
    ]
    return sum(refused) / len(refused) if refused else 0.0


def measure(replay: Replay, load: str, seconds: float = 8.0) -> str:
    """Apply a load to a fleet that has run for some time; return figures of it as a line."""
    before = replay.counters()
    replay.sends.clear()
    replay.reasons.clear()
    shards = LOADS[load](replay)
    figures = [load]
    requests = replay.send_both(seconds)
    sends = collections.Counter(replay.sends)
    after = replay.counters()
    recover(replay)
    late = replay.send_both(1.0)
    last = replay.send_both(2.0)
    replay.run(1.5)
    for kind, objective_s in OBJECTIVES_S.items():
        figures.append(
            f"{kind} {replay.mean_score(requests[kind], objective_s):.3f}"
            f" after {replay.mean_score(late[kind], objective_s):.3f}"
            f" {replay.mean_score(last[kind], objective_s):.3f}"
            f" held {1000 * hold_s(replay, requests[kind]):.0f}ms"
        )
    count = sum(map(len, requests.values()))
    extras = after["hedges"] + after["retries"] - before["hedges"] - before["retries"]
    scarce = sum(sends[f"s{shard}"] for shard in shards) / max(1, len(shards)) / count
    figures.append(f"extra {extras / count:.2f}/search sent to each {scarce:.2f}/search")
    figures.append(str(dict(replay.reasons.most_common(5))))
    new = {
        name: after[name] - before[name] for name in after if name.startswith(("parts_", "hedges_"))
    }
    figures.append(f"{new} datagrams {len(replay.sent)}")
    return "\n   ".join(figures)


if __name__ == "__main__":
    policy_name, *names = sys.argv[1:]
    for name in names or LOADS:
        fleet = Replay()
        for world in fleet.worlds.values():
            world.state.policies = policy.from_names({"scarcity": policy_name})
        fleet.send_both(10.0)
        print(policy_name, measure(fleet, name), flush=True)
