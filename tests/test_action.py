"""Actions: at most one run of a key, and what is said of it."""

import pytest

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import freshness
from hyssopproxy import message
from hyssopproxy import problem
from hyssopproxy import share
from hyssopproxy import state as states
from tests import world as worlds

Kind = problem.Kind
Execution = problem.Execution
WINDOW_S = 60.0


def settled():
    world = worlds.World()
    world.publish()
    world.now += WINDOW_S + 1
    world.refresh()
    world.pong(1)
    return world


def key_of(world, vm, owners=None):
    """Return a key that the VM owns."""
    owners = owners or world.state.memberships[-1].owners
    for number in range(1000):
        key = f"key{number}"
        if share.owner(f"letters\0{key}", owners) == vm:
            return key
    raise AssertionError


@pytest.fixture
def world():
    return settled()


def sent_actions(effects):
    return worlds.find(effects, effect.SendAction)


def finish(world, sent, **fields):
    given = {"failure": None, "status": 200, "body": b"{}", **fields}
    return world.post(event.ActionEnded(sent.action_no, **given))


def test_repeat_gets_the_first_outcome(world):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    waiting = world.act(key)
    assert not sent_actions(waiting)
    got = finish(world, sent, body=b'{"n": 1}')
    again = world.act(key)
    outcomes = worlds.find(got + again, effect.AnswerAction)
    assert [one.body for one in outcomes] == [b'{"n": 1}'] * 3
    assert not sent_actions(again)


def test_key_with_another_body_is_refused(world):
    key = key_of(world, "vm0")
    world.act(key)
    (refusal,) = worlds.refusals(world.act(key, {"action": "send", "other": 1}))
    assert refusal.kind is Kind.KEY_REUSED


@pytest.mark.parametrize("failure", [event.Failure.RESET, event.Failure.TIMEOUT])
def test_lost_reply_is_unknown_and_never_sent_again(world, failure):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    got = finish(world, sent, failure=failure)
    assert worlds.refusals(got)[0].execution is Execution.UNKNOWN
    assert not sent_actions(got)
    again = world.act(key)
    assert worlds.refusals(again)[0].execution is Execution.UNKNOWN
    assert not sent_actions(again)


def test_target_that_did_not_run_it_gives_way_to_another(world):
    key = key_of(world, "vm0")
    (first,) = sent_actions(world.act(key))
    (second,) = sent_actions(finish(world, first, failure=event.Failure.CONNECT))
    (third,) = sent_actions(finish(world, second, status=503, not_run=True))
    assert len({first.address, second.address, third.address}) == 3
    got = finish(world, third, failure=event.Failure.CONNECT)
    assert worlds.refusals(got)[0].execution is Execution.NOT_RUN
    assert sent_actions(world.act(key)), "a key that was not run may run later"


def test_late_outcome_is_kept_for_repeats(world):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    got = world.post(event.ActionDue(world.number), 2.0)
    assert worlds.refusals(got)[0].execution is Execution.UNKNOWN
    finish(world, sent, body=b"late")
    (outcome,) = worlds.find(world.act(key), effect.AnswerAction)
    assert outcome.body == b"late"


def test_key_of_another_vm_is_passed_on_and_answered(world):
    got = world.act(key_of(world, "vm1"))
    (passed,) = worlds.find(got, effect.SendPeer)
    assert isinstance(passed.message, message.ActionRequest)
    reply = message.ActionReply(passed.message.action_no, 200, b"done")
    got = world.post(event.PeerMessageReceived(reply))
    assert worlds.find(got, effect.AnswerAction)[0].body == b"done"


def test_owner_that_is_not_heard_means_unknown(world):
    while (
        not world.post(event.Tick(world.now), 0.1)
        or world.state.peers["vm1"].unanswered_since is None
    ):
        pass
    world.now += freshness.SILENCE_TIMEOUT_S + 0.1
    world.refresh()
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm1")))
    assert (refusal.kind, refusal.execution) == (Kind.OWNER_UNREACHABLE, Execution.UNKNOWN)


def test_owner_that_started_just_now_refuses():
    world = worlds.World()
    world.publish()
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm0")))
    assert (refusal.kind, refusal.execution) == (Kind.OWNER_UNSETTLED, Execution.UNKNOWN)


def test_owner_without_fresh_word_refuses(world):
    world.now += WINDOW_S * states.LEASE_FRACTION + 0.1
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm0")))
    assert (refusal.kind, refusal.execution) == (Kind.CONFIGURATION_STALE, Execution.UNKNOWN)


def test_paused_owner_refuses_until_the_configuration_is_fresh(world):
    key = key_of(world, "vm0")
    world.now += 40
    world.post_late(event.Tick(world.now - 40))
    assert worlds.refusals(world.act(key))[0].kind is Kind.CONFIGURATION_STALE
    world.refresh()
    assert sent_actions(world.act(key))


def test_key_that_moved_here_stays_unknown_and_new_ones_run_after_the_window(world):
    moved = key_of(world, "vm1")
    gone = world.layout.vms.pop()
    world.publish(2)
    assert worlds.refusals(world.act(moved))[0].kind is Kind.OWNER_UNSETTLED
    world.now += WINDOW_S + 0.1
    world.refresh()
    assert worlds.refusals(world.act(moved))[0].execution is Execution.UNKNOWN
    fresh = next(
        f"new{number}"
        for number in range(1000)
        if share.owner(f"letters\0new{number}", ("vm0", "vm1")) == gone.vm
    )
    assert sent_actions(world.act(fresh))


def test_versions_that_were_never_seen_may_have_moved_the_key(world):
    key = key_of(world, "vm0")
    world.now += WINDOW_S * 2
    world.publish(7)
    assert worlds.refusals(world.act(key))[0].kind is Kind.OWNER_UNSETTLED


def test_owner_in_a_domain_that_is_out_owns_no_key(world):
    world.publish(2, out=("d1",))
    assert "vm0" not in world.state.memberships[-1].owners


@pytest.mark.parametrize("key", ["", "k" * 201])
def test_bad_key_is_refused(world, key):
    assert worlds.refusals(world.act(key))[0].kind is Kind.NO_KEY


def test_action_that_the_service_does_not_list_is_refused(world):
    (refusal,) = worlds.refusals(world.act("k", {"action": "erase"}))
    assert (refusal.kind, refusal.execution) == (Kind.UNKNOWN_ACTION, Execution.NOT_RUN)
