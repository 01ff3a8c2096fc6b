"""Failure detection: whether the platform and peers have answered recently."""

from hyssopproxy import state as states

CONTACT_MAX_AGE_S = 2.5  # maximum age of a contact that permits requests to another failure domain
SILENCE_TIMEOUT_S = 2.5  # a peer that has not answered pings for this long is considered lost


def has_recent_contact(state: states.State, domain: str, now: float) -> bool:
    """Return whether requests may be sent to another failure domain.

    They may if the configuration was confirmed recently or a peer there answered a ping recently.
    """
    if now - state.config_confirmed_at <= CONTACT_MAX_AGE_S:
        return True
    return any(
        peer.failure_domain == domain and now - peer.last_heard_at <= CONTACT_MAX_AGE_S
        for peer in state.peers.values()
    )


def is_silent(state: states.State, vm: str, now: float) -> bool:
    """Return whether a daemon has not answered pings for too long."""
    peer = state.peers.get(vm)
    return (
        peer is not None
        and peer.unanswered_since is not None
        and now - peer.unanswered_since > SILENCE_TIMEOUT_S
    )
