import attrs
import msgspec
import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import era
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.engine import sync
from tests.engine import world as worlds

KEY = "targets/p-0"
OUT_KEY = "out/domain-b"


def make_world():
    """Return a world in era 1 whose store has reached revision 100."""
    world = worlds.make_plain_world(seconds=0.5)
    world.state.sync.era = 1
    world._revision = 100
    world.publish(world.replicas["p-2"].entry)
    return world


def list_changes(world, changes, as_of, listed_era=2):
    """Let a watch get 410 and post a listing of two pages."""
    state = world.state
    state.sync.read_no = state.sync.read_no or state.next_number()
    world.post(event.ReadFailed(state.sync.read_no, "status 410", is_compacted=True))
    half = len(changes) // 2
    world.post(
        event.PageRead(state.sync.read_no, tuple(changes[:half]), as_of, "k", era=listed_era)
    )
    page = event.PageRead(
        state.sync.read_no, tuple(changes[half:]), as_of + 1, None, era=listed_era
    )
    world.post(page)


def make_copy(world, **entries):
    """Return the items of an older copy; `entries` replaces entries, or leaves them out if None."""
    changes = [model.Change("table", 1, attrs.evolve(world.state.table))]
    for number, (name, replica) in enumerate(sorted(world.replicas.items())):
        entry = entries.get(name.replace("-", "_"), replica.entry)
        if entry is not None:
            changes.append(model.Change(f"targets/{name}", 2 + number, entry))
    return changes


def logs(world, name):
    return [log.fields for log in world.effects if isinstance(log, effect.Log) and log.name == name]


def rewrite(world, change):
    """Post a change of the new era, read by the next watch."""
    world.run(0.3)
    state = world.state
    state.sync.read_no = state.sync.read_no or state.next_number()
    world.post(
        event.ChangesRead(state.sync.read_no, (change,), change.revision, era=state.sync.era)
    )


def test_listing_of_a_newer_era_replaces_the_copy_as_a_whole():
    """Guards against a mixture of eras: configurations and evacuations were never learnt."""
    world = make_world()
    list_changes(world, make_copy(world, p_1=None), 40)
    state = world.state
    assert (state.sync.era, state.sync.as_of) == (2, 40)
    assert state.targets["targets/p-1"].removed_at is not None
    assert state.sync.revisions == {"table": 1, KEY: 2, "targets/p-2": 4}
    (line,) = logs(world, "store_returned")
    assert (line["era_before"], line["era"], line["as_of"]) == (1, 2, 40)
    assert state.counters["store_returns"] == 1
    rewrite(world, model.Change("table", 42, model.RoutingTable(9, (), {})))
    rewrite(world, model.Change(OUT_KEY, 43, model.Evacuation("domain-b")))
    assert state.table.version == 9 and OUT_KEY in state.evacuated_domains


def test_incomplete_listing_of_a_newer_era_changes_nothing():
    world = make_world()
    state = world.state
    world.post(event.ReadFailed(state.sync.read_no, "status 410", is_compacted=True))
    world.post(event.PageRead(state.sync.read_no, (), 40, "k", era=2))
    world.post(event.ReadFailed(state.sync.read_no, "timed out"))
    assert (state.sync.era, state.sync.as_of) == (1, 101)
    assert not any(target.removed_at for target in state.targets.values())


def test_older_configuration_of_the_copy_does_not_replace_a_newer_one():
    world = make_world()
    copy = make_copy(world)
    world.publish(model.RoutingTable(5, (worlds.plain_route(),), {}))
    list_changes(world, copy, 40)
    assert world.state.table.version == 5
    rewrite(world, model.Change("table", 42, model.RoutingTable(6, (), {})))
    assert world.state.table.version == 6


def test_watch_answered_in_a_newer_era_leads_to_a_listing():
    """Guards against a daemon that was away while the store passed the revision that it had."""
    world = make_world()
    state = world.state
    world.run(0.3)
    removal = model.Change(KEY, 150, None)
    world.post(event.ChangesRead(state.sync.read_no, (removal,), 150, era=2))
    read = [item for item in world.effects if isinstance(item, effect.ReadPage)][-1]
    assert read.read_no == state.sync.read_no and read.era == 2
    assert state.targets[KEY].removed_at is None and state.sync.era == 1


