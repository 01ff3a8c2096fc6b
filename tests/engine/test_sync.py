from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import model
from hyssopproxy.engine import sync
from tests.engine import world as worlds


def sent_reads(world):
    return [
        read for read in world.effects if isinstance(read, (effect.ReadPage, effect.ReadChanges))
    ]


def test_daemon_lists_at_start_and_then_watches_from_the_first_page():
    world = worlds.World()
    world.start()
    first = sent_reads(world)[-1]
    assert isinstance(first, effect.ReadPage) and first.after is None
    world.post(event.PageRead(first.read_no, (), 40, "k"))
    second = sent_reads(world)[-1]
    assert second.after == "k"
    world.post(event.PageRead(second.read_no, (), 45, None))
    world.run(sync.FIRST_WATCH_DELAY_S + 0.2)
    watch = sent_reads(world)[-1]
    assert isinstance(watch, effect.ReadChanges) and watch.after == 40


def test_only_one_read_is_in_flight():
    world = worlds.make_plain_world(seconds=1.0)
    assert world.state.sync.read_no
    before = len(sent_reads(world))
    world.run(1.0)
    assert len(sent_reads(world)) == before


def test_compacted_history_leads_to_a_new_listing():
    world = worlds.make_plain_world(seconds=0.5)
    world.post(event.ReadFailed(world.state.sync.read_no, "status 410", is_compacted=True))
    assert isinstance(sent_reads(world)[-1], effect.ReadPage)
    assert world.state.table is not None


def test_failed_reads_are_retried_with_backoff():
    """Guards against a retry storm when the store is down and every daemon retries its read."""
    world = worlds.make_plain_world(seconds=0.5)
    before = len(sent_reads(world))
    for _ in range(400):
        world.run(0.05)
        if world.state.sync.read_no:
            world.post(event.ReadFailed(world.state.sync.read_no, "status 503"))
    assert len(sent_reads(world)) - before <= 20 / 0.5 + 6


def test_answer_to_an_abandoned_read_is_ignored():
    world = worlds.make_plain_world(seconds=0.5)
    world.post(event.ChangesRead(999_999, (model.Change("targets/p-0", 900, None),), 900))
    assert world.state.targets["targets/p-0"].removed_at is None


def test_peer_with_newer_data_is_read_while_the_watch_gets_no_answer():
    world = worlds.make_plain_world(seconds=0.5)
    world.receive_gossip("10.9.0.9", "domain-b", version=9, revision=999)
    world.run(0.3)
    assert not any(read.source != worlds.STORE for read in sent_reads(world))
    world.run(0.6)
    assert sent_reads(world)[-1].source == "10.9.0.9:99"


def test_daemon_that_starts_without_the_store_reads_a_peer():
    world = worlds.World()
    world.start()
    world.post(event.ReadFailed(world.state.sync.read_no, "refused"))
    world.receive_gossip("10.9.0.9", "domain-b", version=9, revision=999)
    world.run(1.0)
    assert any(read.source == "10.9.0.9:99" for read in sent_reads(world))
    page = sent_reads(world)[-1]
    route = worlds.plain_route()
    table = model.RoutingTable(9, (route,), {})
    world.post(event.PageRead(page.read_no, (model.Change("table", 999, table),), 999, None))
    assert lifecycle.unready_reason(world.state, world.now) == ""


def test_peer_with_an_older_version_is_not_read():
    world = worlds.make_plain_world(seconds=0.5)
    world.state.sync.failures = 5
    world.receive_gossip("10.9.0.9", "domain-b", version=0, revision=999)
    world.run(2.0)
    assert not any(read.source != worlds.STORE for read in sent_reads(world))


def test_store_is_read_after_a_failed_read_of_a_peer():
    world = worlds.make_plain_world(seconds=0.5)
    world.receive_gossip("10.9.0.9", "domain-b", version=9, revision=999)
    world.run(0.9)
    assert sent_reads(world)[-1].source == "10.9.0.9:99"
    world.post(event.ReadFailed(world.state.sync.read_no, "refused"))
    world.run(0.2)
    assert sent_reads(world)[-1].source == worlds.STORE


