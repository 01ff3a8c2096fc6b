import attrs
import pytest

from hyssopproxy.engine import answer
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import model
from tests.engine import world as worlds

SLOW_S = 1.5  # time that a request takes at a slow target
LATE_S = 4.6  # after SIGTERM; the time that is left is less than `SLOW_S`


def effect_types(world):
    return [type(item) for item in world.effects]


def sends_of(world, number):
    return [
        item for item in world.effects if isinstance(item, effect.Send) and item.query_no == number
    ]


def set_replicas(world, **fields):
    for replica in world.replicas.values():
        for name, value in fields.items():
            setattr(replica, name, value)


def make_stopping_world(is_idempotent, elapsed_s, service_time_s, **fields):
    """Return a world of known latency that got SIGTERM some time ago and is kept from ending."""
    world = worlds.make_plain_world(
        members=7, seconds=3.0, is_idempotent=is_idempotent, timeout_s=8.0, **fields
    )
    set_replicas(world, service_time_s=service_time_s)
    world.send_load(10, 3.0, path="/p/x", time_left_s=8.0)
    world.run(3.0)
    world.post(event.StopRequested())
    world.run(elapsed_s)
    return world


def run_until_ended(world):
    """Run until the process has ended."""
    for _ in range(1000):
        if effect.EndProcess in effect_types(world):
            return
        world.run(lifecycle.TICK_S)
    raise AssertionError("the process has not ended")


def test_daemon_is_ready_once_it_has_configuration_and_targets():
    world = worlds.World()
    assert lifecycle.unready_reason(world.state, world.now) == "no_configuration"
    world.add_pool("p")
    world.publish_routes(worlds.plain_route())
    assert lifecycle.unready_reason(world.state, world.now) == ""


def test_responses_close_their_connections_from_the_signal_on():
    """Responses sent before the next tick kept their connections, which then took late requests."""
    world = worlds.make_search_world()
    world.post(event.StopRequested())
    assert world.state.unready_reason == "stopping"


def test_stopping_daemon_is_unready_and_accepts_requests_until_the_balancer_fails_over():
    world = worlds.make_search_world()
    world.post(event.StopRequested())
    assert lifecycle.unready_reason(world.state, world.now) == "stopping"
    world.run(2.0)
    assert effect.StopAccepting not in effect_types(world)
    number = world.send_request()
    world.run(0.5)
    assert isinstance(world.results[number].effect, effect.DeliverSearch)
    world.run(1.0)
    assert effect.StopAccepting in effect_types(world) and effect.EndProcess in effect_types(world)


def test_stopping_daemon_answers_all_requests_in_progress_before_it_is_killed():
    world = worlds.make_search_world()
    for replica in world.replicas.values():
        replica.is_silent = True
    world.post(event.StopRequested())
    world.run(2.9)
    number = world.send_request(time_left_s=9.0)
    world.state.queries[number].deadline = world.now + 9.0
    world.state.queries[number].objective_at = world.now + 9.0
    world.run(3.0)
    assert number in world.results
    ended_index = effect_types(world).index(effect.EndProcess)
    answered_index = world.effects.index(world.results[number].effect)
    assert answered_index < ended_index


def test_pause_of_the_process_is_logged():
    world = worlds.make_search_world()
    world.now += 4.0
    world.post(event.Tick())
    logs = [log for log in world.effects if isinstance(log, effect.Log)]
    assert any(log.name == "paused" for log in logs)


def test_changed_settings_take_effect():
    world = worlds.make_search_world()
    changed = attrs.evolve(world.state.settings, seeds=("10.4.4.4:1",))
    world.post(event.SettingsChanged(changed))
    assert world.state.settings.seeds == ("10.4.4.4:1",)


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_request_that_cannot_finish_before_the_end_is_refused_at_once_and_not_sent(is_idempotent):
    """Issue 25: requests that came late in the grace were passed on and cut at its end."""
    world = make_stopping_world(is_idempotent, LATE_S, SLOW_S)
    number = world.send_request("/p/x", 8.0)
    refused = world.results[number].effect
    assert refused.reason is model.Refusal.STOPPING and refused.is_not_run
    assert refused.retry_after_s > 0 and sends_of(world, number) == []
    logs = [log.fields for log in world.effects if isinstance(log, effect.Log)]
    assert [log["reason"] for log in logs if "reason" in log][-1] == "stopping"


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_request_of_unknown_latency_is_given_its_objective_before_the_end(is_idempotent):
    world = worlds.make_plain_world(is_idempotent=is_idempotent, timeout_s=8.0, objective_s=1.0)
    world.post(event.StopRequested())
    world.run(4.0)
    early = world.send_request("/p/x", 8.0)
    world.run(0.6)
    late = world.send_request("/p/x", 8.0)
    assert isinstance(world.results[early].effect, effect.Deliver)
    assert world.results[late].effect.is_not_run and sends_of(world, late) == []


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_request_that_can_finish_before_the_end_runs(is_idempotent):
    world = make_stopping_world(is_idempotent, LATE_S, 0.02)
    number = world.send_request("/p/x", 8.0)
    world.run(0.5)
    assert isinstance(world.results[number].effect, effect.Deliver)