@pytest.mark.parametrize("kind", ["page", "changes"])
def test_late_answer_of_the_era_before_is_refused(kind):
    """Guards against items that the store has lost, in the answer of a peer that is behind."""
    world = make_world()
    list_changes(world, make_copy(world), 40)
    state = world.state
    world.run(0.3)
    late = model.Change(OUT_KEY, 120, model.Evacuation("domain-b"))
    if kind == "page":
        world.post(event.ReadFailed(state.sync.read_no, "status 410", is_compacted=True))
        world.post(event.PageRead(state.sync.read_no, (late,), 120, None, era=1))
    else:
        world.post(event.ChangesRead(state.sync.read_no, (late,), 120, era=1))
    assert (state.sync.era, state.sync.as_of) == (2, 40)
    assert OUT_KEY not in state.evacuated_domains
    assert state.counters["reads_failed"] == 1


def test_second_return_in_a_row_replaces_the_copy_again():
    world = make_world()
    list_changes(world, make_copy(world), 40)
    list_changes(world, make_copy(world, p_0=None), 30, listed_era=3)
    assert (world.state.sync.era, world.state.sync.as_of) == (3, 30)
    assert world.state.targets[KEY].removed_at is not None


@pytest.mark.parametrize("state_of_target", ["draining", "removed", "replaced"])
def test_target_is_not_used_on_the_word_of_the_older_copy(state_of_target):
    """Guards against requests to a target that drains or is gone, and stands there as ready."""
    world = make_world()
    copy = make_copy(world)
    entry = world.replicas["p-0"].entry
    if state_of_target == "draining":
        world.publish(attrs.evolve(entry, is_draining=True))
    elif state_of_target == "removed":
        world.remove(entry)
    else:
        world.publish(attrs.evolve(entry, started_at_ms=77, address="10.2.0.9:80"))
    before = world.state.targets[KEY].entry
    list_changes(world, copy, 40)
    list_changes(world, copy, 39, listed_era=3)
    world.run(sync.MAX_LAG_S)
    target = world.state.targets[KEY]
    assert target.entry == before
    assert (target.removed_at is not None) == (state_of_target == "removed")
    rewrite(world, model.Change(KEY, 60, attrs.evolve(entry, cold_left_s=1.0)))
    target = world.state.targets[KEY]
    assert target.removed_at is None and target.entry.cold_left_s == 1.0
    assert not world.state.sync.held


def test_held_entry_is_applied_once_the_store_had_time_to_drop_it():
    world = make_world()
    copy = make_copy(world)
    world.remove(world.replicas["p-0"].entry)
    list_changes(world, copy, 40)
    assert world.state.targets[KEY].removed_at is not None
    world.run(era.HOLD_S + 0.1)
    assert world.state.targets[KEY].removed_at is None


def test_entry_written_since_the_return_is_used_at_once():
    """A higher revision than that of the removal cannot come from the older copy."""
    world = make_world()
    entry = world.replicas["p-0"].entry
    world.remove(entry)
    copy = [change for change in make_copy(world) if change.key != KEY]
    list_changes(world, [*copy, model.Change(KEY, 110, entry)], 110)
    assert world.state.targets[KEY].removed_at is None


def test_evacuation_that_the_store_lost_holds_until_it_is_written_again():
    """Guards against requests to a failure domain that operators have just taken out of service."""
    world = make_world()
    copy = make_copy(world)
    world.publish(model.Evacuation("domain-b"))
    list_changes(world, copy, 40)
    list_changes(world, copy, 39, listed_era=3)
    assert OUT_KEY in world.state.evacuated_domains
    rewrite(world, model.Change(OUT_KEY, 60, model.Evacuation("domain-b")))
    world.run(era.HOLD_S + 0.1)
    assert OUT_KEY in world.state.evacuated_domains
    rewrite(world, model.Change(OUT_KEY, 61, None))
    assert not world.state.evacuated_domains


