"""Limits the requests of each organisation, over all daemons together."""

import enum

from hyssopproxy.engine import state as states


class Decision(enum.Enum):
    """Whether an organisation's quota allows a request."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"  # the request continues when another daemon has answered


def decide(state: states.State, admission: states.Admission, now: float, out: list) -> Decision:
    """Return whether the quota allows a request; a pending one is admitted or refused later."""
    return Decision.ADMITTED


def forget(state: states.State, query_no: int) -> None:
    """Forget a pending request whose caller has disconnected."""
