"""Settings: flags take precedence, and all errors are reported at once."""

import pytest

from hyssopproxy import problem
from hyssopproxy import settings

FLAGS = {
    "vm": "vm0",
    "failure_domain": "d1",
    "listen": "127.0.0.1:80",
    "peer": "127.0.0.1:81",
    "platform": "127.0.0.1:82",
}


def test_flag_takes_precedence_over_environment():
    result = settings.read(FLAGS, {"HYSSOPPROXY_VM": "other", "HYSSOPPROXY_STOP_GRACE_S": "9"})
    assert (result.vm, result.stop_grace_s) == ("vm0", 9.0)


def test_all_errors_are_reported_at_once():
    flags = {**FLAGS, "listen": "localhost:80", "stop_grace_s": "soon", "peer_key": "short"}
    with pytest.raises(problem.UserError) as error:
        settings.read(flags, {"HYSSOPPROXY_COLOUR": "red"})
    text = str(error.value)
    for expected in (
        "--listen",
        "not an IP address",
        "--stop-grace-s",
        "--peer-key",
        "HYSSOPPROXY_COLOUR",
    ):
        assert expected in text


def test_all_missing_settings_are_reported():
    with pytest.raises(problem.UserError) as error:
        settings.read({}, {})
    assert len(error.value.errors) == 5


def test_peer_address_outside_loopback_needs_a_key():
    with pytest.raises(problem.UserError, match="hyssopctl key"):
        settings.read({**FLAGS, "peer": "10.0.0.1:81"}, {})
