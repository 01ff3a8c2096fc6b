"""The state of a daemon, which the reducer changes with each event."""

import collections
import random
import typing

import attrs

from hyssopproxy import model
from hyssopproxy import quantile
from hyssopproxy import wire
from hyssopproxy.policy import base

NEVER = float("-inf")
# The hedge delay is the latency quantile at which hedges are expected to use this fraction of their
# budget.
HEDGE_RANK_FRACTION = 0.7
# An owner of keys runs actions only if its configuration was confirmed within this fraction of the
# action window.
LEASE_FRACTION = 0.5


@attrs.frozen
class Identity:
    """The identity of this daemon, from its settings."""

    vm: str
    failure_domain: str
    peer_address: str
    incarnation: int  # differs for each start of the process


@attrs.define(eq=False)
class Target:
    """The state of a target as observed by this daemon."""

    spec: model.Target
    service: "Service"
    leaves: list["Leaf"] = attrs.field(factory=list)
    requests: int = 0  # HTTP requests in flight from this daemon
    consecutive_faults: int = 0
    backed_off_at: float = NEVER
    backoff_until: float = NEVER
    consecutive_sheds: int = 0  # reset by any good reply
    is_cold: bool = False
    cold_since: float | None = None  # when it first replied during its cold start
    cold_reported_at: float = NEVER  # when a peer last reported its cold start
    is_draining: bool = False


@attrs.define(eq=False)
class Leaf:
    """One leaf of a target."""

    target: Target
    index: int
    limit: base.LimitPolicy
    in_flight: int = 0
    latency_s: float = 0.0  # short-term moving average
    baseline_s: float = 0.0  # long-term moving average, for detecting that the leaf became slow
    consecutive_slow_answers: int = 0  # answers with a latency far above `baseline_s`
    fault_rate: float = 0.0  # moving average
    waiting: collections.deque["Waiter"] = attrs.field(factory=collections.deque)


@attrs.frozen(eq=False)
class Waiter:
    """A shard of a search that waits for a free slot at a leaf."""

    query: "Query"
    attempt: int
    shard: str


@attrs.define(eq=False)
class Route:
    """A snapshot with the leaves that serve each of its shards."""

    snapshot: model.Snapshot
    shards: dict[str, tuple[Leaf, ...]]


@attrs.define(eq=False)
class Service:
    """A service with its policies, budgets and targets."""

    spec: model.Service
    hedge: base.HedgePolicy
    wait: base.WaitPolicy
    replica: base.ReplicaPolicy
    hedge_budget: quantile.Budget
    retry_budget: quantile.Budget
    targets: dict[str, Target] = attrs.field(factory=dict)
    routes: list[Route] = attrs.field(factory=list)  # newest first
    # (snapshot, target) -> time until which the target counts as not serving the snapshot
    gone_until: dict[tuple[str, str], float] = attrs.field(factory=dict)
    shard_latencies: dict[str, quantile.Tracker] = attrs.field(factory=dict)
    search_latency: quantile.Tracker = attrs.field(factory=lambda: quantile.Tracker(0.5))
    in_flight: int = 0
    turn: int = 0  # number of replica choices, for round robin

    def record_latency(self, shard: str, latency_s: float) -> None:
        """Record the latency of one answer of a shard."""
        tracker = self.shard_latencies.get(shard)
        if tracker is None:
            rank = 1.0 - HEDGE_RANK_FRACTION * self.spec.hedge_percent / 100.0
            tracker = self.shard_latencies[shard] = quantile.Tracker(rank)
        tracker.record(latency_s)


@attrs.define(eq=False, slots=True)
class SubSearch:
    """A sub-search in flight."""

    id: str
    query: "Query"
    attempt: int
    shard: str
    leaf: Leaf
    request_no: int
    snapshot: str
    sent_at: float
    is_hedge: bool
    is_abandoned: bool = False  # its result is no longer needed


@attrs.define(eq=False)
class Request:
    """A search request in flight to a target."""

    number: int
    target: Target
    subs: dict[str, SubSearch]
    sent_at: float


