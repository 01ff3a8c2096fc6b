"""How much what was heard of the platform and of peers is worth now."""

from hyssopproxy import state as states

CONTACT_MAX_AGE_S = 2.5  # a word older than this moves no work to another failure domain
SILENCE_TIMEOUT_S = 2.5  # a peer that leaves pings unanswered this long is lost


def has_recent_contact(state: states.State, domain: str, now: float) -> bool:
    """Return whether work may go to another failure domain: the platform or a peer there spoke."""
    if now - state.config_confirmed_at <= CONTACT_MAX_AGE_S:
        return True
    return any(
        peer.failure_domain == domain and now - peer.last_heard_at <= CONTACT_MAX_AGE_S
        for peer in state.peers.values()
    )


def is_silent(state: states.State, vm: str, now: float) -> bool:
    """Return whether a daemon left pings unanswered for too long."""
    peer = state.peers.get(vm)
    return (
        peer is not None
        and peer.unanswered_since is not None
        and now - peer.unanswered_since > SILENCE_TIMEOUT_S
    )
