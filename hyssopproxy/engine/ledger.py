"""Accounts of organisations' quotas: the owner's token bucket and what the daemons may use of it.

The owner of an organisation hands out credits; each allows one request. A credit that is requested
for a waiting request is charged to the bucket at once. Credits that are handed out in advance, so
that later requests need no round trip, are charged when their use is reported; until then they may
exceed the bucket by no more than a fixed part of the uncertain amount. All counts are cumulative,
so that lost, duplicated and reordered datagrams change nothing.
"""

import collections
import hashlib
import typing

import attrs

CREDIT_TTL_S = 10.0  # a daemon may use a credit for this long; a large part of callers' intervals
EXPIRY_MARGIN_S = 0.5  # the owner waits longer by this, for the drift of clocks
# Parts of the uncertain amount; the rest covers requests that run later than they are admitted.
ADVANCE_PART = 0.3  # credits handed out in advance
POOL_PART = 0.6  # requests that are admitted without an owner
WINDOW_MARGIN_S = 0.5  # requests may run later than they are admitted by about this
RESERVE_FRACTION = 0.25  # of the burst; below it nothing is handed out in advance
MAX_RETRY_S = 5.0  # callers come back earlier or not at all


def identify(name: str) -> int:
    """Return the number that stands for an organisation in datagrams and in hashes."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@attrs.frozen
class Limit:
    """The limit of an organisation in one version of the configuration."""

    version: int
    rate_per_s: float
    burst: float

    @property
    def depth(self) -> float:
        """The most tokens that the bucket holds; below one, no request could ever be admitted."""
        return max(self.burst, 1.0)

    def uncertain(self, window_s: float, overrun: float, slack: float) -> float:
        """Return the requests by which a window may exceed the limit."""
        return overrun * (self.rate_per_s * window_s + self.burst) + slack


@attrs.define(eq=False)
class Holder:
    """A daemon's credits, as the owner knows them; counts are since the start of its process."""

    incarnation: int
    ask_no: int
    charged: int  # requests that are charged to the bucket
    granted: int  # requests that it may admit
    expires_at: float = 0.0
    retry_after_s: float = 0.0  # last answered

    @property
    def outstanding(self) -> int:
        """Credits that are not charged yet."""
        return self.granted - self.charged


@attrs.define(eq=False)
class Account:
    """The token bucket of an organisation at its owner."""

    limit: Limit
    started_at: float  # when it begins to grant, with an empty bucket
    window_s: float
    overrun: float
    slack: float
    level: float = 0.0
    level_at: float = 0.0
    checked_at: float = 0.0  # when its daemon was last found to be the first
    is_logged: bool = False  # that it has begun
    retry_at: float = 0.0  # when the refused requests so far can all have been admitted
    outstanding: int = 0
    admitted: int = 0
    denied: int = 0
    holders: dict[str, Holder] = attrs.field(factory=dict)  # by IP address

    def __attrs_post_init__(self) -> None:
        self.level_at = self.started_at

    @property
    def uncertain(self) -> float:
        """Requests by which a window may exceed the limit."""
        return self.limit.uncertain(self.window_s, self.overrun, self.slack)

    def refill(self, now: float) -> None:
        """Add the tokens since the last call, and charge credits that have expired."""
        self.level += self.limit.rate_per_s * max(0.0, now - self.level_at)
        self.level = min(self.level, self.limit.depth)
        self.level_at = max(self.level_at, now)
        for ip in [ip for ip, holder in self.holders.items() if holder.expires_at < now]:
            self._charge_outstanding(self.holders.pop(ip))

    def _charge_outstanding(self, holder: Holder) -> None:
        self.level -= holder.outstanding
        self.outstanding -= holder.outstanding

    def advance_limit(self, now: float) -> float:
        """Return how many credits may be outstanding beyond the bucket."""
        if now < self.started_at + self.window_s + CREDIT_TTL_S:
            return 0.0  # a window may still hold as many of an earlier owner
        return ADVANCE_PART * self.uncertain

    def available(self, now: float) -> float:
        """Return the tokens that can be granted."""
        return self.level - max(0.0, self.outstanding - self.advance_limit(now))

    def set_limit(self, limit: Limit, now: float) -> None:
        """Apply the limit of a newer version."""
        if limit.version > self.limit.version:
            self.refill(now)
            self.limit = limit
            self.level = min(self.level, limit.depth)

    def settle(self, ip: str, incarnation: int, ask_no: int, used: int, held: int) -> Holder | None:
        """Apply a daemon's report and return its record; None if the report is late.

        An answer is only valid for the latest question, so the credits that the daemon doesn't
        hold by now can't be used any more.
        """
        holder = self.holders.get(ip)
        if holder is not None and holder.incarnation == incarnation:
            if ask_no <= holder.ask_no:
                return None
            self.outstanding -= holder.outstanding
            self.level -= used - holder.charged
        elif holder is not None and incarnation < holder.incarnation:
            return None
        else:
            if holder is not None:  # an earlier process, which may have used all
                self._charge_outstanding(holder)
            holder = self.holders[ip] = Holder(incarnation, ask_no, used, used)
        holder.ask_no = ask_no
        holder.charged = used
        holder.granted = used + held
        self.outstanding += held
        return holder

    def grant(self, holder: Holder, wanted: int, spare: int, now: float) -> int:
        """Grant credits for waiting requests, and some in advance; return how many were wanted
        in vain."""
        count = max(0, min(wanted, int(self.available(now) + 1e-9)))
        self.level -= count
        holder.charged += count
        holder.granted += count
        self.admitted += count
        limit = self.advance_limit(now)
        if count == wanted and self.level >= max(1.0, RESERVE_FRACTION * self.limit.burst):
            advance = max(0, min(spare - holder.outstanding, int(limit - self.outstanding)))
            holder.granted += advance
            self.outstanding += advance
        holder.expires_at = now + CREDIT_TTL_S + EXPIRY_MARGIN_S
        denied = wanted - count
        holder.retry_after_s = self._reserve_retry(denied, now) if denied else 0.0
        self.denied += denied
        return denied

    def _reserve_retry(self, denied: int, now: float) -> float:
        """Return the time until there are tokens in view of all requests refused so far."""
        rate = self.limit.rate_per_s
        next_at = now + max(0.0, 1.0 - self.available(now)) / rate
        self.retry_at = max(self.retry_at, next_at)
        retry_after_s = self.retry_at - now
        self.retry_at = min(self.retry_at + denied / rate, now + MAX_RETRY_S)
        return min(retry_after_s, MAX_RETRY_S)


