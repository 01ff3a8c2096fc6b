"""Quotas over the whole fleet: the hard bound under faults, and no refusal within the quota."""

import attrs
import pytest

from hyssopproxy.engine import effect
from hyssopproxy.engine import model
from tests.engine import quota_fleet
from tests.engine import world as worlds

ACME = model.Organisation("acme", rate_per_s=8.0, burst=16.0)
TINY = model.Organisation("tiny", rate_per_s=1.0, burst=3.0)


def inject_fault(fleet, rng):
    """Apply a fault at random; daemons that were killed earlier may start again."""
    kind = rng.choice(
        "loss duplicate delay one each domain split heal freeze freeze_owner restart restart_owner "
        "kill_many kill_all forget".split()
    )
    ips, processes = fleet.ips, list(fleet.processes.values())
    if kind == "loss":
        fleet.loss = rng.choice((0.0, 0.1, 0.4))
    elif kind == "duplicate":
        fleet.duplication = rng.choice((0.0, 0.3))
    elif kind == "delay":
        fleet.long_delay = rng.choice((0.0, 0.1, 0.3))
    elif kind == "one":
        rng.choice(processes).side = rng.randrange(1, 1000)
    elif kind == "each":
        for index, process in enumerate(processes):
            process.side = index
    elif kind == "domain":
        domain, side = rng.choice(fleet.domains), rng.randrange(1, 1000)
        for process in processes:
            process.side = side if process.domain == domain else 0
    elif kind == "split":
        for process in processes:
            process.side = rng.randrange(2)
    elif kind == "heal":
        for process in processes:
            process.side = 0
    elif kind == "freeze":
        fleet.freeze(rng.choice(ips), rng.uniform(0.1, 8.0))
    elif kind == "freeze_owner" and fleet.owner_of("acme"):
        fleet.freeze(fleet.owner_of("acme").ip, rng.uniform(0.1, 8.0))
    elif kind == "restart":
        fleet.restart(rng.choice(ips))
    elif kind == "restart_owner" and fleet.owner_of("acme"):
        fleet.restart(fleet.owner_of("acme").ip)
    elif kind in ("kill_many", "kill_all"):
        share = 0.55 if kind == "kill_many" else 1.0
        for ip in rng.sample(ips, round(share * len(ips))):
            fleet.kill(ip)
            fleet.restart_later(ip, rng.uniform(0.2, 3.0))
    elif kind == "forget":  # member lists differ
        process = rng.choice(processes)
        for ip in list(process.world.state.members)[: 1 if len(ips) < 8 else 4]:
            del process.world.state.members[ip]


def run_faults(seed, size, owner, slack, seconds=60.0):
    fleet = quota_fleet.QuotaFleet(size, [owner], seed=seed, quota_slack=slack)
    rng = fleet.rng
    demand = 6.0 * owner.rate_per_s + 2.0 * size
    fleet.run(rng.uniform(0.0, 25.0))
    end = fleet.now + seconds
    while fleet.now < end:
        inject_fault(fleet, rng)
        chosen = rng.sample(fleet.ips, rng.randint(1, size)) if rng.random() < 0.5 else None
        fleet.send_load(
            owner.name, rng.choice((0.3, 1.0, 2.0)) * demand, rng.uniform(0.5, 5), chosen
        )
    return fleet


@pytest.mark.parametrize("owner", [ACME, TINY], ids=lambda owner: owner.name)
@pytest.mark.parametrize("size", [3, 6, 21])
@pytest.mark.parametrize(("seed", "slack"), [(1, 20.0), (2, 3.0), (3, 3.0), (4, 0.0)])
def test_bound_holds_under_faults(seed, slack, size, owner):
    fleet = run_faults(seed, size, owner, slack)
    assert fleet.most_in_window(owner.name) <= fleet.bound(owner)


def test_below_the_rate_nothing_is_refused_and_hardly_any_request_waits():
    fleet = quota_fleet.QuotaFleet(21, [ACME, TINY])
    fleet.run(20.0)
    fleet.send_load("acme", 0.6 * ACME.rate_per_s, 60.0, fleet.ips[:9])
    fleet.send_load("tiny", 0.3 * TINY.rate_per_s, 60.0, fleet.ips[5:6])
    assert not fleet.refusals["acme"] and not fleet.refusals["tiny"]
    assert sum(held_s > 0.0 for held_s in fleet.held_s) <= 0.1 * len(fleet.held_s)
    assert max(fleet.held_s) < 0.01


