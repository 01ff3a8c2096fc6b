import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import lifecycle
from tests.engine import world as worlds


def kinds(world):
    return [type(one) for one in world.effects]


def test_readiness_needs_configuration_and_targets():
    world = worlds.World()
    assert lifecycle.unready_reason(world.state, world.now) == "no_configuration"
    world.add_pool("p")
    world.publish_routes(worlds.plain_route())
    assert lifecycle.unready_reason(world.state, world.now) == ""


def test_a_stop_turns_unready_at_once_and_goes_on_accepting_while_the_balancer_notices():
    world = worlds.make_search_world()
    world.post(event.StopRequested())
    assert lifecycle.unready_reason(world.state, world.now) == "stopping"
    world.run(2.0)
    assert effect.StopAccepting not in kinds(world)
    number = world.send_request()
    world.run(0.5)
    assert isinstance(world.results[number].effect, effect.DeliverSearch)
    world.run(1.0)
    assert effect.StopAccepting in kinds(world) and effect.EndProcess in kinds(world)


def test_a_stop_waits_for_requests_in_progress_and_answers_all_before_the_kill():
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
    ended = kinds(world).index(effect.EndProcess)
    answered = world.effects.index(world.results[number].effect)
    assert answered < ended


def test_a_pause_is_told():
    world = worlds.make_search_world()
    world.now += 4.0
    world.post(event.Tick())
    logs = [one for one in world.effects if isinstance(one, effect.Log)]
    assert any(one.name == "paused" for one in logs)


def test_changed_settings_take_force():
    world = worlds.make_search_world()
    changed = attrs.evolve(world.state.settings, seeds=("10.4.4.4:1",))
    world.post(event.SettingsChanged(changed))
    assert world.state.settings.seeds == ("10.4.4.4:1",)
