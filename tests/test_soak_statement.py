"""The soak's checks of leaves that leave or close themselves find what they are to find."""

import pytest

from hyssopproxy.emulator import replica as replicas
from soak import statement


def make_record(*requests):
    """Return a record of requests of one daemon: id, time and whether the leaf's answer came."""
    record = statement.Record(drain_s=1.0)
    for request_id, at, is_answered in requests:
        record.senders[request_id] = "d", at
        if is_answered:
            record.answers[request_id, "leaf"] = at + 0.1
    return record


def make_leaf(*arrivals):
    leaf = replicas.Replica("leaf")
    leaf.arrivals = [replicas.Arrival(*arrival) for arrival in arrivals]
    return leaf


@pytest.mark.parametrize(
    ("born", "is_answered", "sent_at", "count"),
    [(1, True, 11.2, 1), (1, True, 11.0, 0), (1, False, 11.2, 0), (2, True, 11.2, 0)],
)
def test_request_after_the_drain_time_is_found(born, is_answered, sent_at, count):
    record = make_record(("q1", 10.0, is_answered), ("q2", sent_at, True))
    leaf = make_leaf((10.0, "q1", 1, True, 0.0), (12.0, "q2", born, True, 0.0))
    assert len(record.find_violations(leaf)) == count
    record.disturbances.append(("other", 11.0))
    assert len(record.find_violations(leaf)) == count
    record.disturbances.append(("d", 11.0))
    assert record.find_violations(leaf) == []


@pytest.mark.parametrize(("times", "count"), [((0.1, 0.4, 1, 2), 0), ((0.6, 1, 2), 1)])
def test_third_request_to_a_closed_leaf_is_found(times, count):
    names = [f"q{index}" for index in range(len(times) + 1)]
    record = make_record(*[(name, 10.0, False) for name in names])
    arrivals = zip(names, (0.0, *times), strict=True)
    leaf = make_leaf(*[(10.0 + at, name, 1, False, 13.0) for name, at in arrivals])
    assert len(record.find_violations(leaf)) == count
