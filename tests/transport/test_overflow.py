"""Choice of the connection that is closed when there are too many."""

import attrs
import pytest

from hyssopproxy.transport import overflow


@attrs.define(eq=False)
class Connection(overflow.Candidate):
    """A connection as the choice sees it."""

    has_sent_request: bool = False
    cost_bytes: int = 0
    accepted_at: float = 0.0

    def age_s(self, now):
        return now - self.accepted_at


USED = Connection(has_sent_request=True, cost_bytes=50_000)
STARTED = Connection(cost_bytes=100)
LARGE = Connection(cost_bytes=5000)
SILENT = Connection(accepted_at=3.0)
OVERDUE = Connection(accepted_at=1.0)


@pytest.mark.parametrize(
    ("connections", "victim"),
    [
        ([], None),
        ([USED], None),
        ([USED, SILENT], None),
        ([USED, SILENT, OVERDUE], OVERDUE),
        ([USED, SILENT, OVERDUE, STARTED, LARGE], LARGE),
    ],
)
def test_callers_that_have_sent_a_request_keep_their_connection(connections, victim):
    """Guards against a crowd that connects and displaces the callers who are served."""
    assert overflow.choose_victim(connections, now=7.0, header_timeout_s=5.0) is victim


def test_descriptors_are_left_for_targets(monkeypatch):
    for soft, expected in ((20_000, 4096), (1024, 512), (2048, 1536), (40, 20), (-1, 4096)):
        monkeypatch.setattr(overflow.resource, "getrlimit", lambda _, soft=soft: (soft, soft))
        assert overflow.bound_by_descriptors(4096) == expected