@attrs.define(eq=False)
class Query:
    """A caller's search in progress."""

    number: int
    request_id: str
    service: Service
    text: typing.Any
    limit: int
    arrived_at: float
    deadline: float  # `caller_deadline` minus the margin for sending the answer
    caller_deadline: float
    route: Route
    attempt: int = 0  # counts reruns against another snapshot
    answered: dict[str, list[wire.Hit]] = attrs.field(factory=dict)
    missing: dict[str, str] = attrs.field(factory=dict)  # shard -> reason
    outstanding: dict[str, list[SubSearch]] = attrs.field(factory=dict)
    waiting: set[str] = attrs.field(factory=set)
    tried: dict[str, list[Leaf]] = attrs.field(factory=dict)
    snapshots_tried: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Action:
    """A non-idempotent request in progress at this daemon."""

    number: typing.Any  # (vm, incarnation, number) for an action that a peer forwarded
    service: str
    key: str
    body: typing.Any
    deadline: float
    origin: str  # peer address of the daemon that forwarded it; empty for a caller's request
    owner: str  # VM that owns the key
    is_forwarded: bool = False
    tried: list[Target] = attrs.field(factory=list)
    target: Target | None = None
    leaf: Leaf | None = None
    sent_at: float = NEVER


@attrs.define
class Outcome:
    """The outcome of a key at its owner.

    `status` is the HTTP status, 0 while the action runs, or -1 if the outcome is unknown.
    """

    fingerprint: bytes
    created_at: float  # when the owner first received the key
    status: int = 0
    body: bytes = b""
    waiting: list[typing.Any] = attrs.field(factory=list)  # numbers of unanswered repeats


@attrs.define
class Peer:
    """The state of another daemon as known to this one."""

    vm: str
    failure_domain: str
    last_heard_at: float = NEVER  # send time of the newest ping that it answered
    unanswered_since: float | None = None  # send time of the oldest ping without an answer
    version: int = 0
    is_leaving: bool = False


@attrs.frozen
class Membership:
    """The VMs of one accepted configuration and the time at which this daemon accepted it."""

    vms: tuple[str, ...]
    owners: tuple[str, ...]  # VMs that may own keys of actions
    since: float


@attrs.define(eq=False)
class State:
    """The whole state of a daemon."""

    identity: Identity
    rng: random.Random
    started_at: float
    action_window_s: float = 60.0
    stop_grace_s: float = 5.0
    seeds: tuple[str, ...] = ()  # peer addresses to ping until there is a configuration
    config: model.Config | None = None
    config_blob: bytes = b""  # the accepted value as published
    packed_config: bytes = b""  # `config_blob` compressed, for peers
    config_confirmed_at: float = NEVER  # latest time at which the platform had no newer version
    memberships: list[Membership] = attrs.field(factory=list)  # newest last
    sharing_vms: int = 1  # number of VMs that share the capacity of each target
    is_listed_leaving: bool = False  # the platform's list marks this VM as leaving
    services: dict[str, Service] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)  # by address
    queries: dict[int, Query] = attrs.field(factory=dict)
    requests: dict[int, Request] = attrs.field(factory=dict)
    actions: dict[int, Action] = attrs.field(factory=dict)
    outcomes: dict[tuple[str, str], Outcome] = attrs.field(factory=dict)  # service, key
    # Actions refused at their deadline whose call to a target is still in flight.
    overdue_actions: dict[typing.Any, Action] = attrs.field(factory=dict)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    outbox: dict[str, list[SubSearch]] = attrs.field(factory=dict)  # by address, until the flush
    cancels: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)
    loop_lag_s: float = 0.0  # recent peak lateness of the event loop; decays with each tick
    tick_late_s: float = 0.0  # lateness of the last tick
    last_event_at: float = NEVER
    actions_refused_until: float = NEVER
    domain_out_since: float | None = None  # when this daemon's failure domain was taken out
    stopping_at: float | None = None
    is_reading: bool = False  # a read of the platform's configuration is in flight
    consecutive_read_failures: int = 0  # failed reads of the platform's configuration
    next_read_at: float = NEVER
    next_list_at: float = NEVER
    next_ping_at: float = NEVER
    next_probe_at: float = NEVER
    cold_reports: list[str] = attrs.field(factory=list)  # cold targets, for the next pings
    rejection: str = ""  # why the last configuration value was not accepted
    number: int = 0
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def next_number(self) -> int:
        """Return a number that this process has not used before."""
        self.number += 1
        return self.number
