"""Tests of actions on the reducer: a key runs at most once, and its outcome is reported."""

import pytest

from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import freshness
from hyssopproxy import message
from hyssopproxy import problem
from hyssopproxy import share
from hyssopproxy import state as states
from hyssopproxy import target as targets
from tests import world as worlds

Kind = problem.Kind
Execution = problem.Execution
WINDOW_S = 60.0


def make_settled_world():
    """Return a world whose daemon has run for longer than the action window."""
    world = worlds.World()
    world.publish()
    world.now += WINDOW_S + 1
    world.refresh()
    world.pong(1)
    return world


def key_of(world, vm, owners=None):
    """Return a key whose owner is the given VM."""
    owners = owners or world.state.memberships[-1].owners
    for number in range(1000):
        key = f"key{number}"
        if share.owner(f"letters\0{key}", owners) == vm:
            return key
    raise AssertionError


@pytest.fixture
def world():
    return make_settled_world()


def sent_actions(effects):
    return worlds.find(effects, effect.SendAction)


def finish(world, sent, **fields):
    values = {"failure": None, "status": 200, "body": b"{}", **fields}
    return world.post(event.ActionEnded(sent.action_no, **values))


def test_repeated_key_gets_the_first_outcome(world):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    repeated = world.act(key)
    assert not sent_actions(repeated)
    got = finish(world, sent, body=b'{"n": 1}')
    repeated_later = world.act(key)
    answers = worlds.find(got + repeated_later, effect.AnswerAction)
    assert [answer.body for answer in answers] == [b'{"n": 1}'] * 3
    assert not sent_actions(repeated_later)


def test_key_reused_with_another_body_is_refused(world):
    key = key_of(world, "vm0")
    world.act(key)
    (refusal,) = worlds.refusals(world.act(key, {"action": "send", "other": 1}))
    assert refusal.kind is Kind.KEY_REUSED


@pytest.mark.parametrize("failure", [event.Failure.RESET, event.Failure.TIMEOUT])
def test_action_with_lost_reply_is_unknown_and_not_resent(world, failure):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    got = finish(world, sent, failure=failure)
    assert worlds.refusals(got)[0].execution is Execution.UNKNOWN
    assert not sent_actions(got)
    repeated = world.act(key)
    assert worlds.refusals(repeated)[0].execution is Execution.UNKNOWN
    assert not sent_actions(repeated)


def test_action_is_sent_to_another_target_if_the_first_did_not_run_it(world):
    key = key_of(world, "vm0")
    (first,) = sent_actions(world.act(key))
    (second,) = sent_actions(finish(world, first, failure=event.Failure.CONNECT))
    (third,) = sent_actions(finish(world, second, status=503, not_run=True))
    assert len({first.address, second.address, third.address}) == 3
    got = finish(world, third, failure=event.Failure.CONNECT)
    assert worlds.refusals(got)[0].execution is Execution.NOT_RUN
    assert sent_actions(world.act(key)), "a key that has not run may run later"


def test_outcome_after_the_deadline_is_returned_to_repeats(world):
    key = key_of(world, "vm0")
    (sent,) = sent_actions(world.act(key))
    got = world.post(event.ActionDue(world.number), 2.0)
    assert worlds.refusals(got)[0].execution is Execution.UNKNOWN
    finish(world, sent, body=b"late")
    (outcome,) = worlds.find(world.act(key), effect.AnswerAction)
    assert outcome.body == b"late"


def test_action_is_forwarded_to_the_owner_of_its_key(world):
    got = world.act(key_of(world, "vm1"))
    (forwarded,) = worlds.find(got, effect.SendPeer)
    assert isinstance(forwarded.message, message.ActionRequest)
    reply = message.ActionReply(forwarded.message.action_no, 200, b"done")
    got = world.post(event.PeerMessageReceived(reply))
    assert worlds.find(got, effect.AnswerAction)[0].body == b"done"


def test_action_is_unknown_when_the_owner_is_silent(world):
    while (
        not world.post(event.Tick(world.now), 0.1)
        or world.state.peers["vm1"].unanswered_since is None
    ):
        pass
    world.now += freshness.SILENCE_TIMEOUT_S + 0.1
    world.refresh()
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm1")))
    assert (refusal.kind, refusal.execution) == (Kind.OWNER_UNREACHABLE, Execution.UNKNOWN)


def test_action_is_refused_by_an_owner_that_just_started():
    world = worlds.World()
    world.publish()
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm0")))
    assert (refusal.kind, refusal.execution) == (Kind.OWNER_UNSETTLED, Execution.UNKNOWN)