def test_request_whose_own_deadline_is_before_the_end_runs():
    world = make_stopping_world(False, LATE_S, SLOW_S)
    number = world.send_request("/p/x", 0.5)
    assert len(sends_of(world, number)) == 1


@pytest.mark.parametrize("outcome", [model.Outcome.SHED, model.Outcome.CONNECT])
def test_request_that_did_not_run_is_not_sent_again_if_it_cannot_finish(outcome):
    world = make_stopping_world(False, 2.9, SLOW_S)
    set_replicas(world, fixed_outcome=outcome, network_delay_s=1.0)
    number = world.send_request("/p/x", 8.0)
    world.run(1.5)
    refused = world.results[number].effect
    assert refused.is_not_run and len(sends_of(world, number)) == 1


def test_hedge_that_cannot_finish_is_not_sent():
    world = make_stopping_world(True, 4.8, 0.3)
    set_replicas(world, is_silent=True)
    number = world.send_request("/p/x", 8.0)
    world.run(1.0)
    assert len(sends_of(world, number)) == 1
    assert not world.results[number].effect.is_not_run


@pytest.mark.parametrize("grace_s", [0.0, 0.3, 1.0, 2.0, 6.0])
def test_every_request_is_answered_and_accepting_stops_before_the_end(grace_s):
    """A short grace ended the process with its listener open, which resets its backlog."""
    world = worlds.World(stop_grace_s=grace_s)
    world.add_pool("p", is_silent=True)
    world.publish_routes(worlds.plain_route(is_idempotent=False, timeout_s=60.0))
    world.start()
    world.run(1.0)
    numbers = [world.send_request("/p/x", 60.0) for _ in range(5)]
    world.post(event.StopRequested())
    stopped_at = world.now
    run_until_ended(world)
    assert world.now - stopped_at <= max(lifecycle.TICK_S, grace_s - answer.KILL_MARGIN_S + 0.1)
    types = effect_types(world)
    assert types.index(effect.StopAccepting) < types.index(effect.EndProcess)
    for number in numbers:
        refused = world.results[number].effect
        assert not refused.is_not_run
        assert world.effects.index(refused) < types.index(effect.EndProcess)
    late = world.send_request("/p/x", 60.0)
    assert world.results[late].effect.is_not_run and sends_of(world, late) == []


def test_grace_that_grows_during_the_stop_does_not_delay_the_end():
    """SIGKILL comes when the grace that held at SIGTERM is over."""
    world = make_stopping_world(False, 1.0, SLOW_S)
    set_replicas(world, is_silent=True)
    number = world.send_request("/p/x", 8.0)
    world.post(event.SettingsChanged(attrs.evolve(world.state.settings, stop_grace_s=60.0)))
    world.run(4.7)
    assert number in world.results and effect.EndProcess in effect_types(world)


def test_grace_that_shrinks_during_the_stop_ends_it_sooner():
    world = make_stopping_world(False, 1.0, SLOW_S)
    set_replicas(world, is_silent=True)
    number = world.send_request("/p/x", 8.0)
    world.post(event.SettingsChanged(attrs.evolve(world.state.settings, stop_grace_s=2.0)))
    world.run(0.7)
    assert number in world.results and effect.EndProcess in effect_types(world)


def test_request_that_waits_for_a_target_is_refused_as_not_run_at_the_end():
    world = make_stopping_world(False, 4.0, 0.02, objective_s=20.0)
    set_replicas(world, fixed_outcome=model.Outcome.SHED)
    number = world.send_request("/p/x", 8.0)
    world.run(2.0)
    assert world.results[number].effect.is_not_run


def test_request_at_work_at_the_end_is_answered_without_a_promise():
    world = make_stopping_world(False, 2.9, 0.02)
    set_replicas(world, is_silent=True)
    number = world.send_request("/p/x", 8.0)
    run_until_ended(world)
    assert not world.results[number].effect.is_not_run
    assert world.results[number].effect.reason is model.Refusal.STOPPING