@attrs.define(eq=False)
class Purse:
    """A daemon's credits of an organisation, and the requests that wait for some."""

    organisation: int
    name: str
    limit: Limit
    used: int = 0  # requests admitted with credits, since the start of the process
    alone: int = 0  # requests admitted without an owner
    refused: int = 0
    granted: int = 0
    expires_at: float = 0.0
    is_reported: bool = True  # whether the owner knows `used` and needs to add no credits
    ask_no: int = 0  # of the question in flight; 0 if there is none
    asked_ip: str = ""
    asked_at: float = 0.0  # when it was first sent
    asked_for: int = 0  # requests that it asked credits for
    is_report: bool = False  # no request waits for its answer
    tried: collections.Counter = attrs.field(factory=collections.Counter)  # asked, by IP address
    waiting_since: float = 0.0  # when the first of them was asked
    owner_ip: str = ""  # who last answered as the owner
    unreachable_until: float = 0.0  # nobody is asked before
    next_report_at: float = 0.0
    owner_heard_at: float = float("-inf")
    last_request_at: float = float("-inf")
    interval_s: float = 10.0  # moving average of the time between requests
    pending: collections.deque[typing.Any] = attrs.field(factory=collections.deque)

    def credits(self, now: float) -> int:
        """Return the credits that may be used."""
        if now >= self.expires_at:
            self.granted = self.used
        return self.granted - self.used


@attrs.define(eq=False)
class Pool:
    """Requests of an organisation that this daemon decides while it does not own its quota."""

    asked_at: collections.deque[float] = attrs.field(factory=collections.deque)  # admitted or not
    used_at: collections.deque[float] = attrs.field(factory=collections.deque)  # admitted ones

    def advance(self, now: float, demand_s: float, window_s: float) -> None:
        """Forget the requests that have left the time of the demand, or the window."""
        for times, horizon in ((self.asked_at, now - demand_s), (self.used_at, now - window_s)):
            while times and times[0] <= horizon:
                times.popleft()


@attrs.define(eq=False)
class Book:
    """All that a daemon knows of quotas."""

    version: int = -1  # of the routing table that `organisations` is from
    organisations: dict[int, typing.Any] = attrs.field(factory=dict)  # with a quota, by number
    accounts: dict[int, Account] = attrs.field(factory=dict)  # owned by this daemon, or soon
    purses: dict[int, Purse] = attrs.field(factory=dict)
    pools: dict[int, Pool] = attrs.field(factory=dict)  # by organisation
    fleet_size: int = 1  # daemons that a majority is counted of
    knows_fleet: bool = False  # enough of the fleet has been heard of to count a majority
    majority_since: float = 0.0  # since when most of the fleet has been live
    # Incarnation and heartbeat of each seed when it was first heard of.
    seed_heartbeats: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    suspects: dict[str, float] = attrs.field(factory=dict)  # IP address -> until when
    silences: collections.Counter = attrs.field(factory=collections.Counter)  # in a row, by IP
    pinged_at: dict[str, float] = attrs.field(factory=dict)  # silent daemons, by IP address
    tick_at: float = float("-inf")
    next_check_at: float = 0.0
    scan: list[int] = attrs.field(factory=list)  # organisations whose place is still to be checked
    ready: list[typing.Any] = attrs.field(factory=list)  # admitted, not sent yet
    waiting: dict[int, Purse] = attrs.field(factory=dict)  # by number of the pending request
