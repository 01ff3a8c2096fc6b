"""Checks from what leaves saw that those that leave or are closed got no requests they refuse.

A freeze, restart or stop of a daemon excuses its requests from then on.
"""

import attrs

from hyssopproxy.emulator import replica as replicas

MAX_EARLY = 2  # requests of a daemon to a closed leaf before the end of its time
IN_FLIGHT_S = 0.5  # after its first refusal, requests on their way do not count


@attrs.define
class Record:
    """Who sent which request when, and what the daemons passed on and went through."""

    drain_s: float
    senders: dict[str, tuple[str, float]] = attrs.field(factory=dict)  # id -> daemon, time
    answers: dict[tuple[str, str], float] = attrs.field(factory=dict)  # id, leaf -> time
    disturbances: list[tuple[str, float]] = attrs.field(factory=list)  # daemon, time

    def is_excused(self, host: str, since: float, until: float) -> bool:
        """Return whether a daemon was disturbed meanwhile."""
        return any(name == host and since <= at <= until for name, at in self.disturbances)

    def find_violations(self, leaf: replicas.Replica) -> list[str]:
        """Return the requests that the leaf should not have got."""
        return self._find_after_leaving(leaf) + self._find_early(leaf)

    def _find_after_leaving(self, leaf: replicas.Replica) -> list[str]:
        told: dict[tuple[str, int], float] = {}  # by daemon and incarnation
        for item in leaf.arrivals:
            answered_at = self.answers.get((item.request_id, leaf.name))
            if item.says_leaving and answered_at is not None:
                key = self.senders[item.request_id][0], item.born
                told[key] = min(answered_at, told.get(key, answered_at))
        found = []
        for item in leaf.arrivals:
            if item.request_id not in self.senders:
                continue
            host, sent_at = self.senders[item.request_id]
            told_at = told.get((host, item.born), float("inf"))
            late_s = sent_at - told_at - self.drain_s
            if late_s > 0.0 and not self.is_excused(host, told_at, item.at):
                found.append(
                    f"{item.request_id}: sent by {host} to {leaf.name} {late_s:.3f} s after it left"
                )
        return found

    def _find_early(self, leaf: replicas.Replica) -> list[str]:
        refused: dict[tuple[str, float], list[float]] = {}  # by daemon and end of the time
        for item in leaf.arrivals:
            if item.closed_until and item.request_id in self.senders:
                key = self.senders[item.request_id][0], item.closed_until
                refused.setdefault(key, []).append(item.at)
        found = []
        for (host, end), times in refused.items():
            early = [at for at in times if at > times[0] + IN_FLIGHT_S]
            if len(early) > MAX_EARLY and not self.is_excused(host, times[0], early[-1]):
                found.append(
                    f"{leaf.name}: {len(early)} requests from {host} while it was closed, the last"
                    f" {end - early[-1]:.3f} s before the end"
                )
        return found
