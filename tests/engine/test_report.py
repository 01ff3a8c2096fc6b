import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import health
from tests.engine import fleet as fleets
from tests.engine import world as worlds

OBJECTIVE_S = 0.1
SHARDS = 12


def make_fleet(**fields):
    """A fleet in which each daemon sees one or two searches a second."""
    return fleets.Fleet(
        4, SHARDS, objective_s=OBJECTIVE_S, min_coverage=0.85, top_k=5, timeout_s=0.6, **fields
    )


def set_pauses(fleet):
    for number, replica in enumerate(fleet.replicas.values()):
        replica.service_time_s = 0.008
        replica.pause_length_s = 0.1
        replica.pause_period_s = 2.4
        replica.pause_phase_s = 0.37 * number


def count_held(fleet, since):
    """Return how many requests met a pause since a time."""
    return sum(at >= since for one in fleet.replicas.values() for at in one.paused_arrivals)


def test_pauses_that_the_fleet_has_learnt_are_met_by_few_requests():
    """Replays the grown deployments: thin load over dozens of targets that pause in turn."""
    fleet = make_fleet()
    set_pauses(fleet)
    start = fleet.now
    early = fleet.send_load(25.0, 4.0, time_left_s=0.6)
    held_early = count_held(fleet, start)
    fleet.send_load(25.0, 16.0, time_left_s=0.6)
    start = fleet.now
    late = fleet.send_load(25.0, 4.0, time_left_s=0.6)
    held_late = count_held(fleet, start)
    fleet.run(0.7)
    periods = [world.state.pause_pattern.period_s for world in fleet.worlds.values()]
    assert all(period == pytest.approx(2.4, abs=0.01) for period in periods)
    assert held_late < held_early / 2
    assert fleet.mean_score(late, OBJECTIVE_S) >= fleet.mean_score(early, OBJECTIVE_S)
    assert fleet.mean_score(late, OBJECTIVE_S) > 0.99


def play_slow_targets(fleet):
    """Four targets of a failure domain turn slow; return how many requests still go there."""
    for replica in fleet.replicas.values():
        replica.service_time_s = 0.008
    fleet.send_load(25.0, 6.0, time_left_s=0.6)
    slow = [one for one in fleet.replicas.values() if one.entry.failure_domain == worlds.HOME][:4]
    for replica in slow:
        replica.service_time_s = 0.12
    start = fleet.now
    fleet.send_load(25.0, 3.0, time_left_s=0.6)
    return sum(at >= start for one in slow for at in one.arrivals)


def test_slow_targets_are_met_by_few_daemons_once_one_has_told():
    told = play_slow_targets(make_fleet())
    alone = make_fleet()
    alone.dropped_types.add(datagram.Reports)
    assert told < play_slow_targets(alone)


def test_a_single_late_answer_makes_no_target_slow_for_the_fleet():
    """A lost packet delays one answer by 200 ms and says nothing of the target."""
    fleet = make_fleet()
    for replica in fleet.replicas.values():
        replica.service_time_s = 0.008
    fleet.send_load(25.0, 4.0, time_left_s=0.6)
    world = next(iter(fleet.worlds.values()))
    target = next(iter(world.state.targets.values()))
    health.queue_observation(world.state, target, datagram.Symptom.LATE, world.now, 20.0)
    fleet.run(0.5)
    others = [one.state.targets_by_id[target.id] for one in fleet.worlds.values()]
    assert max(health.slowness(one, fleet.now) for one in others) < health.SLOW_RATIO


def test_reports_are_bounded_and_fit_a_datagram():
    fleet = make_fleet()
    for replica in fleet.replicas.values():
        replica.failure_fraction = 0.5
    fleet.sent.clear()
    seconds = 6.0
    fleet.send_load(25.0, seconds, time_left_s=0.6)
    reports = [message for _, message in fleet.sent if isinstance(message, datagram.Reports)]
    assert reports
    assert len(reports) <= len(fleet.worlds) * (8.0 * seconds + 9.0)
    assert max(len(datagram.encode(message)) for message in reports) <= 1400


def test_failures_seen_in_another_domain_do_not_count():
    """A target may fail the callers of one failure domain only."""
    fleet = make_fleet()
    own, far = (
        next(one for one in fleet.worlds.values() if one.state.settings.failure_domain == domain)
        for domain in worlds.DOMAINS[:2]
    )
    target = next(iter(far.state.targets.values()))
    health.queue_observation(far.state, target, datagram.Symptom.FAILED, far.now)
    fleet.run(1.0)
    assert health.failure_rate(own.state.targets_by_id[target.id], own.now) == 0.0


def test_a_daemon_that_starts_is_told_when_targets_pause():
    fleet = make_fleet()
    set_pauses(fleet)
    fleet.send_load(25.0, 10.0, time_left_s=0.6)
    ip, old = next(iter(fleet.worlds.items()))
    fresh = worlds.World(ip=ip, failure_domain=old.state.settings.failure_domain)
    fresh.now = fleet.now
    fresh.state.incarnation = old.state.incarnation + 1
    fresh.state.started_at = fleet.now
    fresh.replicas = fleet.replicas
    fresh.publish_routes(worlds.search_route(SHARDS))
    fresh.start()
    fresh.receive_gossip("10.1.1.0", "domain-b")
    fleet.worlds[ip] = fresh
    fleet.run(2.0)
    known = [
        one.pauses.is_predictable(fresh.state.pause_pattern) for one in fresh.state.targets.values()
    ]
    assert sum(known) >= 0.5 * len(known)
