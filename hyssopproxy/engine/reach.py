"""Detects unreachable failure domains and whether this daemon is in a minority partition.

Handles the case where a network partition cuts off a failure domain while callers still connect to
it: its daemons reach at most one replica of each shard. The daemons on the side with fewer daemons
all become unready, because the balancer switches to other domains only when no daemon of a domain
is ready. A daemon with few requests would detect the partition seconds later than the others and
delay that switch, so the daemons of a domain notify each other.

Targets may fail to answer while their domain is reachable. A domain whose targets do not answer is
therefore only suspected until pings to some of its daemons also stay unanswered, as in SWIM (Das,
Gupta, Motivala, 2002). It then counts as lost.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import state as states

FAULTS_TO_SUSPECT = 2  # consecutive unanswered requests after which a domain is suspected
FAULTS_TO_LOST = 4  # the same after which it is lost, if none of its daemons is known
PING_COUNT = 4  # daemons of a domain that are pinged at a time
PING_TIMEOUT_S = 0.2
PING_INTERVAL_S = 0.5  # time between pings to a lost domain
PROBE_INTERVAL_S = 0.7  # minimum time between a daemon's probe requests to a lost domain
ISOLATION_CONFIRM_S = 0.3  # how long isolation must last before this daemon becomes unready
# A datagram received within this time after its domain was marked lost may have been sent before.
LOST_GRACE_S = 0.2
BALANCER_FAILOVER_S = 2.0  # the balancer checks each second, fails over after two failed checks
# After this long in isolation, the daemon serves again, as the other side may have failed.
MAX_UNREADY_S = 10.0


def is_lost(state: states.State, domain: str, now: float) -> bool:
    """Return whether a failure domain is lost and not due for a probe request."""
    if domain not in state.domain_lost_at:
        return False
    return now - state.domain_probed_at.get(domain, states.NEVER) < PROBE_INTERVAL_S


def record_request(state: states.State, domain: str, now: float) -> None:
    """Record that a request is sent to a failure domain."""
    if domain in state.domain_lost_at:
        state.domain_probed_at[domain] = now


def record_no_answer(state: states.State, domain: str, now: float) -> None:
    """Record that a request to a failure domain got no answer."""
    faults = state.domain_faults.get(domain, 0) + 1
    state.domain_faults[domain] = faults
    if faults >= FAULTS_TO_SUSPECT:
        _suspect(state, domain)


def _suspect(state: states.State, domain: str) -> None:
    if domain != state.settings.failure_domain and domain not in state.domain_lost_at:
        state.suspected_domains.setdefault(domain, None)


def record_answer(state: states.State, domain: str, now: float) -> None:
    """Record that a target or daemon in a failure domain answered."""
    state.domain_faults[domain] = 0
    state.suspected_domains.pop(domain, None)
    if state.domain_lost_at.pop(domain, None) is None:
        return
    for target in state.targets.values():
        if target.entry.failure_domain == domain:
            target.backoff_until = states.NEVER
            target.consecutive_faults = 0
            target.slowness = min(target.slowness, 1.0)  # its silence said nothing of its speed


def record_datagram(state: states.State, domain: str, now: float) -> None:
    """Record a datagram received directly from a daemon of a failure domain."""
    lost_at = state.domain_lost_at.get(domain)
    if lost_at is None or now - lost_at > LOST_GRACE_S:
        record_answer(state, domain, now)


def handle_lost_domains(
    state: states.State, received: event.LostDomainsReceived, now: float, out: list
) -> None:
    """Suspect the domains that another daemon of this failure domain reports as lost."""
    if received.message.failure_domain == state.settings.failure_domain:
        for domain in received.message.domains:
            _suspect(state, domain)


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Ping suspected and lost domains, and update whether this daemon is isolated."""
    for domain in list(state.suspected_domains):
        _check_suspected(state, domain, now, out)
    for domain in state.domain_lost_at:
        if now - state.domain_pinged_at.get(domain, states.NEVER) >= PING_INTERVAL_S:
            _ping(state, domain, now, out)
    for domain in state.domains_logged_lost - state.domain_lost_at.keys():
        state.domains_logged_lost.remove(domain)
        out.append(effect.Log("domain_reached", {"failure_domain": domain}, is_urgent=True))
    is_isolated = _is_in_minority(state)
    if is_isolated and state.isolated_since is None:
        state.isolated_since = now
        out.append(effect.Log("isolated", {"lost": sorted(state.domain_lost_at)}))
    elif not is_isolated and state.isolated_since is not None:
        seconds = round(now - state.isolated_since, 2)
        state.isolated_since = None
        out.append(effect.Log("rejoined", {"after_s": seconds}))


