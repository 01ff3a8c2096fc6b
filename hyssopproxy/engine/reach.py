"""Which failure domains are in reach, and whether callers are better served elsewhere.

Answers a failure domain that is cut off while callers still come to it: its daemons reach one
replica of each shard at best. All of them turn unready, since the balancer moves on to other
domains only when none of a domain is ready, and the side with fewer daemons yields. A daemon with
few requests would notice seconds late and hold up the others, so those of a domain tell each other.

Targets may be silent while their domain is well. A silent domain is therefore only suspected until
some of its daemons have been pinged in vain, as in SWIM (Das, Gupta, Motivala, 2002).
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import state as states

FAULTS_TO_SUSPECT = 2  # consecutive requests without any answer
FAULTS_TO_LOST = 4  # the same, while no daemon of the domain is known
PING_COUNT = 4  # daemons of a silent domain that are pinged
PING_TIMEOUT_S = 0.2  # for an answer to a ping
PING_INTERVAL_S = 0.5  # between pings to a lost domain
PROBE_INTERVAL_S = 0.7  # one request a daemon goes to a lost domain this often
ISOLATION_CONFIRM_S = 0.3  # isolation lasts this long before callers are sent elsewhere
LOST_GRACE_S = 0.2  # datagrams that were on their way when the domain was lost prove nothing
BALANCER_FAILOVER_S = 2.0  # the balancer asks each second and moves on after two misses
MAX_UNREADY_S = 10.0  # then serve again; the other side may be gone


def is_lost(state: states.State, domain: str, now: float) -> bool:
    """Return whether a failure domain is out of reach; now and then one probe is let through."""
    if domain not in state.domain_lost_at:
        return False
    return now - state.domain_probed_at.get(domain, states.NEVER) < PROBE_INTERVAL_S


def record_request(state: states.State, domain: str, now: float) -> None:
    """Take in that a request goes to a failure domain."""
    if domain in state.domain_lost_at:
        state.domain_probed_at[domain] = now


def record_no_answer(state: states.State, domain: str, now: float) -> None:
    """Take in that a request to a failure domain got no sign of life."""
    faults = state.domain_faults.get(domain, 0) + 1
    state.domain_faults[domain] = faults
    if faults >= FAULTS_TO_SUSPECT:
        _suspect(state, domain)


def _suspect(state: states.State, domain: str) -> None:
    if domain != state.settings.failure_domain and domain not in state.domain_lost_at:
        state.suspected_domains.setdefault(domain, None)


def record_answer(state: states.State, domain: str, now: float) -> None:
    """Take in that something in a failure domain answered."""
    state.domain_faults[domain] = 0
    state.suspected_domains.pop(domain, None)
    if state.domain_lost_at.pop(domain, None) is None:
        return
    for target in state.targets.values():
        if target.entry.failure_domain == domain:
            target.backoff_until = states.NEVER
            target.consecutive_faults = 0


def record_datagram(state: states.State, domain: str, now: float) -> None:
    """Take in a datagram that came straight from a daemon of a failure domain."""
    lost_at = state.domain_lost_at.get(domain)
    if lost_at is None or now - lost_at > LOST_GRACE_S:
        record_answer(state, domain, now)


def handle_lost_domains(
    state: states.State, happened: event.LostDomainsReceived, now: float, out: list
) -> None:
    """Take in that a daemon of the own failure domain finds other domains out of reach."""
    if happened.message.failure_domain == state.settings.failure_domain:
        for domain in happened.message.domains:
            _suspect(state, domain)


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Ping domains that are silent; note whether most of the fleet is out of reach."""
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
    """Ping the daemons of a silent domain, and count it as lost when none of them answers."""
    pinged_at = state.suspected_domains[domain]
    if pinged_at is None:
        if _ping(state, domain, now, out):
            state.suspected_domains[domain] = now
        elif state.domain_faults.get(domain, 0) >= FAULTS_TO_LOST:
            _mark_lost(state, domain, now, out)
    elif now - pinged_at >= PING_TIMEOUT_S:
        _mark_lost(state, domain, now, out)


def _ping(state: states.State, domain: str, now: float, out: list) -> bool:
    """Ping some daemons of a domain; return whether any is known."""
    there = [one for one in state.members.values() if one.failure_domain == domain]
    there.sort(key=lambda one: -one.last_seen_at)
    chosen = state.rng.sample(there[: 2 * PING_COUNT], min(PING_COUNT, len(there)))
    message = datagram.Ping(state.settings.ip)
    out.extend(effect.SendPeer(one.ip, message) for one in chosen)
    state.domain_pinged_at[domain] = now
    return bool(chosen)


def _mark_lost(state: states.State, domain: str, now: float, out: list) -> None:
    """Count a domain as lost, and tell the daemons of the own one."""
    del state.suspected_domains[domain]
    state.domain_lost_at[domain] = now
    state.domain_probed_at[domain] = now
    own = state.settings
    state.domains_logged_lost.add(domain)
    fields = {"failure_domain": domain, "silent_requests": state.domain_faults.get(domain, 0)}
    out.append(effect.Log("domain_lost", fields, is_urgent=True))
    message = datagram.LostDomains(own.failure_domain, (domain,))
    near = [one for one in state.members.values() if one.failure_domain == own.failure_domain]
    out.extend(effect.SendPeer(one.ip, message) for one in near)


def should_turn_unready(state: states.State, now: float) -> bool:
    """Return whether callers are better served by daemons of other failure domains."""
    since = state.isolated_since
    return since is not None and ISOLATION_CONFIRM_S <= now - since < MAX_UNREADY_S


def time_to_failover_s(state: states.State, now: float) -> float:
    """Return how long the balancer still sends callers to this failure domain."""
    if state.isolated_since is None:
        return 0.0
    return max(0.0, state.isolated_since + ISOLATION_CONFIRM_S + BALANCER_FAILOVER_S - now)


def _is_in_minority(state: states.State) -> bool:
    """Return whether fewer daemons are on this side of a cut; equal sides go by name."""
    if not state.domain_lost_at:
        return False
    own = state.settings.failure_domain
    sides = {True: [own], False: []}
    for member in state.members.values():
        sides[member.failure_domain not in state.domain_lost_at].append(member.failure_domain)
    if not sides[False]:
        return False
    here, there = len(sides[True]), len(sides[False])
    if here != there:
        return here < there
    return min(sides[True]) > min(sides[False])
