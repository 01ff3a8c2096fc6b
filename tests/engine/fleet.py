"""Several daemons with one simulated clock, which exchange datagrams and share their targets."""

import itertools
import typing

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from tests.engine import world as worlds

STEP_S = 0.005  # step of the clock and delay of a datagram
_EVENTS = {
    datagram.Gossip: event.GossipReceived,
    datagram.Reports: event.ReportsReceived,
    datagram.Answers: event.AnswersReceived,
    datagram.Misdirected: event.MisdirectedReceived,
    datagram.LostDomains: event.LostDomainsReceived,
    datagram.Ping: event.PingReceived,
    datagram.Load: event.LoadReceived,
}


class Fleet:
    """Daemons, `per_domain` of them in each failure domain, and the replicas of some shards."""

    def __init__(
        self,
        per_domain: int,
        shards: int,
        routes: tuple[model.Route, ...] = (),
        retry_slack: float = 162.0,
        **route: object,
    ) -> None:
        routes = routes or (worlds.search_route(shards, **route),)
        self.worlds: dict[str, worlds.World] = {}
        # Pairs of failure domains that cannot reach each other.
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.dropped_types: set[type] = set()  # types of datagrams that are lost
        self.sent: list[tuple[str, object]] = []
        self._turns: typing.Iterator[worlds.World] = iter(())
        for index, domain in itertools.product(range(per_domain), worlds.DOMAINS):
            ip = f"10.1.{worlds.DOMAINS.index(domain)}.{index}"
            world = worlds.World(ip=ip, failure_domain=domain, retry_slack=retry_slack)
            world.rng.seed(ip)
            world.state.rng.seed(ip)
            self.worlds[ip] = world
        first = next(iter(self.worlds.values()))
        for shard in range(shards):
            first.add_pool(f"s{shard}", slots=4)
        self.replicas = first.replicas
        for world in self.worlds.values():
            world.replicas = self.replicas
            world.network_delay_s = 0.007
            world.publish_routes(*routes)
            world.start()
        seeds = list(self.worlds)[:3]
        for ip, world in self.worlds.items():
            for seed in seeds:
                if seed != ip:
                    domain = self.worlds[seed].state.settings.failure_domain
                    world.receive_gossip(seed, domain)
        self._turns = itertools.cycle(list(self.worlds.values()))
        self.run(4.0)

    @property
    def now(self) -> float:
        return next(iter(self.worlds.values())).now

    def run(self, seconds: float) -> None:
        """Advance the clock of all daemons."""
        for _ in range(round(seconds / STEP_S)):
            for ip, world in self.worlds.items():
                world.unreachable_domains = self._unreachable_domains(world)
                world.run(STEP_S)
                self._deliver(ip, world)

    def send_load(self, per_s: float, seconds: float, **fields: object) -> list[tuple]:
        """Send requests to the daemons in turn; return the daemon and number of each."""
        requests = []
        for _ in range(round(per_s * seconds)):
            world = next(self._turns)
            requests.append((world, world.send_request(**fields)))
            self.run(1.0 / per_s)
        return requests

    def mean_score(self, requests: list[tuple], objective_s: float) -> float:
        """Return the mean score of requests, as `World.mean_score` does for one daemon."""
        return sum(world.mean_score([number], objective_s) for world, number in requests) / len(
            requests
        )

    def _unreachable_domains(self, world: worlds.World) -> set[str]:
        local_domain = world.state.settings.failure_domain
        return {
            domain
            for domain in worlds.DOMAINS
            if frozenset((local_domain, domain)) in self.partitioned_pairs
        }

    def _deliver(self, ip: str, world: worlds.World) -> None:
        sends = [sent for sent in world.effects if isinstance(sent, effect.SendPeer)]
        world.effects.clear()
        for sent in sends:
            self.sent.append((ip, sent.message))
            receiver = self.worlds.get(sent.ip)
            if receiver is None or type(sent.message) in self.dropped_types:
                continue
            if receiver.state.settings.failure_domain in world.unreachable_domains:
                continue
            blob = datagram.encode(sent.message)
            message = datagram.decode(blob)
            receiver.post(_EVENTS[type(message)](message))
