import pytest

from hyssopproxy.engine import model
from hyssopproxy.platform import header
from hyssopproxy.platform import leaf
from hyssopproxy.transport import message

Outcome = model.Outcome
STAMP = (b"Server-Stamp", b"s")


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, [STAMP], Outcome.ANSWERED),
        (204, [STAMP], Outcome.ANSWERED),
        (200, [], Outcome.GARBLED),
        (500, [STAMP], Outcome.FAILED),
        (504, [STAMP], Outcome.FAILED),
        (503, [STAMP], Outcome.FAILED),
        (503, [(b"Not-Executed", b"1")], Outcome.SHED),
        (429, [(b"not-executed", b"1")], Outcome.SHED),
        (421, [], Outcome.MISDIRECTED),
    ],
)
def test_response_counts_as_not_run_only_if_it_states_so(status, headers, outcome):
    classified = leaf.classify(message.Response(status, headers))
    assert classified is outcome
    assert classified.is_not_run is (outcome in (Outcome.SHED, Outcome.MISDIRECTED))


def test_header_names_for_lookup_are_lower_case():
    lookup_names = [header.REQUEST_ID, header.DEADLINE, header.SERVER_STAMP, header.NOT_EXECUTED]
    assert all(name == name.lower() for name in lookup_names)
