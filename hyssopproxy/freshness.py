"""How much what was heard of the platform and of peers is worth now."""

from hyssopproxy import state as states

WORD_S = 2.5  # a word older than this moves no work to another failure domain
SILENT_S = 2.5  # a peer that leaves pings unanswered this long is lost


def has_word(state: states.State, domain: str, now: float) -> bool:
    """Return whether work may go to another failure domain: the platform or a peer there spoke."""
    if now - state.fresh_at <= WORD_S:
        return True
    return any(
        peer.failure_domain == domain and now - peer.heard_at <= WORD_S
        for peer in state.peers.values()
    )


def is_silent(state: states.State, vm: str, now: float) -> bool:
    """Return whether a daemon left pings unanswered for too long."""
    peer = state.peers.get(vm)
    return peer is not None and peer.asked_at is not None and now - peer.asked_at > SILENT_S
