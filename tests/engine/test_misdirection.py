import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import event
from hyssopproxy.engine import misdirection
from hyssopproxy.engine import model
from tests.engine import scarce
from tests.engine import world as worlds


def post(world, target, **changes):
    entry = target.entry
    values = {"address": entry.address, "started_at_ms": entry.started_at_ms, **changes}
    message = datagram.Misdirected((datagram.MisdirectedTarget(target.id, **values),))
    world.post(event.MisdirectedReceived(message))


@pytest.fixture(name="world")
def make_world():
    return worlds.make_plain_world(members=7)


def test_few_requests_of_the_fleet_reach_a_reused_address():
    """Guards against retries that use up the budget, as each daemon finds out by itself."""
    counts = {}
    for dropped in ((), (datagram.Misdirected,)):
        replay = scarce.Replay(8)
        replay.dropped_types.update(dropped)
        replay.send_both(4.0)
        scarce.moved_replicas(replay)
        replay.send_both(6.0)
        counts[dropped] = replay.counters()["attempts_misdirected"]
    assert 0 < counts[()] < counts[datagram.Misdirected,] / 3


@pytest.mark.parametrize("outcome", [model.Outcome.MISDIRECTED, model.Outcome.SHED])
def test_requests_that_have_not_run_do_not_use_up_the_attempts(outcome):
    """Guards against parts that are missing with `attempts_used` though nothing has run."""
    world = worlds.make_search_world(shards=4, max_attempts=1)
    for pool in world.state.pools:
        for target in list(world.state.pools[pool].values())[:2]:
            world.replicas[target.id].fixed_outcome = outcome
    numbers = world.send_load(5, 2)
    world.run(0.5)
    assert all(world.results[number].effect.missing == 0 for number in numbers)


def test_reported_target_is_asked_only_if_there_is_no_other(world):
    targets = list(world.state.targets.values())
    for target in targets[:2]:
        post(world, target)
    numbers = world.send_load(20, 1, path="/p/x")
    assert not world.replicas[targets[0].id].arrivals + world.replicas[targets[1].id].arrivals
    post(world, targets[2])
    numbers += world.send_load(20, 1, path="/p/x")
    world.run(0.5)
    refused = [number for number in numbers if not hasattr(world.results[number].effect, "reply")]
    assert not refused


@pytest.mark.parametrize("changes", [{"address": "10.2.0.99:80"}, {"started_at_ms": 99}])
def test_report_of_another_start_or_address_is_ignored(world, changes):
    """Guards against a new start of a target that is avoided for what was known of the last."""
    target = next(iter(world.state.targets.values()))
    post(world, target, **changes)
    assert not target.is_reported_misdirected and not world.state.pending_misdirected


def test_report_is_passed_on_once(world):
    target = next(iter(world.state.targets.values()))
    post(world, target)
    assert world.state.pending_misdirected == [target]
    world.run(0.2)
    post(world, target)
    world.replicas[target.id].fixed_outcome = model.Outcome.MISDIRECTED
    misdirection.record(world.state, target, [])
    assert not world.state.pending_misdirected and target.is_misdirected


def test_datagram_with_most_targets_fits_a_packet():
    target = datagram.MisdirectedTarget("x" * 36, "255.255.255.255:65535", 1_800_000_000_000)
    message = datagram.Misdirected((target,) * misdirection.MAX_TARGETS_PER_DATAGRAM)
    blob = datagram.encode(message)
    assert len(blob) < 1400 and datagram.decode(blob) == message
