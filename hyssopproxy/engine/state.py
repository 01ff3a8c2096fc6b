"""The state of a daemon, which the reducer changes with each event."""

import collections
import random
import typing

import attrs

from hyssopproxy import quantile
from hyssopproxy.engine import budget
from hyssopproxy.engine import datagram
from hyssopproxy.engine import event
from hyssopproxy.engine import ledger
from hyssopproxy.engine import model
from hyssopproxy.engine import policy
from hyssopproxy.engine import pressure
from hyssopproxy.engine import stall

NEVER = float("-inf")  # time of an event that has not happened


@attrs.frozen
class Settings:
    """Settings of a daemon; times in seconds."""

    ip: str
    failure_domain: str
    store: str  # address of the metadata store
    seeds: tuple[str, ...] = ()  # control addresses of daemons to contact first
    control_port: int = 0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    stop_grace_s: float = 6.0  # time from SIGTERM to SIGKILL
    link_mbps: float = 0.0  # bandwidth of the link of this VM
    drain_s: float = 5.0  # time from a target's statement that it leaves to its last request
    quota_window_s: float = 5.0  # sliding window in which the limit of an organisation holds
    quota_overrun: float = 0.0  # fraction by which the fleet may exceed that limit
    quota_slack: float = 0.0  # requests by which it may exceed it besides


@attrs.define(eq=False)
class Target:
    """One incarnation of a target, as this daemon observes it."""

    entry: model.TargetEntry
    cold_until: float = NEVER
    removed_at: float | None = None  # when its published entry was removed
    draining_since: float | None = None
    is_misdirected: bool = False  # another target answered at its address
    is_reported_misdirected: bool = False  # the same as found by another daemon
    leaving_since: float | None = None  # when it stated that it leaves
    has_left: bool = False  # its drain time has ended
    closed_until: float = NEVER  # the end that it stated, and this daemon's part of the spread
    is_returning: bool = False  # it was closed, and has not executed a request since
    first_sent_at: float = NEVER  # when a returning target got a request that is in flight
    has_odd_time: bool = False  # it stated a time that was logged as bounded or ignored
    attempts: dict[int, "Attempt"] = attrs.field(factory=dict)  # in flight by number, oldest first
    slowness: float = 1.0  # moving average of latency divided by the median of the route
    slowness_at: float = NEVER
    recent_ratio: float = 1.0  # newest latency divided by the typical one; see `speed`
    recent_ratio_at: float = NEVER
    slow_since: float = float("inf")  # first late answer after the last one in good time
    silent_since: float = float("inf")  # when the oldest request without an answer was sent
    silent_at: float = NEVER  # newest time when a request was known to have no answer
    answered_at: float = NEVER  # newest answer known, to this daemon or another
    recovered_at: float = NEVER  # when the request was sent whose answer showed a recovery
    late_at: float = NEVER  # first of the newest late or missing answers that belong together
    earlier_late_at: float = NEVER  # the same of those before
    consecutive_faults: int = 0
    backed_off_at: float = NEVER
    backoff_until: float = NEVER
    shed_until: float = NEVER
    consecutive_sheds: int = 0
    failure_rate: float = 0.0  # share of recent requests that it shed or failed
    failure_rate_at: float = NEVER
    failure_reported_at: float = NEVER
    pauses: stall.PauseHistory = attrs.field(factory=stall.PauseHistory)
    last_pick: int = 0  # `State.pick_count` when it was last picked
    tie_breaker: float = 0.0  # random, so that daemons rank equal targets in different orders
    cold_tokens: float = 0.0  # token bucket that limits requests during its cold start
    cold_tokens_at: float = NEVER

    @property
    def id(self) -> str:
        return self.entry.id


@attrs.define(eq=False)
class Attempt:
    """One request to a target, in flight."""

    number: int
    part: "Part"
    target: Target
    sent_at: float
    typical_latency_s: float  # of the route, when it was sent
    hedge_at: float  # when a hedge becomes due
    is_extra: bool  # a hedge, or a retry of a request that a target may have received
    is_abandoned: bool = False  # its answer is no longer needed
    is_overdue: bool = False  # `hedge_at` has passed without an answer
    silent_ratio: float = 0.0  # elapsed time divided by the typical latency, when last recorded


