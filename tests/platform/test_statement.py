"""What leaves state of themselves, on answers of any kind."""

import asyncio

import pytest

from bench import site as sites
from hyssopproxy import limit
from hyssopproxy.emulator import replica as replicas
from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import ingress
from hyssopproxy.platform import leaf
from hyssopproxy.platform import nodefile
from hyssopproxy.platform import statement
from hyssopproxy.transport import buffer
from tests.platform import test_settings_file

LEAVING = (b"server-LEAVING", b"1")
LEAVING_HEAD = (
    b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\n"
)


def stated(is_leaving=False, closed_s=0.0, ignored=""):
    return event.TargetStated("t", 7, is_leaving, closed_s, ignored)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [], None),
        (200, [LEAVING], stated(True)),
        (500, [LEAVING], stated(True)),
        (200, [(b"Server-Leaving", b"0")], None),
        (200, [(b"Retry-After", b"5")], None),
        (429, [(b"Retry-After", b"5"), (b"Not-Executed", b"1")], None),
        (503, [(b"Retry-After", b"5"), (b"Not-Executed", b"1")], stated(closed_s=5.0)),
        (503, [(b"Retry-After", b"1.25"), LEAVING], stated(True, 1.25)),
        (503, [(b"Retry-After", b".5")], stated(closed_s=0.5)),
        (503, [(b"Retry-After", b"0")], stated()),
        (503, [(b"Retry-After", b"864000")], stated(closed_s=864000.0)),
        (503, [(b"Retry-After", b"-3")], stated(ignored="-3")),
        (503, [(b"Retry-After", b"nan"), LEAVING], stated(True, ignored="nan")),
        (503, [(b"Retry-After", b"inf")], stated(ignored="inf")),
        (503, [(b"Retry-After", b"1e9")], stated(ignored="1e9")),
        (503, [(b"Retry-After", b"1_0")], stated(ignored="1_0")),
        (503, [(b"Retry-After", b"")], stated(ignored="empty")),
        (503, [(b"Retry-After", b"9" * 300)], stated(ignored="9" * statement.MAX_SHOWN_BYTES)),
        (
            503,
            [(b"Retry-After", b"Sun, 06 Dec 2026 08:00:00 GMT")],
            stated(ignored="Sun, 06 Dec 2026 08:00:00 GMT"),
        ),
        (421, [LEAVING], None),
        (421, [LEAVING, (b"Instance-Id", b"o")], event.TargetStated("o", None, True)),
    ],
)
def test_statement_of_an_answer(status, headers, expected):
    assert statement.parse("t", 7, status, headers) == expected


class _Transport(asyncio.Transport):
    is_aborted = False

    def write(self, data):
        pass

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted

    def get_write_buffer_size(self):
        return 0


@pytest.mark.parametrize(
    "data",
    [
        LEAVING_HEAD,  # cut before its body
        LEAVING_HEAD.replace(b"\r\n\r\n", b"\r\nRequest-Id: other\r\n\r\n") + b"123456789",
        b"HTTP/1.1 503 -\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("is_in_use", [True, False])
def test_statement_counts_on_answers_that_are_cut_copied_or_late(data, is_in_use):
    """Guards against a daemon that overlooks the only answer that says that a leaf leaves."""
    reports = []

    def report(status, headers):
        reports.append(statement.parse("t", 7, status, headers))

    connection = leaf._LeafConnection(limit.ResponseLimits(), buffer.Account(1 << 20), report)
    connection.connection_made(_Transport())
    if is_in_use:
        connection.send(b"", lambda response, failure: None, lambda response: False)
    connection.data_received(data)
    assert reports == [stated(True)]


def make_attempt(replica, number, started_at_ms=1):
    return effect.Send(
        attempt_no=number,
        query_no=1,
        target_id=replica.name,
        address=replica.address,
        time_left_s=5.0,
        not_after=float("inf"),
        needs_fresh_connection=False,
        max_connections=8,
        started_at_ms=started_at_ms,
    )


async def run_client(scenario):
    replica = replicas.Replica("t")
    await replica.start(sites.free_host())
    posted = []
    client = leaf.LeafClient(posted.append, limit.ResponseLimits(), buffer.Account(1 << 20))
    request = ingress.ForwardedRequest(
        None, b"q", b"GET / HTTP/1.1\r\nRequest-Id: q\r\n", b"", False
    )

    async def ended(number):
        def find():
            return [item for item in posted if getattr(item, "attempt_no", 0) == number]

        return (await sites.wait_for(find, f"the end of attempt {number}"))[0]

    try:
        await scenario(replica, client, request, ended)
    finally:
        client.close_target(("t", 1))
        client.close_target(("t", 2))
        replica.stop()


def test_connections_of_a_closed_incarnation_carry_no_further_request():
    async def scenario(replica, client, request, ended):
        client.send(make_attempt(replica, 1), request)
        await ended(1)
        client.send(make_attempt(replica, 2), request)
        await ended(2)
        assert replica.connections == 1, "a kept connection is used again"
        client.send(make_attempt(replica, 3, started_at_ms=2), request)
        await ended(3)
        assert replica.connections == 2, "a new incarnation has its own connections"
        replica.delay_s = 0.1
        client.send(make_attempt(replica, 4), request)
        client.close_target(("t", 1))
        assert (await ended(4)).outcome is model.Outcome.ANSWERED
        client.send(make_attempt(replica, 5), request)
        await ended(5)
        assert replica.connections == 3

    asyncio.run(run_client(scenario))


def test_withdrawn_attempt_ends_at_once_and_is_never_sent():
    async def scenario(replica, client, request, ended):
        client.send(make_attempt(replica, 1), request)
        client.cancel(1, only_unsent=True, ends_unsent=True)
        assert (await ended(1)).outcome is model.Outcome.EXPIRED
        client.send(make_attempt(replica, 2), request)
        await ended(2)
        assert [run.request_id for run in replica.runs] == ["q"]

    asyncio.run(run_client(scenario))


def test_attempt_whose_time_has_passed_is_not_sent_on_a_kept_connection():
    async def scenario(replica, client, request, ended):
        client.send(make_attempt(replica, 1), request)
        await ended(1)
        late = make_attempt(replica, 2)
        object.__setattr__(late, "not_after", 0.0)
        client.send(late, request)
        assert (await ended(2)).outcome is model.Outcome.EXPIRED
        assert len(replica.runs) == 1

    asyncio.run(run_client(scenario))


@pytest.mark.parametrize(("line", "drain_s"), [("", 5.0), ("drainMs = 3500", 3.5)])
def test_drain_time_is_read_in_milliseconds(tmp_path, line, drain_s):
    path = tmp_path / "node.toml"
    path.write_text(f"{test_settings_file.VALID}[bounds]\n{line}\n")
    assert nodefile.load(str(path)).engine.drain_s == drain_s
