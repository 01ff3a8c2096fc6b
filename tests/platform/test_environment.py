import pytest

from hyssopproxy import limit
from hyssopproxy import problem
from hyssopproxy.platform import environment


def test_defaults_apply_without_variables():
    parsed = environment.parse({})
    assert parsed.metrics_port == environment.DEFAULT_METRICS_PORT
    assert parsed.limits == limit.BufferLimits()


def test_limits_are_read_from_variables():
    parsed = environment.parse(
        {
            environment.HEAD_VARIABLE: "1000",
            environment.HEADERS_VARIABLE: "10",
            environment.BODY_VARIABLE: "2000",
            environment.STORE_BODY_VARIABLE: "3000",
            environment.TOTAL_VARIABLE: "4000",
            environment.LINES_VARIABLE: "50",
            environment.CONNECTIONS_VARIABLE: "60",
        }
    )
    assert parsed.limits == limit.BufferLimits(
        response=limit.ResponseLimits(1000, 10, 2000),
        store=limit.ResponseLimits(1000, 10, 3000),
        total_bytes=4000,
        header_lines=50,
        connections=60,
    )


def test_every_error_is_reported_with_its_remedy():
    with pytest.raises(problem.UserError) as raised:
        environment.parse(
            {
                environment.METRICS_VARIABLE: "70000",
                environment.HEAD_VARIABLE: "0",
                environment.BODY_VARIABLE: "9" * 30,
                environment.TOTAL_VARIABLE: "4 MB",
                "HYSSOPPROXY_POLICY_HEDGE": "sometimes",
            }
        )
    assert len(raised.value.errors) == 5
    assert all("give" in error for error in raised.value.errors)
