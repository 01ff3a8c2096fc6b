"""A fleet whose daemons read a simulated store and follow each other."""

import attrs
import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import state as states
from hyssopproxy.engine import sync
from tests.engine import fleet as fleets
from tests.engine import world as worlds

PER_DOMAIN = 20
STORE_DELAY_S = 0.004
PEER_DELAY_S = 0.002
APPLY_S = 6.0  # bound on the time until a configuration is in force everywhere


@attrs.frozen(eq=False)
class HeldRead:
    """A watch that waits for changes."""

    ip: str  # of the daemon that reads
    read: effect.ReadChanges
    until: float


class ReadingFleet(fleets.Fleet):
    """Daemons that read the store and each other."""

    def __init__(self, per_domain: int) -> None:
        self.calls: list[float] = []  # times of the calls to the store
        self.refused: set[str] = set()  # daemons that the store refuses
        self.silent: set[str] = set()  # daemons that get no answer from the store
        self.frozen: set[str] = set()  # daemons that answer no peer
        self.changes: list[model.Change] = []
        self.revision = 0
        self._held: list[HeldRead] = []
        super().__init__(per_domain, shards=2)

    def publish_table(self, version: int) -> None:
        """Write a routing table to the store."""
        self.revision = 1 + max(world.state.sync.as_of for world in self.worlds.values())
        table = model.RoutingTable(version, (worlds.search_route(2),), {})
        self.changes.append(model.Change("table", self.revision, table))
        self._answer_held(worlds.STORE)

    def daemons_behind(self, version: int) -> list[str]:
        return [ip for ip, world in self.worlds.items() if world.state.table.version < version]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / fleets.STEP_S)):
            super().run(fleets.STEP_S)
            over = [held for held in self._held if self.now >= held.until]
            self._held = [held for held in self._held if self.now < held.until]
            for held in over:
                self._answer(held.ip, held.read)

    def _deliver(self, ip, world):
        if ip in self.frozen:
            world.effects.clear()
            return
        for item in list(world.effects):
            if isinstance(item, (effect.ReadPage, effect.ReadChanges)):
                self._start_read(ip, item)
            elif isinstance(item, effect.AnswerFollowers):
                self._answer_held(ip)
        super()._deliver(ip, world)

    def _start_read(self, ip, read):
        world = self.worlds[ip]
        if read.is_store:
            self.calls.append(world.now)
        world._schedule(world.now + read.timeout_s, event.ReadFailed(read.read_no, "timed out"))
        if read.source.rpartition(":")[0] in self.frozen or read.is_store and ip in self.silent:
            return
        if self._may_answer(ip, read) and not self._changes_for(read):
            self._held.append(HeldRead(ip, read, world.now + read.wait_s))
        else:
            self._answer(ip, read)

    def _answer_held(self, source):
        """Answer the reads that a daemon or the store holds."""
        held_reads, self._held = self._held, []
        for held in held_reads:
            if held.read.source == source or held.read.source.rpartition(":")[0] == source:
                self._answer(held.ip, held.read)
            else:
                self._held.append(held)

    def _source(self, read) -> states.State:
        return self.worlds[read.source.rpartition(":")[0]].state

    def _may_answer(self, ip, read):
        if read.is_store:
            return ip not in self.refused
        return sync.may_serve_followers(self._source(read), self.now)

    def _changes_for(self, read):
        as_of = self.revision if read.is_store else self._source(read).sync.as_of
        return tuple(change for change in self.changes if read.after < change.revision <= as_of)

    def _answer(self, ip, read):
        world = self.worlds[ip]
        if not self._may_answer(ip, read):
            answer = event.ReadFailed(read.read_no, "status 503", is_refused=True)
        elif read.is_store:
            answer = event.ChangesRead(read.read_no, self._changes_for(read), self.revision)
        else:
            source = self._source(read)
            age_s = sync.data_age_s(source, self.now)
            changes = self._changes_for(read)
            answer = event.ChangesRead(read.read_no, changes, source.sync.as_of, age_s)
        delay_s = STORE_DELAY_S if read.is_store else PEER_DELAY_S
        world._schedule(world.now + delay_s, answer)