@attrs.define(eq=False)
class Part:
    """One shard of a search, or the whole of a plain request."""

    query: "Query"
    pool: str
    attempts: list[Attempt] = attrs.field(factory=list)  # in flight
    runs: int = 0  # attempts that a target may have executed
    tried: set[str] = attrs.field(factory=set)  # ids of the targets that it was sent to
    reply: typing.Any = None
    failure: typing.Any = None  # error reply of a target, delivered if no attempt succeeds
    has_sent: bool = False
    may_have_arrived: bool = False
    waiting_since: float | None = None  # since when no target or retry budget has been available
    is_given_up: bool = False
    reason: str = ""  # why it has no answer
    needed_s: float | None = None  # time that its shard needs, if it was left out for that

    @property
    def is_open(self) -> bool:
        """Whether an answer may still arrive."""
        return self.reply is None and not self.is_given_up


@attrs.define(eq=False)
class Query:
    """A caller's request in progress."""

    number: int
    request_id: str
    route: model.Route
    version: int
    arrived_at: float
    deadline: float  # latest time to answer
    caller_deadline: float  # when the timeout of the caller expires
    objective_at: float  # end of the latency objective; a later answer is of little value
    key_digest: bytes | None = attrs.field(default=None, repr=False)  # of the caller's key
    organisation: model.Organisation | None = None  # of the caller, if it has a known key
    parts: list[Part] = attrs.field(factory=list)
    open_parts: int = 0
    answered_parts: int = 0
    extra_attempts: int = 0  # hedges, and retries of requests that a target may have received
    next_due_at: float = float("inf")  # time of the next `QueryDue` event
    is_admitted: bool = False  # by `admission`
    verdict: typing.Any = None  # of `admission`, if it refused the request

    @property
    def priority(self) -> int:
        """Rank of the request, 0 is the most urgent; the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@attrs.frozen(eq=False)
class Admission:
    """A request that is yet to be admitted; nothing has been sent for it."""

    arrived: event.RequestArrived
    query: Query


@attrs.define(eq=False)
class RouteStatistics:
    """Latencies of the parts of one route's requests, over all targets."""

    latency: quantile.Tracker
    # Callers of a route are assumed to state the same timeout on the first try and the remaining
    # time on retries.
    longest_timeout_s: float = 0.0


@attrs.frozen
class Observation:
    """A symptom of a target, as daemons report it to each other."""

    target_id: str
    symptom: datagram.Symptom
    at: float
    ratio: float = 0.0  # latency divided by the typical latency


@attrs.define(eq=False)
class Member:
    """Another daemon."""

    ip: str
    failure_domain: str
    incarnation: int
    heartbeat: int
    version: int
    revision: int
    is_stale: bool  # its copy of the published data may be out of date
    link_mbps: float  # bandwidth of the link of its VM
    last_seen_at: float  # when its latest heartbeat arrived, directly or relayed
    has_quota: bool = False  # its version takes part in the quotas of organisations
    era: int = 0  # in which its revision is valid
    live_since: float = NEVER  # since when it has been live without interruption


@attrs.define(eq=False)
class Listing:
    """A read of all published items in progress, page by page."""

    era: int = 0  # of the items; the least one accepted before the first page
    first_as_of: int | None = None  # revision of the store at the first page
    seen: dict[str, int] = attrs.field(factory=dict)  # key -> revision
    # Items of a newer era than the copy's, which are applied together after the last page.
    changes: list[model.Change] = attrs.field(factory=list)
    ignored: int = 0  # items whose revisions were lower than those known


@attrs.frozen
class HeldChange:
    """A change that a listing of a new era states, but that may only undo what the store lost."""

    change: model.Change
    until: float  # when it is applied, unless the item is written again before


@attrs.define(eq=False)
class Sync:
    """Progress of synchronising with the published data.

    All revisions are of one era: the store starts a new one when it returns from an older copy.
    """

    era: int = 0  # 0 until the store has stated one
    as_of: int | None = None  # revision to watch from; None until a listing is complete
    revision: int = 0  # newest revision applied
    read_no: int = 0  # number of the read in flight; 0 if there is none
    source: str = ""  # address that is read
    listing: Listing | None = None
    failures: int = 0  # consecutive failed reads of the store
    store_failed_at: float = NEVER
    peer_failures: int = 0  # consecutive failed reads of peers
    next_read_at: float = NEVER
    store_retry_at: float = NEVER  # the store is not read before
    avoided_peers: dict[str, float] = attrs.field(factory=dict)  # IP address -> until when
    last_synced_at: float = NEVER  # when the data were last known to be current
    lagging_since: float | None = None  # since when a peer has had newer data
    lost_store_at: float | None = None  # when two consecutive reads of the store had failed
    removed_revisions: dict[str, int] = attrs.field(factory=dict)  # key -> revision of its removal
    revisions: dict[str, int] = attrs.field(factory=dict)  # key -> revision applied
    held: dict[str, HeldChange] = attrs.field(factory=dict)  # by key

    def is_current(self, max_age_s: float, now: float) -> bool:
        """Return whether the data were current recently, and after the last failed store read."""
        is_recent = now - self.last_synced_at <= max_age_s
        return is_recent and self.last_synced_at > self.store_failed_at