def test_hot_organisation_gets_its_whole_rate_and_burst():
    fleet = quota_fleet.QuotaFleet(21, [ACME])
    fleet.run(20.0)
    fleet.send_load("acme", 7.5 * ACME.rate_per_s, 8.0)
    assert len(fleet.runs["acme"]) >= 0.95 * (8.0 * ACME.rate_per_s + ACME.burst)
    assert max(fleet.held_s) < 0.05
    refusal = fleet.refuse_effects[-1]
    assert refusal.reason is model.Refusal.OVER_QUOTA and refusal.is_not_run
    assert min(refusal.retry_after_s for refusal in fleet.refuse_effects) >= 0.1


def test_lowered_limit_binds_one_window_after_it_was_received():
    fleet = quota_fleet.QuotaFleet(21, [attrs.evolve(ACME, rate_per_s=40.0, burst=80.0)])
    fleet.run(20.0)
    fleet.send_load("acme", 60.0, 10.0)
    fleet.set_limit("acme", 1.0, 2.0, delay_s=0.5)
    fleet.run(0.5)
    received_at = fleet.now
    fleet.send_load("acme", 60.0, 20.0)
    assert fleet.most_in_window("acme", received_at) <= fleet.bound(fleet.organisations["acme"])


@pytest.mark.parametrize("fault", ["kill", "restart", "freeze", "cut"])
def test_small_organisation_is_served_while_its_owner_is_lost(fault):
    """Guards against seconds in which nobody admits anything."""
    fleet = quota_fleet.QuotaFleet(21, [TINY])
    fleet.run(30.0)
    owner = fleet.owner_of("tiny")
    ips = [ip for ip in fleet.ips if ip != owner.ip][:2]
    if fault == "kill":
        fleet.kill(owner.ip)
    elif fault == "restart":
        fleet.restart(owner.ip)
    elif fault == "freeze":
        fleet.freeze(owner.ip, 6.0)
    else:
        owner.side = 1
    fleet.send_load("tiny", 0.5 * TINY.rate_per_s, 30.0, ips)
    assert len(fleet.runs["tiny"]) > 5 and not fleet.refusals["tiny"]


def test_daemons_of_an_older_version_are_not_counted_or_asked():
    """Guards against a roll-out in which new daemons wait for a majority of old ones."""
    fleet = quota_fleet.QuotaFleet(6, [ACME])
    for ip in fleet.ips[:4]:
        fleet.processes[ip].is_old = True
    fleet.run(20.0)
    fleet.send_load("acme", 0.5 * ACME.rate_per_s, 10.0, fleet.ips[4:])
    assert len(fleet.runs["acme"]) > 20 and not fleet.refusals["acme"]


def test_frozen_owner_grants_nothing_with_what_it_had_before():
    fleet = quota_fleet.QuotaFleet(6, [ACME], quota_slack=0.0, quota_overrun=0.0)
    fleet.run(30.0)
    owner = fleet.owner_of("acme")
    fleet.freeze(owner.ip, 5.0)
    fleet.run(5.1)
    assert fleet.owner_of("acme") is not owner


def test_organisation_without_limit_sends_nothing():
    fleet = quota_fleet.QuotaFleet(6, [model.Organisation("free")])
    fleet.run(5.0)
    fleet.send_load("free", 50.0, 5.0)
    assert len(fleet.runs["free"]) > 200 and fleet.datagrams == 0


def test_caller_that_disconnects_while_its_request_waits_uses_nothing():
    fleet = quota_fleet.QuotaFleet(6, [ACME])
    fleet.run(20.0)
    owner = fleet.owner_of("acme")
    other = next(process for process in fleet.running() if process is not owner)
    fleet.request(other.ip, "acme")
    number = next(iter(other.world.state.quota.waiting))
    fleet._handle(other, quota_fleet.event.CallerDisconnected(number))
    fleet.run(1.0)
    assert not fleet.runs["acme"] and not other.world.state.quota.waiting


def test_single_daemon_needs_no_other():
    world = worlds.World(quota_overrun=0.25, quota_slack=20.0)
    world.add_pool("p")
    world.publish_routes(worlds.plain_route())
    table = attrs.evolve(world.state.table, version=2, key_owners={b"k": ACME}, requires_keys=True)
    world.publish(table)
    world.start()
    world.run(20.0)
    numbers = [world.send_request(path="/p/x", key_digest=b"k") for _ in range(30)]
    world.run(3.0)
    refused = [isinstance(world.results[number].effect, effect.Refuse) for number in numbers]
    assert not any(refused[:16]) and sum(refused) >= 12
