import pytest

from hyssopproxy import limit
from hyssopproxy.engine import model
from hyssopproxy.platform import header
from hyssopproxy.platform import leaf
from hyssopproxy.transport import buffer
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


def make_connection():
    return leaf._LeafConnection(limit.ResponseLimits(), buffer.Account(1 << 20))


def make_response(number, is_named, status=200, *headers):
    names = [(b"Request-Id", b"q%d" % number)] if is_named else []
    return message.Response(status, [(b"Server-Stamp", b"s%d" % number), *names, *headers])


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("distance", [1, 5, leaf.MAX_UNNAMED_STAMPS - 1])
def test_copy_that_comes_many_responses_late_is_not_taken(is_named, distance):
    connection = make_connection()
    for number in range(distance):
        assert connection.is_response_to(b"q%d" % number, make_response(number, is_named))
    assert connection.is_reusable
    assert not connection.is_response_to(b"q%d" % distance, make_response(0, is_named))
    assert connection.is_response_to(b"q%d" % distance, make_response(distance, is_named))


def test_connection_is_given_up_before_it_forgets_a_stamp():
    connection = make_connection()
    for number in range(leaf.MAX_UNNAMED_STAMPS):
        assert connection.is_reusable
        connection.is_response_to(b"q%d" % number, make_response(number, is_named=False))
    assert not connection.is_reusable


def test_response_without_a_name_or_a_stamp_ends_the_use_of_its_connection():
    connection = make_connection()
    assert connection.is_response_to(b"q1", message.Response(503, [(b"Not-Executed", b"1")]))
    assert not connection.is_reusable


@pytest.mark.parametrize(
    ("status", "headers", "is_taken"),
    [
        (503, [(b"Not-Executed", b"1")], True),
        (421, [], True),
        (200, [STAMP], False),
        (503, [STAMP], False),
    ],
)
def test_only_a_rejection_may_leave_the_request_unnamed_where_others_name_it(
    status, headers, is_taken
):
    """Guards against a request that waits for its deadline after the leaf has rejected it."""
    connection = make_connection()
    assert connection.is_response_to(b"q1", make_response(1, is_named=True))
    response = message.Response(status, headers)
    assert connection.is_response_to(b"q2", response) is is_taken
