"""Keys: which requests of which callers a daemon accepts, and what targets get to see of them."""

import attrs
import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from tests.engine import world as worlds

KEY, OTHER_KEY = b"digest-1", b"digest-2"
ACME = model.Organisation("acme", priority=0)


def make_world(version=1, key_owners=None, **route_fields):
    world = worlds.World()
    world.add_pool("p")
    world.publish_routes(worlds.plain_route(**route_fields))
    world.start()
    publish_keys(world, 2, {KEY: ACME} if key_owners is None else key_owners)
    return world


def publish_keys(world, version, key_owners):
    table = attrs.evolve(
        world.state.table, version=version, key_owners=key_owners, requires_keys=True
    )
    world.publish(table)


def request(world, key_digest):
    return world.send_request(path="/p/x", key_digest=key_digest)


@pytest.mark.parametrize("key", [None, OTHER_KEY])
def test_unknown_key_is_refused_and_nothing_is_sent(key):
    world = make_world()
    number = request(world, key)
    refusal = world.results[number].effect
    assert refusal.reason is model.Refusal.UNKNOWN_KEY and refusal.is_not_run
    assert not any(isinstance(sent, effect.Send) for sent in world.effects)


def test_target_is_told_the_organisation_of_the_key():
    world = make_world()
    request(world, KEY)
    sent = [sent for sent in world.effects if isinstance(sent, effect.Send)]
    assert [send.organisation for send in sent] == ["acme"]
    assert next(iter(world.state.queries.values())).priority == 0


def test_public_route_needs_no_key():
    world = make_world(is_public=True)
    request(world, None)
    assert [sent.organisation for sent in world.effects if isinstance(sent, effect.Send)] == [""]


def test_daemon_without_configuration_does_not_call_a_key_unknown():
    world = worlds.World()
    number = request(world, KEY)
    assert world.results[number].effect.reason is model.Refusal.NO_CONFIGURATION


def test_removed_key_is_refused_for_a_request_that_waits_for_a_target():
    world = make_world()
    for target in world.state.targets.values():
        target.shed_until = world.now + 60.0
        target.cold_until = world.now + 60.0
        target.cold_tokens = -100.0
    world.state.table = attrs.evolve(
        world.state.table, pools={"p": model.Pool("p", cold_per_s=1e-6)}
    )
    number = request(world, KEY)
    assert number in world.state.queries
    publish_keys(world, 3, {OTHER_KEY: ACME})
    world.run(0.1)
    assert world.results[number].effect.reason is model.Refusal.UNKNOWN_KEY
    assert not any(isinstance(sent, effect.Send) for sent in world.effects)


def test_older_version_does_not_bring_a_removed_key_back():
    world = make_world()
    publish_keys(world, 5, {OTHER_KEY: ACME})
    publish_keys(world, 4, {KEY: ACME})
    number = request(world, KEY)
    assert world.results[number].effect.reason is model.Refusal.UNKNOWN_KEY
