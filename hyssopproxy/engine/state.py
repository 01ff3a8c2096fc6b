"""The state of a daemon between two events."""

import collections
import random
import typing

import attrs

from hyssopproxy import quantile
from hyssopproxy.engine import budget
from hyssopproxy.engine import datagram
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.engine import stall

NEVER = float("-inf")


@attrs.frozen
class Settings:
    """What a daemon is told at its start; times in seconds."""

    ip: str
    failure_domain: str
    store: str  # address of the metadata store
    seeds: tuple[str, ...] = ()  # control addresses of some daemons
    control_port: int = 0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    stop_grace_s: float = 6.0  # from SIGTERM to SIGKILL
    link_mbps: float = 0.0  # of this VM


@attrs.define(eq=False)
class Target:
    """What this daemon knows of one start of a target."""

    entry: model.TargetEntry
    cold_until: float = NEVER
    removed_at: float | None = None  # its entry was removed
    draining_since: float | None = None  # it was first seen to drain
    is_misdirected: bool = False  # another target answered at its address
    attempts: dict[int, "Attempt"] = attrs.field(factory=dict)  # in flight, oldest first
    slowness: float = 1.0  # latency against what is usual for the route
    slowness_at: float = NEVER
    consecutive_faults: int = 0
    backed_off_at: float = NEVER
    backoff_until: float = NEVER
    shed_until: float = NEVER
    consecutive_sheds: int = 0
    failure_rate: float = 0.0  # share of recent requests that it shed or failed
    failure_rate_at: float = NEVER
    failure_reported_at: float = NEVER  # other daemons were told of a failure
    pauses: stall.PauseHistory = attrs.field(factory=stall.PauseHistory)
    last_pick: int = 0
    tie_breaker: float = 0.0  # random, so that daemons rank equal targets differently
    cold_tokens: float = 0.0
    cold_tokens_at: float = NEVER

    @property
    def id(self) -> str:
        return self.entry.id


@attrs.define(eq=False)
class Attempt:
    """One request in flight to a target."""

    number: int
    part: "Part"
    target: Target
    sent_at: float
    typical_latency_s: float  # typical latency when it was sent
    hedge_at: float
    is_extra: bool
    is_abandoned: bool = False  # its answer is no longer of use
    is_overdue: bool = False  # its hedge time has passed
    is_silent: bool = False  # it is long past its usual time


@attrs.define(eq=False)
class Part:
    """One shard of a search, or the whole of a plain request."""

    query: "Query"
    pool: str
    attempts: list[Attempt] = attrs.field(factory=list)  # in flight
    runs: int = 0  # attempts that may have run
    tried: set[str] = attrs.field(factory=set)  # target ids
    reply: typing.Any = None
    failure: typing.Any = None  # a target's own failure, passed on when nothing better comes
    has_sent: bool = False
    may_have_arrived: bool = False
    waiting_since: float | None = None  # no target could be asked
    is_given_up: bool = False
    reason: str = ""

    @property
    def is_open(self) -> bool:
        """Whether an answer may still come."""
        return self.reply is None and not self.is_given_up


@attrs.define(eq=False)
class Query:
    """A caller's request in progress."""

    number: int
    request_id: str
    route: model.Route
    version: int
    arrived_at: float
    deadline: float  # answer by
    caller_deadline: float  # the caller leaves
    objective_at: float  # answers after this earn little
    parts: list[Part] = attrs.field(factory=list)
    open_parts: int = 0
    answered_parts: int = 0
    extras: int = 0
    wake_at: float = float("inf")


@attrs.define(eq=False)
class RouteStatistics:
    """Latencies of one route's parts, over all targets."""

    latency: quantile.Tracker
    longest_timeout_s: float = 0.0  # callers of one route state the same timeout at first


@attrs.frozen
class Observation:
    """What this daemon is to tell others of a target."""

    target_id: str
    symptom: datagram.Symptom
    at: float
    ratio: float = 0.0  # latency against what is usual


