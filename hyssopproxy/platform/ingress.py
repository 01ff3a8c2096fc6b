"""Translates callers' requests into events, and effects into responses to callers."""

import typing

import attrs

from hyssopproxy.engine import effect
from hyssopproxy.engine import event
from hyssopproxy.engine import model
from hyssopproxy.platform import document
from hyssopproxy.platform import header
from hyssopproxy.platform import record
from hyssopproxy.transport import clock
from hyssopproxy.transport import journal
from hyssopproxy.transport import message
from hyssopproxy.transport import server

# Headers that the daemon sets for each leaf.
_REPLACED_HEADERS = frozenset((header.DEADLINE, header.EXPECTED_INSTANCE))
_KEY_HEADERS = frozenset((header.KEY, header.TENANT))
MAX_MS_DIGITS = 12  # longer times are not plausible
REJECTION_REPEAT_S = 1.0  # interval between lines about rejections with the same status
_STATUS_BY_REFUSAL = {model.Refusal.DEADLINE_EXCEEDED: 504}


@attrs.define(eq=False)
class ForwardedRequest:
    """A caller's request, ready to be forwarded to leaves."""

    connection: server.Connection
    request_id: bytes
    head: bytes  # request line and headers, without those that differ for each leaf
    body: bytes
    is_head_request: bool


class Ingress(server.Handler):
    """Posts an event for each request and sends the responses that the effects describe."""

    def __init__(
        self, post: typing.Callable[[typing.Any], None], next_number: typing.Callable[[], int]
    ) -> None:
        self.requests: dict[int, ForwardedRequest] = {}
        self.closes_connections = False  # close each connection after its response
        self.requires_keys = False  # the configuration has organisations
        self.log_rejections: typing.Callable[[int, str, float], None] | None = None
        self._query_nos: dict[server.Connection, int] = {}
        self._post = post
        self._next_number = next_number
        self.counters: dict[str, int] = {}

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        """Post a caller's request, or reject one that lacks a header or is meant for a leaf.

        An entry of another writer may name a daemon's address, and daemons would call themselves.
        """
        request_id = request.get_header(header.REQUEST_ID)
        host = request.get_header(b"host")
        if request_id is None or host is None:
            self.record_rejection(400, "Request-Id or Host missing")
            response = message.Response(400, [], b"Request-Id and Host are needed")
            connection.reply(response)
            return
        if request.get_header(header.EXPECTED_INSTANCE) is not None:
            self.record_rejection(421, "meant for a leaf")
            connection.reply(message.Response(421, [], b"this is no leaf"))
            return
        query_no = self._next_number()
        self._query_nos[connection] = query_no
        excluded = _REPLACED_HEADERS | _KEY_HEADERS if self.requires_keys else _REPLACED_HEADERS
        self.requests[query_no] = _make_forwarded_request(request, request_id, connection, excluded)
        key = request.get_header(header.KEY) if self.requires_keys else None
        self._post(
            event.RequestArrived(
                query_no=query_no,
                request_id=request_id.decode("latin-1"),
                host=host.partition(b":")[0].decode("latin-1").lower(),
                path=request.target.decode("latin-1"),
                time_left_s=parse_ms(request.get_header(header.DEADLINE)),
                key_digest=None if key is None else document.digest_key(key),
            )
        )

    def handle_disconnect(self, connection: server.Connection) -> None:
        query_no = self._query_nos.pop(connection, None)
        if query_no is not None and self.requests.pop(query_no, None) is not None:
            self._post(event.CallerDisconnected(query_no))

    def record_rejection(self, status: int, reason: str) -> None:
        name = f"rejected_{status}"
        self.counters[name] = self.counters.get(name, 0) + 1
        if self.log_rejections is not None:
            self.log_rejections(status, reason, clock.read())

    def deliver(self, delivery: effect.Deliver) -> None:
        """Return a leaf's response to the caller, unchanged except for hop-by-hop headers."""
        reply = delivery.reply
        response = message.Response(
            reply.status, message.end_to_end_headers(reply.headers), reply.body
        )
        self._reply(delivery.query_no, response)

    def deliver_search(self, delivery: effect.DeliverSearch) -> None:
        """Merge the leaves' responses to a search and return the result to the caller."""
        stamps = [part.stamp for part in delivery.replies]
        headers = [
            (header.SEND_PART_STAMPS, b", ".join(stamps)),
            (header.SEND_MISSING_PARTS, b"%d" % delivery.missing),
        ]
        body = record.merge((part.records for part in delivery.replies), delivery.top_k)
        self._reply(delivery.query_no, message.Response(200, headers, body))

    def refuse(self, refusal: effect.Refuse) -> None:
        """Return an error response for a request that no leaf answered."""
        headers = []
        if refusal.reason is model.Refusal.NO_ROUTE:
            status = 404
        elif refusal.reason is model.Refusal.UNKNOWN_KEY and refusal.is_not_run:
            status = 401
        elif refusal.is_not_run:
            status = 429 if refusal.reason is model.Refusal.OVER_QUOTA else 503
            headers.append((header.SEND_RETRY_AFTER, b"%.2f" % refusal.retry_after_s))
        else:
            status = _STATUS_BY_REFUSAL.get(refusal.reason, 502)
        body = refusal.reason.value.encode()
        self._reply(refusal.query_no, message.Response(status, headers, body))

    def _reply(self, query_no: int, response: message.Response) -> None:
        forwarded = self.requests.pop(query_no, None)
        if forwarded is not None:
            self._query_nos.pop(forwarded.connection, None)
            forwarded.connection.reply(response, keep_alive=not self.closes_connections)


class RejectionLog:
    """Logs rejected requests, once per status in `REJECTION_REPEAT_S` with the number of others."""

    def __init__(self, logger: journal.Logger) -> None:
        self._logger = logger
        self._logged_at: dict[int, float] = {}  # by status
        self._repeats: dict[int, int] = {}

    def write(self, status: int, reason: str, now: float) -> None:
        """Log a rejection, or count it for the next line."""
        if now - self._logged_at.get(status, float("-inf")) < REJECTION_REPEAT_S:
            self._repeats[status] = self._repeats.get(status, 0) + 1
            return
        fields = {"status": status, "reason": reason, "repeats": self._repeats.pop(status, 0)}
        self._logged_at[status] = now
        self._logger.write("request_rejected", fields, now, is_urgent=True)


def _make_forwarded_request(
    request: message.Request,
    request_id: bytes,
    connection: server.Connection,
    excluded: typing.Container[bytes],
) -> ForwardedRequest:
    head = request.method + b" " + request.target + b" HTTP/1.1\r\n"
    head += message.encode_end_to_end(request.headers, excluded)
    if request.body or request.method not in (b"GET", b"HEAD"):
        head += b"Content-Length: %d\r\n" % len(request.body)
    return ForwardedRequest(
        connection=connection,
        request_id=request_id,
        head=head,
        body=request.body,
        is_head_request=request.method == b"HEAD",
    )


def parse_ms(value: bytes | None) -> float | None:
    """Convert milliseconds to seconds; return None if missing or not a whole number."""
    if value is None or not value.isdigit() or len(value) > MAX_MS_DIGITS:
        return None
    return int(value) / 1000
