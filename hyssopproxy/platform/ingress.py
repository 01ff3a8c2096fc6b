"""Callers' requests in the platform's words, and the answers to them."""

import typing

import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import header
from hyssopproxy.platform import record
from hyssopproxy.transport import message
from hyssopproxy.transport import server

# Headers that the daemon sets itself towards a leaf.
_OWN = frozenset((header.DEADLINE, header.EXPECTED_INSTANCE))
_FAILED_STATUS = {model.Refusal.DEADLINE_EXCEEDED: 504}


@attrs.define(eq=False)
class Forwarded:
    """A caller's request as it goes on to leafs."""

    connection: server.Connection
    request_id: bytes
    head: bytes  # request line and headers, less those that differ for each leaf
    body: bytes
    is_head: bool


class Ingress(server.Handler):
    """Turns requests into events and effects into answers."""

    def __init__(
        self, post: typing.Callable[[typing.Any], None], next_number: typing.Callable[[], int]
    ) -> None:
        self.requests: dict[int, Forwarded] = {}
        self.moves_callers = False  # answers close their connections
        self._numbers: dict[server.Connection, int] = {}
        self._post = post
        self._next_number = next_number
        self.counters: dict[str, int] = {}

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        """Take a caller's request."""
        request_id = request.get_header(header.REQUEST_ID)
        host = request.get_header(b"host")
        if request_id is None or host is None:
            self.note_rejected(400, "no id or host")
            reply = message.Response(400, [], b"Request-Id and Host are needed")
            connection.reply(reply)
            return
        number = self._next_number()
        self._numbers[connection] = number
        self.requests[number] = _forward(request, request_id, connection)
        self._post(
            event.RequestArrived(
                query_no=number,
                request_id=request_id.decode("latin-1"),
                host=host.partition(b":")[0].decode("latin-1").lower(),
                path=request.target.decode("latin-1"),
                time_left_s=_read_ms(request.get_header(header.DEADLINE)),
            )
        )

    def handle_gone(self, connection: server.Connection) -> None:
        number = self._numbers.pop(connection, None)
        if number is not None and self.requests.pop(number, None) is not None:
            self._post(event.CallerDisconnected(number))

    def note_rejected(self, status: int, reason: str) -> None:
        name = f"rejected_{status}"
        self.counters[name] = self.counters.get(name, 0) + 1

    def deliver(self, wanted: effect.Deliver) -> None:
        """Pass a leaf's answer on unchanged."""
        reply = wanted.reply
        response = message.Response(reply.status, message.end_to_end(reply.headers), reply.body)
        self._reply(wanted.query_no, response)

    def deliver_search(self, wanted: effect.DeliverSearch) -> None:
        """Give the merged answer of a search."""
        stamps = [reply.get_header(header.SERVER_STAMP) for reply in wanted.replies]
        headers = [
            (header.SEND_PART_STAMPS, b", ".join(stamps)),
            (header.SEND_MISSING_PARTS, b"%d" % wanted.missing),
        ]
        body = record.merge((reply.body for reply in wanted.replies), wanted.top_k)
        self._reply(wanted.query_no, message.Response(200, headers, body))

    def refuse(self, wanted: effect.Refuse) -> None:
        """Answer a request that no leaf answered."""
        headers = []
        if wanted.reason is model.Refusal.NO_ROUTE:
            status = 404
        elif wanted.is_not_run:
            status = 503
            headers.append((header.SEND_RETRY_AFTER, b"%.2f" % wanted.retry_after_s))
        else:
            status = _FAILED_STATUS.get(wanted.reason, 502)
        body = wanted.reason.value.encode()
        self._reply(wanted.query_no, message.Response(status, headers, body))

    def _reply(self, query_no: int, response: message.Response) -> None:
        forwarded = self.requests.pop(query_no, None)
        if forwarded is not None:
            self._numbers.pop(forwarded.connection, None)
            forwarded.connection.reply(response, keeps_open=not self.moves_callers)


def _forward(
    request: message.Request, request_id: bytes, connection: server.Connection
) -> Forwarded:
    headers = message.end_to_end(request.headers, _OWN)
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    head = request.method + b" " + request.target + b" HTTP/1.1\r\n"
    return Forwarded(
        connection=connection,
        request_id=request_id,
        head=head + message.encode_headers(headers),
        body=request.body,
        is_head=request.method == b"HEAD",
    )


def _read_ms(value: bytes | None) -> float | None:
    """Return seconds, or None where the header is missing or no number of milliseconds."""
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000