@attrs.define(eq=False)
class State:
    """The whole state of a daemon."""

    settings: Settings
    rng: random.Random
    started_at: float
    incarnation: int
    policies: policy.Policies
    table: model.RoutingTable | None = None
    targets: dict[str, Target] = attrs.field(factory=dict)  # by published key
    targets_by_id: dict[str, Target] = attrs.field(factory=dict)
    pause_pattern: stall.PausePattern = attrs.field(factory=stall.PausePattern)
    # By target id and symptom, until they are reported to other daemons.
    pending_observations: dict[tuple[str, int], Observation] = attrs.field(factory=dict)
    # By target id, time and ratio of an answer that shows a recovery, until it is reported.
    pending_answers: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    answers_sent_at: float = NEVER
    scarce_pools: set[str] = attrs.field(factory=set)  # as logged last
    scarce_checked_at: float = NEVER
    probe_at: dict[str, float] = attrs.field(factory=dict)  # pool -> next probe while scarce
    pending_misdirected: list[Target] = attrs.field(factory=list)  # until they are reported
    misdirected_sent_at: float = NEVER
    report_tokens: float = 0.0  # token bucket that limits datagrams with reports
    report_tokens_at: float = NEVER
    new_member_ips: list[str] = attrs.field(factory=list)  # daemons that have just started
    pools: dict[str, dict[str, Target]] = attrs.field(factory=dict)  # pool -> key -> target
    evacuated_domains: dict[str, str] = attrs.field(factory=dict)  # key -> failure domain
    stating_targets: dict[Target, None] = attrs.field(factory=dict)  # leaving or closed
    # When targets stated that they leave, by id and start time, the oldest first.
    departures: dict[tuple[str, int], float] = attrs.field(factory=dict)
    domain_faults: dict[str, int] = attrs.field(factory=dict)  # consecutive unanswered requests
    domain_lost_at: dict[str, float] = attrs.field(factory=dict)
    domain_probed_at: dict[str, float] = attrs.field(factory=dict)
    domain_pinged_at: dict[str, float] = attrs.field(factory=dict)
    domains_logged_lost: set[str] = attrs.field(factory=set)
    # Domain -> time when its daemons were pinged; None before that.
    suspected_domains: dict[str, float | None] = attrs.field(factory=dict)
    isolated_since: float | None = None  # since when it has been in a minority partition
    route_statistics: dict[str, RouteStatistics] = attrs.field(factory=dict)
    budgets: dict[str, budget.Budget] = attrs.field(factory=dict)  # by pool
    split_deficits: dict[str, dict[str, float]] = attrs.field(factory=dict)  # by route and pool
    queries: dict[int, Query] = attrs.field(factory=dict)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    waiting_queries: set[int] = attrs.field(factory=set)  # queries with parts to retry
    quota: ledger.Book = attrs.field(factory=ledger.Book)
    load: pressure.Pressure = attrs.field(factory=pressure.Pressure)
    sync: Sync = attrs.field(factory=Sync)
    members: dict[str, Member] = attrs.field(factory=dict)
    rank: int = 0  # number of members whose IP address sorts before this daemon's
    heartbeat: int = 0
    next_gossip_at: float = NEVER
    stopping_since: float | None = None
    kill_at: float = float("inf")  # when SIGKILL is expected after SIGTERM
    has_stopped_accepting: bool = False
    has_ended: bool = False  # `EndProcess` has been returned
    unready_reason: str = ""  # empty while ready
    last_tick_at: float = NEVER
    resumed_at: float = NEVER  # first tick after the process had stood still
    last_number: int = 0  # returned last by `next_number`
    pick_count: int = 0  # targets picked so far
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def next_number(self) -> int:
        """Return a number that this process has not used before."""
        self.last_number += 1
        return self.last_number

    def typical_latency_s(self, route: model.Route) -> float:
        """Return the median latency of a route's parts, or a guess while there are no samples."""
        median_s = self.statistics(route).latency.median
        return median_s if median_s > 0.0 else route.objective_s * 0.2

    def statistics(self, route: model.Route) -> RouteStatistics:
        """Return the statistics of a route; create them on first use."""
        statistics = self.route_statistics.get(route.name)
        if statistics is None:
            tracker = quantile.Tracker(self.policies.hedge.rank)
            statistics = self.route_statistics[route.name] = RouteStatistics(tracker)
        return statistics