def test_one_daemon_of_a_domain_reads_the_store_and_the_others_follow_it():
    """Guards against overload of the store when 60 daemons read a change at once."""
    ips = [f"10.9.0.{index}" for index in range(20)]
    readers = set()
    for local_ip in ips:
        world = worlds.World(ip=local_ip)
        world.add_pool("p")
        world.publish_routes(worlds.plain_route())
        for ip in ips:
            world.receive_gossip(ip, worlds.HOME, version=1, revision=3)
        world.start()
        world.run(sync.FIRST_WATCH_DELAY_S + 0.5)
        source = sent_reads(world)[-1].source
        readers.add(source if source != worlds.STORE else f"{local_ip}:99")
    assert len(readers) == 1


def make_follower(is_stale=False):
    """Return a world whose domain has another daemon, which is the reader unless it is stale."""
    world = worlds.make_plain_world(seconds=0.5)
    number = 0
    while sync.find_reader(world.state, world.now) == world.state.settings.ip:
        number += 1
        record = datagram.MemberRecord(f"10.9.0.{number}", worlds.HOME, 1, 1, 1, 2, is_stale)
        world.post(event.GossipReceived(datagram.Gossip(record, ())))
        if is_stale and number > 100:
            break
    world.post(event.ChangesRead(world.state.sync.read_no, (), world.state.sync.as_of))
    return world


def test_store_is_read_after_the_reader_fails():
    world = make_follower()
    assert sent_reads(world)[-1].source != worlds.STORE
    world.post(event.ReadFailed(world.state.sync.read_no, "connection ended"))
    world.run(0.1)
    assert sent_reads(world)[-1].source == worlds.STORE


def test_daemon_that_lost_the_store_is_not_followed():
    world = make_follower(is_stale=True)
    assert sent_reads(world)[-1].source == worlds.STORE


def test_change_read_from_the_reader_is_applied():
    world = make_follower()
    table = model.RoutingTable(9, (worlds.plain_route(),), {})
    change = model.Change("table", 500, table)
    world.post(event.ChangesRead(world.state.sync.read_no, (change,), 500))
    assert world.state.table.version == 9
    assert sent_reads(world)[-1].after == 500


def test_daemon_with_the_highest_link_bandwidth_is_the_reader():
    """Guards against late requests at a reader whose slow link is busy with a large table."""
    world = worlds.make_plain_world(seconds=0.5)
    for number in range(30):
        link_mbps = 200.0 if number == 17 else 20.0
        record = datagram.MemberRecord(
            f"10.9.0.{number}", worlds.HOME, 1, 1, 1, 2, is_stale=False, link_mbps=link_mbps
        )
        world.post(event.GossipReceived(datagram.Gossip(record, ())))
    assert sync.find_reader(world.state, world.now) == "10.9.0.17"
    del world.state.members["10.9.0.17"]
    assert sync.find_reader(world.state, world.now) in world.state.members


def test_watch_with_fewer_changes_than_revisions_is_logged():
    """Guards against a daemon that loses changes, and whose log does not show in which read."""
    world = worlds.make_plain_world(seconds=0.5)
    after = world.state.sync.as_of
    change = model.Change("targets/p-0", after + 1, None)
    world.post(event.ChangesRead(world.state.sync.read_no, (change,), after + 1))
    world.run(0.5)
    world.post(event.ChangesRead(world.state.sync.read_no, (), after + 3))
    logs = [log for log in world.effects if isinstance(log, effect.Log)]
    lines = [log.fields for log in logs if log.name == "changes_skipped"]
    assert [(line["after"], line["as_of"], line["changes"]) for line in lines] == [
        (after + 1, after + 3, 0)
    ]


def test_listing_below_the_copy_is_logged_with_what_was_ignored():
    """Guards against a log in which a listing that is ignored looks like one that is applied."""
    world = worlds.make_plain_world(seconds=0.5)
    as_of = world.state.sync.as_of
    world.post(event.ReadFailed(world.state.sync.read_no, "status 410", is_compacted=True))
    entry = world.replicas["p-0"].entry
    older = model.Change("targets/p-0", 1, entry)
    world.post(event.PageRead(world.state.sync.read_no, (older,), as_of - 1, None))
    logs = [log for log in world.effects if isinstance(log, effect.Log)]
    line = [log.fields for log in logs if log.name == "listed"][-1]
    assert (line["as_of"], line["copy_as_of"]) == (as_of - 1, as_of)
    assert (line["items"], line["ignored"]) == (1, 1)
