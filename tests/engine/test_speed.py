import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import speed
from hyssopproxy.engine import state as states
from tests.engine import world as worlds


@pytest.fixture(name="world")
def make_world():
    return worlds.make_search_world(shards=2)


def find_target(world):
    return world.state.targets_by_id["s0-0"]


def record_late(target, sent_at, seconds):
    """Record a request as late at intervals, until it has had no answer for some seconds."""
    for step in range(1, round(seconds / 0.05) + 1):
        speed.record_silent(target, sent_at, 3.0 * step, sent_at + 0.05 * step)
    return sent_at + seconds


def post_answer(world, target, age_ms, ratio):
    message = datagram.Answers((datagram.Answer(target.id, age_ms, ratio),))
    return world.post(event.AnswersReceived(message))


def test_late_answers_of_pauses_do_not_count_as_lasting(world):
    """Guards against shards that are left out because each target has paused once or twice."""
    target = find_target(world)
    for start in (0.0, 2.4, 4.8):
        end = record_late(target, world.now + start, 0.25)
        assert not speed.is_lasting(target, end)
        assert not speed.is_lasting(target, end + 1.0)


def test_late_answers_over_a_longer_time_count_as_lasting(world):
    target = find_target(world)
    end = record_late(target, world.now, 0.5)
    assert speed.is_lasting(target, end) and speed.silence_s(target, end) == 0.0
    end = record_late(target, end, 0.5)
    assert speed.silence_s(target, end) == pytest.approx(1.0)
    assert not speed.is_lasting(target, end + speed.RECENT_S + 0.1)


def test_recovery_is_reported_and_ends_slowness_and_silence(world):
    target = find_target(world)
    world.run(record_late(target, world.now, 1.0) - world.now)
    attempt = states.Attempt(1, None, target, world.now, 0.02, world.now + 0.05, False)
    speed.record_answer(world.state, attempt, 1.1, world.now + 0.02)
    assert not speed.is_lasting(target, world.now)
    world.receive_gossip("10.9.0.10", worlds.HOME, heartbeat=2)
    world.run(0.2)
    sent = [item.message for item in world.effects if isinstance(item, effect.SendPeer)]
    answers = [message.answers for message in sent if isinstance(message, datagram.Answers)]
    assert answers and answers[0][0].target_id == target.id and answers[0][0].ratio == 1.1


def test_recovery_is_passed_on_only_by_daemons_to_which_it_is_new(world):
    target = find_target(world)
    world.run(record_late(target, world.now, 1.0) - world.now + 0.1)
    post_answer(world, target, 20, 1.0)
    assert not speed.is_lasting(target, world.now) and target.id in world.state.pending_answers
    world.run(0.2)
    post_answer(world, target, 20, 1.0)
    assert not world.state.pending_answers


def test_requests_sent_before_a_recovery_do_not_make_the_target_slow_again(world):
    """Guards against requests that were lost in a failure and are recorded as late for a second."""
    target = find_target(world)
    sent_at = world.now
    world.run(record_late(target, sent_at, 1.0) - world.now + 0.1)
    post_answer(world, target, 20, 1.0)
    speed.record_silent(target, sent_at, 30.0, world.now + 0.5)
    assert not speed.is_lasting(target, world.now + 0.5)


def test_answers_of_unknown_targets_and_old_answers_are_ignored(world):
    target = find_target(world)
    world.run(record_late(target, world.now, 1.0) - world.now + 0.1)
    post_answer(world, target, 60_000, 1.0)
    assert speed.is_lasting(target, world.now)
    message = datagram.Answers((datagram.Answer("none", 0, 1.0),))
    world.post(event.AnswersReceived(message))
    assert not world.state.pending_answers


def test_datagram_with_most_answers_fits_a_packet():
    answer = datagram.Answer("x" * 36, 2000, 29.9)
    message = datagram.Answers((answer,) * speed.MAX_ANSWERS_PER_DATAGRAM)
    blob = datagram.encode(message)
    assert len(blob) < 1400 and datagram.decode(blob) == message


def test_daemon_that_stood_still_does_not_take_targets_for_silent():
    """Guards against searches that are refused after a freeze, as all requests look late."""
    world = worlds.make_search_world(shards=4)
    world.send_load(20, 3)
    for replica in world.replicas.values():
        replica.service_time_s = 0.3
    world.send_request()
    for replica in world.replicas.values():
        replica.service_time_s = 0.02
    held = world._queue[:]
    world._queue.clear()
    world.run(3.0)
    world._queue.extend(item for item in held if not isinstance(item[2], event.AttemptEnded))
    world.run(0.05)
    targets = world.state.targets.values()
    assert not any(speed.is_lasting(target, world.now) for target in targets)


def test_single_report_of_another_daemon_does_not_show_a_lasting_silence(world):
    target = find_target(world)
    world.send_load(20, 2)
    report = datagram.Report(target.id, datagram.Symptom.SILENT, 0, 30.0)
    world.state.statistics(world.state.table.routes[0]).latency.median = 0.05
    world.post(event.ReportsReceived(datagram.Reports("domain-c", 0.0, 0.0, (report,))))
    assert not speed.is_lasting(target, world.now)
