"""Settings of a daemon process from environment variables."""

import typing

import attrs

from hyssopproxy import limit
from hyssopproxy import problem
from hyssopproxy.engine import policy

METRICS_VARIABLE = "HYSSOPPROXY_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464
POLICY_PREFIX = "HYSSOPPROXY_POLICY_"  # e.g. HYSSOPPROXY_POLICY_HEDGE=none for a baseline
HEAD_VARIABLE = "HYSSOPPROXY_MAX_RESPONSE_HEAD_BYTES"
HEADERS_VARIABLE = "HYSSOPPROXY_MAX_RESPONSE_HEADERS"
BODY_VARIABLE = "HYSSOPPROXY_MAX_RESPONSE_BODY_BYTES"
STORE_BODY_VARIABLE = "HYSSOPPROXY_MAX_STORE_BODY_BYTES"
TOTAL_VARIABLE = "HYSSOPPROXY_MAX_BUFFERED_BYTES"
LINES_VARIABLE = "HYSSOPPROXY_MAX_HEADER_LINES"
CONNECTIONS_VARIABLE = "HYSSOPPROXY_MAX_CONNECTIONS"
MAX_LIMIT = 1 << 40  # largest value of a limit


@attrs.frozen
class Environment:
    """Settings that are the same for all VMs."""

    metrics_port: int
    policies: policy.Policies
    limits: limit.BufferLimits


def parse(environ: typing.Mapping[str, str]) -> Environment:
    """Read all variables; raise `problem.UserError` with every error and its remedy."""
    errors: list[str] = []
    metrics_port = _number(environ, METRICS_VARIABLE, DEFAULT_METRICS_PORT, 65535, errors)
    limits = _parse_limits(environ, errors)
    prefix_length = len(POLICY_PREFIX)
    names = {
        name[prefix_length:].lower(): value
        for name, value in environ.items()
        if name.startswith(POLICY_PREFIX)
    }
    try:
        policies = policy.from_names(names)
    except problem.UserError as error:
        raise problem.UserError(errors + error.errors) from None
    if errors:
        raise problem.UserError(errors)
    return Environment(metrics_port, policies, limits)


def _parse_limits(environ: typing.Mapping[str, str], errors: list[str]) -> limit.BufferLimits:
    defaults = limit.BufferLimits()
    head_bytes = _number(environ, HEAD_VARIABLE, defaults.response.head_bytes, MAX_LIMIT, errors)
    headers = _number(environ, HEADERS_VARIABLE, defaults.response.header_count, MAX_LIMIT, errors)
    body_bytes = _number(environ, BODY_VARIABLE, defaults.response.body_bytes, MAX_LIMIT, errors)
    store_bytes = _number(
        environ, STORE_BODY_VARIABLE, defaults.store.body_bytes, MAX_LIMIT, errors
    )
    return limit.BufferLimits(
        response=limit.ResponseLimits(head_bytes, headers, body_bytes),
        store=limit.ResponseLimits(head_bytes, headers, store_bytes),
        total_bytes=_number(environ, TOTAL_VARIABLE, defaults.total_bytes, MAX_LIMIT, errors),
        header_lines=_number(environ, LINES_VARIABLE, defaults.header_lines, MAX_LIMIT, errors),
        connections=_number(environ, CONNECTIONS_VARIABLE, defaults.connections, MAX_LIMIT, errors),
    )


def _number(
    environ: typing.Mapping[str, str], name: str, default: int, maximum: int, errors: list[str]
) -> int:
    """Return a whole number from 1 to `maximum`."""
    value = environ.get(name)
    if value is None:
        return default
    is_number = value.isascii() and value.isdigit() and len(value) < 20
    if not is_number or not 0 < int(value) <= maximum:
        errors.append(f"{name}: {value!r}: give a whole number from 1 to {maximum}")
        return default
    return int(value)
