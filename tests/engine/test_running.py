"""Requests that targets are processing: not started again, not given up, and reported truly.

Handles the reports of operators that a target, a daemon or a whole domain was only silent or slow,
or that an answer was lost after the request had run.
"""

import hypothesis
import hypothesis.strategies as st
import pytest

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from tests.engine import world as worlds

SERVICE_TIME_S = 1.5
Outcome = model.Outcome


def make_slow_world(**fields):
    """Return a world in which one request is being processed by a target of another domain."""
    world = worlds.World(failure_domain="domain-c")
    world.add_pool("p", copies=2, service_time_s=SERVICE_TIME_S)
    route = {"timeout_s": 5.0, "objective_s": 4.0, **fields}
    world.publish_routes(worlds.plain_route(**route))
    world.add_members(5, "domain-a")
    world.start()
    world.run(3.0)
    number = world.send_request("/p/x", 4.5)
    world.run(0.2)
    (attempt,) = world.state.attempts.values()
    return world, number, attempt.target


def lose_domain(world, target):
    """The domain of the target falls silent for a while."""
    domain = target.entry.failure_domain
    for _ in range(4):
        world.state.suspected_domains.setdefault(domain, None)
        world.run(0.3)
    assert domain in world.state.domain_lost_at


def lapse_entry(world, target):
    """The entry of the target expires while it is too slow to renew it."""
    world.remove(target.entry)


def drain(world, target):
    entry = target.entry
    values = {field: getattr(entry, field) for field in entry.__slots__ if field != "__weakref__"}
    world.publish(model.TargetEntry(**{**values, "is_draining": True}))


def evacuate(world, target):
    world.publish(model.Evacuation(target.entry.failure_domain))


def move_route(world, target):
    world.add_pool("q", copies=1)
    world.publish_routes(worlds.plain_route(pool="q"), version=2)


def stop_daemon(world, target):
    world.post(event.StopRequested())


def report_silence(world, target):
    """Other daemons report that the target does not answer them."""
    for symptom in datagram.Symptom:
        for age_ms in (0, 300):
            report = datagram.Report(target.id, symptom, age_ms, 30.0)
            message = datagram.Reports("domain-c", 0.0, 0.0, (report,))
            world.post(event.ReportsReceived(message))


def lose_store(world, target):
    sync = world.state.sync
    for _ in range(5):
        sync.read_no, sync.source = world.state.next_number(), worlds.STORE
        world.post(event.ReadFailed(sync.read_no, "no answer"))


CHANGES = (
    lose_domain,
    lapse_entry,
    drain,
    evacuate,
    move_route,
    stop_daemon,
    report_silence,
    lose_store,
)


@pytest.mark.parametrize("change", CHANGES)
def test_running_request_that_must_run_once_is_waited_for(change):
    world, number, target = make_slow_world(is_idempotent=False)
    change(world, target)
    world.run(4.0)
    assert world.count_arrivals() == 1
    delivered = world.results[number].effect
    assert isinstance(delivered, effect.Deliver) and delivered.reply == target.id


@pytest.mark.parametrize("change", CHANGES)
def test_running_request_that_may_be_repeated_is_not_cancelled(change):
    """A hedge may be sent, but the answer of the first target is taken when it arrives first."""
    world, number, target = make_slow_world(max_attempts=2)
    before = world.count_arrivals()
    change(world, target)
    world.run(4.0)
    assert before == 1 and world.count_arrivals() <= 2
    assert isinstance(world.results[number].effect, effect.Deliver)
    cancels = [sent for sent in world.effects if isinstance(sent, effect.Cancel)]
    assert all(cancel.only_unsent for cancel in cancels)


def test_searches_on_silent_targets_are_repeated_within_the_budget():
    """All targets of a domain stop answering for some seconds; they still have their requests."""
    world = worlds.make_search_world(shards=10, members=7)
    world.send_load(20, 5)
    for replica in world.replicas.values():
        replica.is_silent = replica.entry.failure_domain == worlds.HOME
    numbers = world.send_load(20, 8)
    for pool, budget in world.state.budgets.items():
        allowed = budget.allowance(world.now, world.state.settings.retry_ratio, 56.0 / 8)
        assert budget.extra_attempts <= allowed, pool
    world.run(0.25)
    assert all(not isinstance(world.results[number].effect, effect.Refuse) for number in numbers)


RUN_OUTCOMES = (Outcome.RESET, Outcome.GARBLED, Outcome.TIMEOUT, Outcome.FAILED, Outcome.ANSWERED)
NOT_RUN_OUTCOMES = (
    Outcome.SHED,
    Outcome.MISDIRECTED,
    Outcome.CONNECT,
    Outcome.EXPIRED,
    Outcome.LOCAL,
)


@hypothesis.given(
    outcomes=st.lists(st.sampled_from(RUN_OUTCOMES + NOT_RUN_OUTCOMES), min_size=4, max_size=4),
    max_attempts=st.integers(1, 4),
    silent_for=st.lists(st.sampled_from([0.0, 0.05, 0.6]), min_size=4, max_size=4),
)
@hypothesis.settings(max_examples=150, deadline=None)
def test_request_runs_once_and_no_refusal_denies_a_run(outcomes, max_attempts, silent_for):
    """Whatever the targets do, in any order, and whenever the caller or the deadline ends it."""
    world = worlds.World()
    world.add_pool("p", copies=4, is_silent=True)
    world.publish_routes(worlds.plain_route(is_idempotent=False, max_attempts=max_attempts))
    world.start()
    world.run(3.0)
    number = world.send_request("/p/x", 1.2)
    runs = 0
    done: set[int] = set()
    for outcome, delay_s in zip(outcomes, silent_for, strict=True):
        sent = [item for item in world.effects if isinstance(item, effect.Send)]
        pending = [send for send in sent if send.attempt_no not in done]
        if not pending:
            break
        assert len(pending) == 1, "two targets have the request at the same time"
        world.run(delay_s)
        attempt_no = pending[0].attempt_no
        done.add(attempt_no)
        runs += outcome in RUN_OUTCOMES
        is_reply = outcome in (Outcome.ANSWERED, Outcome.FAILED)
        world.post(event.AttemptEnded(attempt_no, outcome, reply="r" if is_reply else None))
    world.run(2.0)
    assert runs <= 1
    result = world.results[number].effect
    if isinstance(result, effect.Refuse) and result.is_not_run:
        sent = [item for item in world.effects if isinstance(item, effect.Send)]
        assert runs == 0 and {send.attempt_no for send in sent} == done