def _check_suspected(state: states.State, domain: str, now: float, out: list) -> None:
    """Ping daemons of a suspected domain, and mark it as lost if none of them answers in time."""
    pinged_at = state.suspected_domains[domain]
    if pinged_at is None:
        if _ping(state, domain, now, out):
            state.suspected_domains[domain] = now
        elif state.domain_faults.get(domain, 0) >= FAULTS_TO_LOST:
            _mark_lost(state, domain, now, out)
    elif now - pinged_at >= PING_TIMEOUT_S:
        _mark_lost(state, domain, now, out)


def _ping(state: states.State, domain: str, now: float, out: list) -> bool:
    """Ping some daemons of a domain; return False if none is known."""
    members = [member for member in state.members.values() if member.failure_domain == domain]
    members.sort(key=lambda member: -member.last_seen_at)
    chosen = state.rng.sample(members[: 2 * PING_COUNT], min(PING_COUNT, len(members)))
    message = datagram.Ping(state.settings.ip)
    out.extend(effect.SendPeer(member.ip, message) for member in chosen)
    state.domain_pinged_at[domain] = now
    return bool(chosen)


def _mark_lost(state: states.State, domain: str, now: float, out: list) -> None:
    """Mark a domain as lost and notify the other daemons of this failure domain."""
    del state.suspected_domains[domain]
    state.domain_lost_at[domain] = now
    state.domain_probed_at[domain] = now
    settings = state.settings
    state.domains_logged_lost.add(domain)
    fields = {"failure_domain": domain, "silent_requests": state.domain_faults.get(domain, 0)}
    out.append(effect.Log("domain_lost", fields, is_urgent=True))
    message = datagram.LostDomains(settings.failure_domain, (domain,))
    local_members = [
        member
        for member in state.members.values()
        if member.failure_domain == settings.failure_domain
    ]
    out.extend(effect.SendPeer(member.ip, message) for member in local_members)


def should_be_unready(state: states.State, now: float) -> bool:
    """Return whether callers should be sent to daemons of other failure domains."""
    since = state.isolated_since
    return since is not None and ISOLATION_CONFIRM_S <= now - since < MAX_UNREADY_S


def time_to_failover_s(state: states.State, now: float) -> float:
    """Return the time until the balancer sends callers elsewhere, or 0 if not isolated."""
    if state.isolated_since is None:
        return 0.0
    return max(0.0, state.isolated_since + ISOLATION_CONFIRM_S + BALANCER_FAILOVER_S - now)


def _is_in_minority(state: states.State) -> bool:
    """Return whether fewer daemons are on this side of a partition; domain names break ties."""
    if not state.domain_lost_at:
        return False
    local_domain = state.settings.failure_domain
    sides = {True: [local_domain], False: []}
    for member in state.members.values():
        sides[member.failure_domain not in state.domain_lost_at].append(member.failure_domain)
    if not sides[False]:
        return False
    local_count, remote_count = len(sides[True]), len(sides[False])
    if local_count != remote_count:
        return local_count < remote_count
    return min(sides[True]) > min(sides[False])
