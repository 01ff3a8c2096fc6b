"""Structured log on standard output, rate-limited and non-blocking."""

import contextlib
import os
import typing

import attrs
import msgspec
import structlog

LINES_PER_S = 40.0  # rate limit of ordinary lines
URGENT_PER_S = 80.0  # rate limit of lines about failures and changes of the process state
BURST_S = 2.0  # burst size, in seconds of output at the rate limit


@attrs.define
class _TokenBucket:
    rate: float
    tokens: float = 0.0
    updated_at: float = float("-inf")

    def try_take(self, now: float) -> bool:
        capacity = self.rate * BURST_S
        self.tokens = min(capacity, self.tokens + min(now - self.updated_at, BURST_S) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _NonBlockingOutput:
    """Writes lines to a file descriptor without blocking; counts lines that it has to drop."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        with contextlib.suppress(OSError):  # an output without this mode is used as it is
            os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:  # slow reader or closed pipe; a log line about it would fail too
            self.dropped += 1

    info = warning = error = msg


class Logger:
    """Log of the process, with separate rate limits for ordinary and urgent lines."""

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self.suppressed = 0
        self._output = _NonBlockingOutput(descriptor)
        self._ordinary = _TokenBucket(LINES_PER_S)
        self._urgent = _TokenBucket(URGENT_PER_S)
        self._log = structlog.wrap_logger(
            self._output,
            processors=[
                structlog.processors.TimeStamper(fmt=None, key="time"),
                structlog.processors.JSONRenderer(serializer=_encode),
            ],
            wrapper_class=structlog.BoundLogger,
        )
        self.set_node(node)

    def set_node(self, node: str) -> None:
        """Set the name of the VM, which stands in every line."""
        self._log = self._log.bind(vm=node)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the output did not accept them."""
        return self._output.dropped

    def write(
        self, name: str, fields: dict[str, typing.Any], now: float, is_urgent: bool = False
    ) -> None:
        """Write one line, or suppress and count it when the rate limit is exceeded."""
        bucket = self._urgent if is_urgent else self._ordinary
        if not bucket.try_take(now):
            self.suppressed += 1
            return
        self.write_always(name, fields)

    def write_always(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Write one line whatever the rate; for the start and the end of the process."""
        if self.suppressed:
            fields = {**fields, "suppressed_before": self.suppressed}
            self.suppressed = 0
        self._log.info(name, **fields)


def _encode(fields: dict, **_: typing.Any) -> bytes:
    try:
        return msgspec.json.encode(fields)
    except Exception:  # a value that JSON cannot represent, such as bytes of a path
        return msgspec.json.encode({name: _make_encodable(value) for name, value in fields.items()})


def _make_encodable(value: typing.Any) -> typing.Any:
    try:
        msgspec.json.encode(value)
    except Exception:
        return repr(value)
    return value
