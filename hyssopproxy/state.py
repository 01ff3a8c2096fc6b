"""The state of a daemon between two events."""

import collections
import random
import typing

import attrs

from hyssopproxy import model
from hyssopproxy import quantile
from hyssopproxy import wire
from hyssopproxy.policy import base

NEVER = float("-inf")
HEDGE_RANK_FRACTION = 0.7  # of the hedge budget that the delay's quantile plans to spend
LEASE_FRACTION = 0.5  # of the action window; an owner of keys needs a fresher word than this


@attrs.frozen
class Identity:
    """Who this daemon is, from its settings."""

    vm: str
    failure_domain: str
    peer_address: str
    incarnation: int  # differs for each start of the process


@attrs.define(eq=False)
class Target:
    """What this daemon knows of a target by its own observation."""

    spec: model.Target
    service: "Service"
    leaves: list["Leaf"] = attrs.field(factory=list)
    requests: int = 0  # HTTP requests in flight
    consecutive_faults: int = 0  # consecutive
    backed_off_at: float = NEVER
    backoff_until: float = NEVER
    consecutive_sheds: int = 0  # since the last good answer
    is_cold: bool = False
    cold_since: float | None = None  # when it was first seen alive in its cold start
    cold_reported_at: float = NEVER
    is_draining: bool = False


@attrs.define(eq=False)
class Leaf:
    """One leaf of a target."""

    target: Target
    index: int
    limit: base.LimitPolicy
    in_flight: int = 0
    latency_s: float = 0.0
    baseline_s: float = 0.0  # slow average, to tell a leaf that turned slow
    consecutive_slow: int = 0  # consecutive answers far over the usual
    fault_rate: float = 0.0
    waiting: collections.deque["Waiter"] = attrs.field(factory=collections.deque)


@attrs.frozen(eq=False)
class Waiter:
    """A shard of a search that waits for room at a leaf."""

    query: "Query"
    attempt: int
    shard: str


@attrs.define(eq=False)
class Route:
    """A snapshot with its shard map resolved to leaves."""

    snapshot: model.Snapshot
    shards: dict[str, tuple[Leaf, ...]]


@attrs.define(eq=False)
class Service:
    """A service with its targets and its budgets."""

    spec: model.Service
    hedge: base.HedgePolicy
    wait: base.WaitPolicy
    replica: base.ReplicaPolicy
    hedge_budget: quantile.Budget
    retry_budget: quantile.Budget
    targets: dict[str, Target] = attrs.field(factory=dict)
    routes: list[Route] = attrs.field(factory=list)  # newest first
    gone_until: dict[tuple[str, str], float] = attrs.field(
        factory=dict
    )  # snapshot, target -> until
    shard_latencies: dict[str, quantile.Tracker] = attrs.field(factory=dict)  # by shard
    search_latency: quantile.Tracker = attrs.field(
        factory=lambda: quantile.Tracker(0.5)
    )  # whole searches
    in_flight: int = 0
    turn: int = 0

    def record_latency(self, shard: str, latency_s: float) -> None:
        """Take in the latency of one answer of a shard."""
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
    is_abandoned: bool = False  # its line is no longer of use


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
    deadline: float  # answer by
    caller_deadline: float  # the caller's own deadline
    route: Route
    attempt: int = 0
    answered: dict[str, list[wire.Hit]] = attrs.field(factory=dict)
    missing: dict[str, str] = attrs.field(factory=dict)  # shard -> reason
    outstanding: dict[str, list[SubSearch]] = attrs.field(factory=dict)
    waiting: set[str] = attrs.field(factory=set)
    tried: dict[str, list[Leaf]] = attrs.field(factory=dict)
    snapshots_tried: frozenset[str] = frozenset()


@attrs.define(eq=False)
class Action:
    """A non-idempotent request in progress here."""

    number: typing.Any  # a passed-on action has the sender's name in it
    service: str
    key: str
    body: typing.Any
    deadline: float
    origin: str
    owner: str
    is_forwarded: bool = False
    tried: list[Target] = attrs.field(factory=list)
    target: Target | None = None
    leaf: Leaf | None = None
    sent_at: float = NEVER


@attrs.define
class Outcome:
    """What the owner of a key knows of it; `status` 0 while it runs, -1 for unknown."""

    fingerprint: bytes
    at: float
    status: int = 0
    body: bytes = b""
    waiting: list[typing.Any] = attrs.field(factory=list)  # numbers of repeats to answer


@attrs.define
class Peer:
    """What this daemon heard from another one."""

    vm: str
    failure_domain: str
    last_heard_at: float = NEVER  # send time of our ping that it answered
    unanswered_since: float | None = None  # send time of our oldest ping without an answer
    version: int = 0
    is_leaving: bool = False


@attrs.frozen
class Membership:
    """The VMs of one accepted configuration and when it came into force here."""

    vms: tuple[str, ...]
    owners: tuple[str, ...]  # those that may own keys of actions
    since: float


@attrs.define(eq=False)
class State:
    """All that a daemon knows."""

    identity: Identity
    rng: random.Random
    started_at: float
    action_window_s: float = 60.0
    stop_grace_s: float = 3.0
    seeds: tuple[str, ...] = ()  # peer addresses to ask before there is a configuration
    config: model.Config | None = None
    config_blob: bytes = b""  # the accepted value, passed on to peers
    packed_config: bytes = b""  # the same, compressed
    config_confirmed_at: float = NEVER  # the platform had nothing newer at this time
    memberships: list[Membership] = attrs.field(factory=list)  # newest last
    sharing_vms: int = 1  # VMs that a target's capacity is divided by
    is_listed_leaving: bool = False  # by the platform's list of VMs
    services: dict[str, Service] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)  # by address
    queries: dict[int, Query] = attrs.field(factory=dict)
    requests: dict[int, Request] = attrs.field(factory=dict)
    actions: dict[int, Action] = attrs.field(factory=dict)
    outcomes: dict[tuple[str, str], Outcome] = attrs.field(factory=dict)  # service, key
    overdue_actions: dict[typing.Any, Action] = attrs.field(
        factory=dict
    )  # answered, still at a target
    peers: dict[str, Peer] = attrs.field(factory=dict)
    outbox: dict[str, list[SubSearch]] = attrs.field(
        factory=dict
    )  # by address, sent after the event
    cancels: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)
    loop_lag_s: float = 0.0  # how late the loop ran of late
    tick_late_s: float = 0.0  # how late the last tick came
    last_event_at: float = NEVER
    actions_refused_until: float = NEVER  # actions are refused before this
    domain_out_since: float | None = None  # own failure domain taken out
    stopping_at: float | None = None
    is_reading: bool = False  # a watch of the platform is in flight
    reads_failed: int = 0
    next_read_at: float = NEVER
    next_list_at: float = NEVER
    next_ping_at: float = NEVER
    next_probe_at: float = NEVER
    cold_reports: list[str] = attrs.field(factory=list)  # for the next words
    rejection: str = ""  # why the last value was not accepted
    number: int = 0
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def next_number(self) -> int:
        """Return a number not used before in this process."""
        self.number += 1
        return self.number