@pytest.fixture
def fleet():
    fleet = ReadingFleet(PER_DOMAIN)
    fleet.run(3.0)
    fleet.calls.clear()
    return fleet


def readers(fleet):
    """Return the daemon that each daemon follows; itself if it reads the store."""
    return {ip: sync.find_reader(world.state, fleet.now) for ip, world in fleet.worlds.items()}


def test_calls_to_the_store_do_not_grow_with_the_fleet(fleet):
    """Guards against calls of daemons that lost sight of their reader for a moment.

    Of 195 daemons, 70 called the store in any two seconds.
    """
    fleet.run(10.0)
    assert len(fleet.calls) <= 1.5 * 10.0 * len(worlds.DOMAINS)


def test_change_is_in_force_everywhere_within_moments(fleet):
    fleet.publish_table(7)
    fleet.run(1.0)
    assert fleet.daemons_behind(7) == []


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_calls_stay_bounded_while_the_store_serves_nobody(fleet, fault):
    """Guards against a store that returns from an outage to the calls of a whole fleet."""
    getattr(fleet, fault).update(fleet.worlds)
    seconds = 6.0
    fleet.run(seconds)
    per_domain_s = len(fleet.calls) / seconds / len(worlds.DOMAINS)
    assert per_domain_s <= 1.0 / sync.STORE_SPREAD_S + 2 * sync.QUICK_READERS
    getattr(fleet, fault).clear()
    fleet.publish_table(7)
    fleet.run(3.0)
    assert fleet.daemons_behind(7) == []
    fleet.calls.clear()
    fleet.run(6.0)
    assert len(fleet.calls) <= 2.0 * 6.0 * len(worlds.DOMAINS)


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_change_reaches_all_while_the_store_turns_the_readers_away(fleet, fault):
    """Guards against domains that follow a reader whom the store does not answer."""
    for _ in range(3):
        getattr(fleet, fault).update(readers(fleet).values())
        fleet.run(0.7)
    fleet.publish_table(7)
    fleet.run(APPLY_S)
    assert fleet.daemons_behind(7) == []


def test_change_reaches_all_while_a_reader_answers_nobody(fleet):
    """A reader that is frozen closes no connection; its followers wait for a time-out."""
    fleet.frozen.update(readers(fleet).values())
    fleet.publish_table(7)
    fleet.run(APPLY_S)
    assert set(fleet.daemons_behind(7)) <= fleet.frozen


def test_daemon_vouches_only_for_data_that_were_current_after_its_last_failure(fleet):
    ip = next(iter(readers(fleet).values()))
    state = fleet.worlds[ip].state
    assert sync.may_serve_followers(state, fleet.now)
    assert not sync.may_serve_followers(state, state.sync.last_synced_at + sync.FRESH_S + 0.01)
    state.sync.read_no, state.sync.source = 10**9, worlds.STORE
    fleet.worlds[ip].post(event.ReadFailed(10**9, "status 503", is_refused=True))
    assert not sync.may_serve_followers(state, fleet.now)


def test_daemons_that_follow_each_other_do_not_answer_each_other_without_end():
    first, second = (worlds.World(ip=f"10.1.0.{n}") for n in (1, 2))
    for world in (first, second):
        world.add_pool("p")
        world.publish_routes(worlds.plain_route())
        world.start()
        world.run(1.0)
        world.state.sync.last_synced_at = world.now - 0.5
    answers = 0
    for _ in range(20):
        for world, other in ((first, second), (second, first)):
            world.receive_gossip(other.state.settings.ip, worlds.HOME, 1, 9, heartbeat=answers + 1)
            sync_state = world.state.sync
            sync_state.read_no = world.state.next_number()
            sync_state.source = f"{other.state.settings.ip}:99"
            age_s = sync.data_age_s(other.state, world.now)
            read = event.ChangesRead(sync_state.read_no, (), sync_state.as_of, age_s)
            world.run(0.0005)
            out = world.post(read)
            answers += any(isinstance(item, effect.AnswerFollowers) for item in out)
    assert answers <= 2
