import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from tests.engine import world as worlds


def effect_types(world):
    return [type(item) for item in world.effects]


def test_daemon_is_ready_once_it_has_configuration_and_targets():
    world = worlds.World()
    assert lifecycle.unready_reason(world.state, world.now) == "no_configuration"
    world.add_pool("p")
    world.publish_routes(worlds.plain_route())
    assert lifecycle.unready_reason(world.state, world.now) == ""


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