def test_action_is_refused_by_an_owner_with_unconfirmed_configuration(world):
    world.now += WINDOW_S * states.LEASE_FRACTION + 0.1
    (refusal,) = worlds.refusals(world.act(key_of(world, "vm0")))
    assert (refusal.kind, refusal.execution) == (Kind.CONFIGURATION_STALE, Execution.UNKNOWN)


def test_action_is_refused_by_a_paused_owner_until_its_configuration_is_confirmed(world):
    key = key_of(world, "vm0")
    world.now += 40
    world.post_late(event.Tick(world.now - 40))
    assert worlds.refusals(world.act(key))[0].kind is Kind.CONFIGURATION_STALE
    world.refresh()
    assert sent_actions(world.act(key))


def test_moved_key_stays_unknown_and_new_keys_run_after_the_action_window(world):
    moved_key = key_of(world, "vm1")
    removed = world.layout.vms.pop()
    world.publish(2)
    assert worlds.refusals(world.act(moved_key))[0].kind is Kind.OWNER_UNSETTLED
    world.now += WINDOW_S + 0.1
    world.refresh()
    assert worlds.refusals(world.act(moved_key))[0].execution is Execution.UNKNOWN
    new_key = next(
        f"new{number}"
        for number in range(1000)
        if share.owner(f"letters\0new{number}", ("vm0", "vm1")) == removed.name
    )
    assert sent_actions(world.act(new_key))


def test_action_is_refused_after_missed_configuration_versions(world):
    key = key_of(world, "vm0")
    world.now += WINDOW_S * 2
    world.publish(7)
    assert worlds.refusals(world.act(key))[0].kind is Kind.OWNER_UNSETTLED


def test_vm_in_a_failure_domain_that_is_out_owns_no_keys(world):
    world.publish(2, out=("d1",))
    assert "vm0" not in world.state.memberships[-1].owners


@pytest.mark.parametrize("key", ["", "k" * 201])
def test_invalid_key_is_refused(world, key):
    assert worlds.refusals(world.act(key))[0].kind is Kind.NO_KEY


def test_unlisted_action_is_refused(world):
    (refusal,) = worlds.refusals(world.act("k", {"action": "erase"}))
    assert (refusal.kind, refusal.execution) == (Kind.UNKNOWN_ACTION, Execution.NOT_RUN)


@pytest.mark.parametrize(
    "fields",
    [{"kind": "MADE_UP", "execution": "not_run"}, {"kind": "ACTION_SHED", "execution": ""}],
)
def test_refusal_of_a_newer_owner_that_is_not_understood_counts_as_unknown(world, fields):
    got = world.act(key_of(world, "vm1"))
    (forwarded,) = worlds.find(got, effect.SendPeer)
    reply = message.ActionReply(forwarded.message.action_no, 0, detail="d", **fields)
    (refusal,) = worlds.refusals(world.post(event.PeerMessageReceived(reply)))
    assert refusal.kind is Kind.ACTION_UNKNOWN and refusal.execution is Execution.UNKNOWN


def test_backed_off_target_that_answers_a_status_probe_gets_one_trial(world):
    """Link faults of less than a second used to keep all targets backed off for up to 10 s."""
    state = world.state
    for _ in range(12):
        for target in state.targets.values():
            failure = event.Failure.RESET
            targets.record_failure(state, target, failure, world.now, world.now, [])
            target.is_cold = False
        world.now += 0.001
    keys = [key for key in (f"key{n}" for n in range(99)) if is_own_key(world, key)]
    (refusal,) = worlds.refusals(world.act(keys[0]))
    assert refusal.kind is Kind.ACTION_SHED and refusal.execution is Execution.NOT_RUN
    probed = set()
    for _ in range(20):
        ticked = world.post(event.Tick(world.now), 0.1)
        probed.update(probe.address for probe in worlds.find(ticked, effect.ProbeStatus))
    assert probed == set(state.targets)
    world.refresh()
    world.pong(1)
    address = next(
        target.spec.address
        for target in state.targets.values()
        if target.spec.failure_domain == state.identity.failure_domain
    )
    world.post(event.StatusArrived(address, event.TargetState.WARM))
    (sent,) = sent_actions(world.act(keys[1]))
    assert sent.address == address
    assert not sent_actions(world.act(keys[2])), "one request is the trial"
    finish(world, sent, failure=event.Failure.RESET)
    assert not sent_actions(world.act(keys[3])), "the trial failed"


def is_own_key(world, key):
    owners = world.state.memberships[-1].owners
    return share.owner(f"letters\0{key}", owners) == world.state.identity.vm