@attrs.define(eq=False)
class Member:
    """Another daemon."""

    ip: str
    failure_domain: str
    incarnation: int
    heartbeat: int
    version: int
    revision: int
    is_stale: bool  # its view may be stale
    link_mbps: float  # of its VM
    last_seen_at: float


@attrs.define(eq=False)
class Listing:
    """A reading of all published items, page by page."""

    first_as_of: int | None = None
    seen: dict[str, int] = attrs.field(factory=dict)  # key -> revision


@attrs.define(eq=False)
class Sync:
    """Where this daemon stands in the published data."""

    as_of: int | None = None  # None until a listing is complete
    revision: int = 0  # newest change taken in
    read_no: int = 0  # of the read in flight; 0 for none
    source: str = ""
    listing: Listing | None = None
    failures: int = 0
    next_read_at: float = NEVER
    peer_backoff_until: float = NEVER  # no reader is followed before this
    last_synced_at: float = NEVER  # the store, or a daemon that follows it, answered
    lagging_since: float | None = None  # a peer has newer data
    has_lost_store: bool = False
    removed_revisions: dict[str, int] = attrs.field(factory=dict)  # key -> revision of its removal
    revisions: dict[str, int] = attrs.field(factory=dict)  # key -> revision taken in


@attrs.define(eq=False)
class State:
    """All that a daemon knows."""

    settings: Settings
    rng: random.Random
    started_at: float
    incarnation: int
    policies: policy.Policies
    table: model.RoutingTable | None = None
    targets: dict[str, Target] = attrs.field(factory=dict)  # by published key
    targets_by_id: dict[str, Target] = attrs.field(factory=dict)
    pause_pattern: stall.PausePattern = attrs.field(factory=stall.PausePattern)
    pending_observations: dict[tuple[str, int], Observation] = attrs.field(
        factory=dict
    )  # by target and sign
    report_tokens: float = 0.0  # datagrams of reports that may be sent
    report_tokens_at: float = NEVER
    new_member_ips: list[str] = attrs.field(factory=list)  # IP numbers of daemons that just started
    pools: dict[str, dict[str, Target]] = attrs.field(factory=dict)  # pool -> key -> target
    evacuated_domains: dict[str, str] = attrs.field(factory=dict)  # key -> failure domain
    domain_faults: dict[str, int] = attrs.field(factory=dict)  # consecutive, no answer at all
    domain_lost_at: dict[str, float] = attrs.field(factory=dict)
    domain_probed_at: dict[str, float] = attrs.field(factory=dict)
    domain_pinged_at: dict[str, float] = attrs.field(factory=dict)
    domains_logged_lost: set[str] = attrs.field(factory=set)
    suspected_domains: dict[str, float | None] = attrs.field(factory=dict)  # domain -> when pinged
    isolated_since: float | None = None  # most of the fleet is out of reach
    route_statistics: dict[str, RouteStatistics] = attrs.field(factory=dict)
    budgets: dict[str, budget.Budget] = attrs.field(factory=dict)  # by pool
    split_deficits: dict[str, dict[str, float]] = attrs.field(factory=dict)  # by route
    queries: dict[int, Query] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    waiting_queries: set[int] = attrs.field(factory=set)  # queries with parts that found no target
    sync: Sync = attrs.field(factory=Sync)
    members: dict[str, Member] = attrs.field(factory=dict)
    heartbeat: int = 0
    next_gossip_at: float = NEVER
    stopping_since: float | None = None
    has_stopped_accepting: bool = False
    unready_reason: str = ""
    last_tick_at: float = NEVER
    last_number: int = 0
    pick_count: int = 0
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def next_number(self) -> int:
        """Return a number not used before in this process."""
        self.last_number += 1
        return self.last_number

    def statistics(self, route: model.Route) -> RouteStatistics:
        """Return the statistics of a route."""
        found = self.route_statistics.get(route.name)
        if found is None:
            tracker = quantile.Tracker(self.policies.hedge.rank)
            found = self.route_statistics[route.name] = RouteStatistics(tracker)
        return found
