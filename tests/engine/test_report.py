import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import health
from tests.engine import fleet as fleets
from tests.engine import world as worlds

OBJECTIVE_S = 0.1
SHARDS = 12


def make_fleet(**fields):
    """Return a fleet in which each daemon receives one or two searches per second."""
    return fleets.Fleet(
        4, SHARDS, objective_s=OBJECTIVE_S, least_coverage=0.85, top_k=5, timeout_s=0.6, **fields
    )


def set_pauses(fleet):
    for number, replica in enumerate(fleet.replicas.values()):
        replica.service_time_s = 0.008
        replica.pause_length_s = 0.1
        replica.pause_period_s = 2.4
        replica.pause_phase_s = 0.37 * number


def count_paused_arrivals(fleet, since):
    """Return how many requests have arrived during a pause since a time."""
    return sum(at >= since for replica in fleet.replicas.values() for at in replica.paused_arrivals)


def test_few_requests_arrive_during_pauses_once_the_fleet_has_learnt_them():
    """Guards against late answers in large fleets: low load per daemon, many targets pausing."""
    fleet = make_fleet()
    set_pauses(fleet)
    start = fleet.now
    early = fleet.send_load(25.0, 4.0, time_left_s=0.6)
    paused_early = count_paused_arrivals(fleet, start)
    fleet.send_load(25.0, 16.0, time_left_s=0.6)
    start = fleet.now
    late = fleet.send_load(25.0, 4.0, time_left_s=0.6)
    paused_late = count_paused_arrivals(fleet, start)
    fleet.run(0.7)
    periods = [world.state.pause_pattern.period_s for world in fleet.worlds.values()]
    assert all(period == pytest.approx(2.4, abs=0.01) for period in periods)
    assert paused_late < paused_early / 2
    assert fleet.mean_score(late, OBJECTIVE_S) >= fleet.mean_score(early, OBJECTIVE_S)
    assert fleet.mean_score(late, OBJECTIVE_S) > 0.99


def count_requests_to_slow_targets(fleet):
    """Slow down four targets of a failure domain; return how many requests they still get."""
    for replica in fleet.replicas.values():
        replica.service_time_s = 0.008
    fleet.send_load(25.0, 6.0, time_left_s=0.6)
    slow = [
        replica
        for replica in fleet.replicas.values()
        if replica.entry.failure_domain == worlds.HOME
    ][:4]
    for replica in slow:
        replica.service_time_s = 0.12
    start = fleet.now
    fleet.send_load(25.0, 3.0, time_left_s=0.6)
    return sum(at >= start for replica in slow for at in replica.arrivals)


def test_reports_reduce_the_requests_to_slow_targets():
    requests_with_reports = count_requests_to_slow_targets(make_fleet())
    fleet = make_fleet()
    fleet.dropped_types.add(datagram.Reports)
    assert requests_with_reports < count_requests_to_slow_targets(fleet)


def test_report_of_a_single_late_answer_does_not_make_a_target_count_as_slow():
    """A lost packet delays one answer by 200 ms, although the target is not slow."""
    fleet = make_fleet()
    for replica in fleet.replicas.values():
        replica.service_time_s = 0.008
    fleet.send_load(25.0, 4.0, time_left_s=0.6)
    world = next(iter(fleet.worlds.values()))
    target = next(iter(world.state.targets.values()))
    health.queue_observation(world.state, target, datagram.Symptom.LATE, world.now, 20.0)
    fleet.run(0.5)
    views = [world.state.targets_by_id[target.id] for world in fleet.worlds.values()]
    assert max(health.slowness(view, fleet.now) for view in views) < health.SLOW_RATIO


def test_datagrams_with_reports_are_limited_in_rate_and_size():
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


def test_failures_reported_from_another_domain_do_not_count():
    """A target may fail requests from one failure domain only."""
    fleet = make_fleet()
    local, remote = (
        next(
            world
            for world in fleet.worlds.values()
            if world.state.settings.failure_domain == domain
        )
        for domain in worlds.DOMAINS[:2]
    )
    target = next(iter(remote.state.targets.values()))
    health.queue_observation(remote.state, target, datagram.Symptom.FAILED, remote.now)
    fleet.run(1.0)
    assert health.failure_rate(local.state.targets_by_id[target.id], local.now) == 0.0


def test_daemon_that_starts_receives_the_known_pauses_of_targets():
    fleet = make_fleet()
    set_pauses(fleet)
    fleet.send_load(25.0, 10.0, time_left_s=0.6)
    ip, previous = next(iter(fleet.worlds.items()))
    restarted = worlds.World(ip=ip, failure_domain=previous.state.settings.failure_domain)
    restarted.now = fleet.now
    restarted.state.incarnation = previous.state.incarnation + 1
    restarted.state.started_at = fleet.now
    restarted.replicas = fleet.replicas
    restarted.publish_routes(worlds.search_route(SHARDS))
    restarted.start()
    restarted.receive_gossip("10.1.1.0", "domain-b")
    fleet.worlds[ip] = restarted
    fleet.run(2.0)
    predictable = [
        target.pauses.is_predictable(restarted.state.pause_pattern)
        for target in restarted.state.targets.values()
    ]
    assert sum(predictable) >= 0.5 * len(predictable)
