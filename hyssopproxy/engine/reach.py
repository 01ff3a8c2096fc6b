"""Which failure domains are in reach, and whether callers are better served elsewhere.

Answers a failure domain that is cut off while callers still come to it: its daemons reach one
replica of each shard at best. All of them turn unready, since the balancer moves on to other
domains only when none of a domain is ready, and the side with fewer daemons yields. A daemon with
few requests would notice seconds late and hold up the others, so those of a domain tell each other.
"""

from hyssopproxy.engine import datagram
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import state as states

FAULTS_TO_LOST = 4  # consecutive requests without any answer
PROBE_S = 0.7  # one request a daemon goes to a lost domain this often
CONFIRM_S = 0.3  # isolation lasts this long before callers are sent elsewhere
LOST_GRACE_S = 0.2  # datagrams that were on their way when the domain was lost prove nothing
UNHEARD_S = 0.4  # a domain heard from within this time is not lost, whatever others say
WITNESSES = 2  # daemons whose word makes up for an own observation
WITNESS_S = 2.0  # word of a lost domain counts this long
TELL_S = 0.5  # between two datagrams about the same lost domains
NOTICE_S = 2.0  # the balancer asks each second and moves on after two misses
MAX_YIELD_S = 10.0  # then serve again; the other side may be gone


def is_lost(state: states.State, domain: str, now: float) -> bool:
    """Return whether a failure domain is out of reach; now and then one probe is let through."""
    if domain not in state.domain_lost_at:
        return False
    return now - state.domain_probed_at.get(domain, states.NEVER) < PROBE_S


def record_pick(state: states.State, domain: str, now: float) -> None:
    """Take in that a request goes to a failure domain."""
    if domain in state.domain_lost_at:
        state.domain_probed_at[domain] = now


def record_silence(state: states.State, domain: str, now: float) -> None:
    """Take in that a request to a failure domain got no sign of life."""
    faults = state.domain_faults.get(domain, 0) + 1
    state.domain_faults[domain] = faults
    if faults >= FAULTS_TO_LOST and domain != state.settings.failure_domain:
        _note_lost(state, domain, now)


def record_answer(state: states.State, domain: str, now: float) -> None:
    """Take in that something in a failure domain answered."""
    state.domain_faults[domain] = 0
    state.domain_heard_at[domain] = now
    if state.domain_lost_at.pop(domain, None) is None:
        return
    for target in state.targets.values():
        if target.entry.failure_domain == domain:
            target.backoff_until = states.NEVER
            target.faults = 0


def note_heard(state: states.State, domain: str, now: float) -> None:
    """Take in a datagram that came straight from a daemon of a failure domain."""
    lost_at = state.domain_lost_at.get(domain)
    if lost_at is None:
        state.domain_heard_at[domain] = now
    elif now - lost_at > LOST_GRACE_S:
        record_answer(state, domain, now)


def handle_lost(
    state: states.State, happened: event.PeerLostDomains, now: float, out: list
) -> None:
    """Take in that a daemon of the own failure domain finds other domains out of reach."""
    message = happened.message
    own = state.settings.failure_domain
    if message.failure_domain != own:
        return
    for domain in message.lost:
        witnesses = state.domain_witnesses.setdefault(domain, {})
        witnesses[message.ip] = now
        recent = sum(now - at <= WITNESS_S for at in witnesses.values())
        has_own_evidence = state.domain_faults.get(domain, 0) > 0
        is_unheard = now - state.domain_heard_at.get(domain, states.NEVER) > UNHEARD_S
        if domain != own and is_unheard and (has_own_evidence or recent >= WITNESSES):
            _note_lost(state, domain, now)


def _note_lost(state: states.State, domain: str, now: float) -> None:
    if domain not in state.domain_lost_at:
        state.domain_lost_at[domain] = now
        state.domain_probed_at[domain] = now


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Tell the own domain of lost ones; note whether most of the fleet is out of reach."""
    _tell_lost(state, now, out)
    is_isolated = _is_minority(state)
    if is_isolated and state.isolated_since is None:
        state.isolated_since = now
        out.append(effect.Log("isolated", {"lost": sorted(state.domain_lost_at)}))
    elif not is_isolated and state.isolated_since is not None:
        seconds = round(now - state.isolated_since, 2)
        state.isolated_since = None
        out.append(effect.Log("rejoined", {"after_s": seconds}))


def _tell_lost(state: states.State, now: float, out: list) -> None:
    lost = frozenset(state.domain_lost_at)
    if not lost:
        state.told_lost = lost
        return
    if lost <= state.told_lost and now - state.told_lost_at < TELL_S:
        return
    state.told_lost = lost
    state.told_lost_at = now
    own = state.settings
    message = datagram.Lost(own.ip, own.failure_domain, tuple(sorted(lost)))
    near = [one for one in state.members.values() if one.failure_domain == own.failure_domain]
    out.extend(effect.SendPeer(one.ip, message) for one in near)


def is_yielding(state: states.State, now: float) -> bool:
    """Return whether callers are better served by daemons of other failure domains."""
    since = state.isolated_since
    return since is not None and CONFIRM_S <= now - since < MAX_YIELD_S


def time_to_move_s(state: states.State, now: float) -> float:
    """Return how long the balancer still sends callers to this failure domain."""
    if state.isolated_since is None:
        return 0.0
    return max(0.0, state.isolated_since + CONFIRM_S + NOTICE_S - now)


def _is_minority(state: states.State) -> bool:
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
