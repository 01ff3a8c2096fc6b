"""HTTP pages for the load balancer (readiness) and for operators (metrics)."""

import abc

import attrs

from hyssopproxy import usage
from hyssopproxy.engine import lifecycle
from hyssopproxy.engine import quotametric
from hyssopproxy.platform import runtime as runtimes
from hyssopproxy.transport import clock
from hyssopproxy.transport import message
from hyssopproxy.transport import server


class Page(server.Handler):
    """Serves a single page about the daemon and answers 404 for any other path."""

    path = b""

    def __init__(self, runtime: runtimes.Runtime) -> None:
        self._runtime = runtime

    def handle(self, request: message.Request, connection: server.Connection) -> None:
        is_found = request.target == self.path
        connection.reply(self.render() if is_found else message.Response(404, []))

    @abc.abstractmethod
    def render(self) -> message.Response:
        """Return the current page."""


class Readiness(Page):
    """Reports whether the load balancer may send new connections to this daemon."""

    path = b"/v1/ready"

    def render(self) -> message.Response:
        reason = lifecycle.unready_reason(self._runtime.state, clock.read())
        return message.Response(503 if reason else 200, [], reason.encode())


class Metrics(Page):
    """Serves counters and latency quantiles in the Prometheus text format."""

    path = b"/metrics"

    def render(self) -> message.Response:
        gauges = attrs.asdict(usage.read())
        quotas = quotametric.summarise(self._runtime.state, clock.read())
        body = self._runtime.metrics.render(
            self._collect_counters(), gauges, quotas, "organisation"
        ).encode()
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return message.Response(200, headers, body)

    def _collect_counters(self) -> dict[str, int]:
        runtime = self._runtime
        state = runtime.state
        return {
            **state.counters,
            **runtime.ingress.counters,
            "buffers_dropped": runtime.account.drops,
            "compacted_watches": runtime.cache_handler.compacted_watches,
            "connections_refused": runtime.front.refused,
            "log_lines_suppressed": runtime.logger.suppressed,
            "log_lines_dropped": runtime.logger.dropped,
            "members": len(state.members) + 1,
            "configuration_version": state.table.version if state.table else 0,
        }