def test_evacuation_that_is_not_written_again_ends():
    world = make_world()
    copy = make_copy(world)
    world.publish(model.Evacuation("domain-b"))
    list_changes(world, copy, 40)
    world.run(era.HOLD_S + 0.1)
    assert not world.state.evacuated_domains


def test_evacuation_that_was_taken_back_does_not_return_with_the_older_copy():
    world = make_world()
    copy = [*make_copy(world), model.Change(OUT_KEY, 9, model.Evacuation("domain-b"))]
    world.publish(model.Evacuation("domain-b"))
    world.run(0.3)
    world.post_changes([model.Change(OUT_KEY, world._revision + 1, None)])
    list_changes(world, copy, 40)
    list_changes(world, copy, 39, listed_era=3)
    assert not world.state.evacuated_domains
    rewrite(world, model.Change(OUT_KEY, 60, model.Evacuation("domain-b")))
    assert OUT_KEY in world.state.evacuated_domains


def receive_gossip(world, member_era, heartbeat=1, domain="domain-b", **fields):
    values = {"version": 1, "revision": 60, "link_mbps": 900.0, **fields}
    record = datagram.MemberRecord("10.9.0.9", domain, 1, heartbeat, era=member_era, **values)
    return world.post(event.GossipReceived(datagram.Gossip(record, ())))


def test_peer_of_a_newer_era_is_read_whatever_its_revision():
    """Guards against daemons that the store turns away and that keep what it has lost."""
    world = make_world()
    receive_gossip(world, 2, version=0)
    world.run(sync.MAX_LAG_S + 0.2)
    reads = [item for item in world.effects if isinstance(item, effect.ReadChanges)]
    assert reads[-1].source == "10.9.0.9:99" and reads[-1].era == 1


def test_peer_of_an_older_era_is_neither_read_nor_followed():
    """Guards against daemons that go back to what the store has lost."""
    world = make_world()
    list_changes(world, make_copy(world), 40)
    for heartbeat in range(1, 9):
        receive_gossip(world, 1, heartbeat, worlds.HOME, revision=900, version=9)
        world.run(0.3)
    reads = [item for item in world.effects if isinstance(item, effect.ReadChanges)]
    assert all(read.source == worlds.STORE for read in reads)
    assert sync.find_reader(world.state, world.now) == world.state.settings.ip
    receive_gossip(world, 2, 9, worlds.HOME)
    assert sync.find_reader(world.state, world.now) == "10.9.0.9"


def test_gossip_states_the_era_of_the_data():
    world = make_world()
    world.add_members(1)
    world.run(2.0)
    sent = [item.message for item in world.effects if isinstance(item, effect.SendPeer)]
    gossip = [item for item in sent if isinstance(item, datagram.Gossip)][-1]
    assert gossip.sender.era == 1
    assert datagram.decode(datagram.encode(gossip)).sender.era == 1


def test_record_of_an_older_daemon_counts_as_era_0():
    record = datagram.MemberRecord("10.9.0.9", "domain-b", 1, 1, 1, 60, era=7)
    fields = msgspec.msgpack.decode(datagram.encode(datagram.Gossip(record, ())))
    fields[1].pop()
    assert datagram.decode(msgspec.msgpack.encode(fields)).sender.era == 0


@pytest.mark.parametrize(
    ("stated", "least_era", "is_older", "expected"),
    [
        (4, 3, True, 4),
        (2, 3, False, 2),
        (None, 3, False, 3),
        (None, 3, True, 4),
        (None, 5, True, 5),
    ],
)
def test_store_that_states_no_era_has_returned_if_its_listing_is_older(
    stated, least_era, is_older, expected
):
    assert era.resolve(stated, least_era, 3, is_older) == expected


def test_reader_is_followed_into_the_era_that_it_has_just_served():
    """Guards against reads of the store by all daemons until gossip tells of the new era."""
    world = make_world()
    receive_gossip(world, 1, domain=worlds.HOME)
    state = world.state
    world.post(event.ChangesRead(state.sync.read_no, (), 101, era=1))
    assert state.sync.source == "10.9.0.9:99"
    list_changes(world, make_copy(world), 40)
    assert state.sync.era == 2
    assert sync.find_reader(state, world.now) == "10.9.0.9"
