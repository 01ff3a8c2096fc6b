"""HTTP interfaces for callers and operators, and the command-line tool."""

import json
import socket
import subprocess
import sys

import pytest

from bench import fleet as fleets
from bench import process


@pytest.fixture(scope="module")
def fleet():
    with fleets.running(fleets.make_layout(targets=2, vms=1, replicas=1)) as running:
        yield running


@pytest.mark.parametrize(
    ("service", "body", "headers", "status", "kind"),
    [
        (fleets.SERVICE, b"{", {}, 400, "bad_request"),
        (fleets.SERVICE, b"[]", {}, 400, "bad_request"),
        (fleets.SERVICE, b'{"query": ' + b"[" * 30000 + b"}", {}, 400, "bad_request"),
        (
            fleets.SERVICE,
            b'{"query": ' + b"[" * 30000 + b"]" * 30000 + b"}",
            {},
            400,
            "bad_request",
        ),
        (fleets.SERVICE, b'{"query": "\xff"}', {}, 400, "bad_request"),
        (fleets.SERVICE, b'{"query": 1, "limit": "3"}', {}, 400, "bad_request"),
        (fleets.SERVICE, b'{"query": 1, "colour": 2}', {}, 400, "bad_request"),
        (fleets.SERVICE, b'{"query": "' + b"x" * 70000 + b'"}', {}, 413, "body_too_large"),
        (fleets.SERVICE, b'{"query": 1}', {"Request-Timeout-Ms": "soon"}, 400, "bad_deadline"),
        ("none", b'{"query": 1}', {}, 404, "unknown_service"),
    ],
)
def test_bad_request_gets_a_problem_with_a_remedy(fleet, service, body, headers, status, kind):
    url = f"http://{fleet.layout.vms[0].listen}/v1/services/{service}/search"
    got_status, reply, got_headers = process.send_request(url, body, headers)
    assert (got_status, reply["kind"], reply["execution"]) == (status, kind, "not_run")
    assert reply["remedy"]
    assert got_headers["content-type"] == "application/problem+json"


def test_request_id_is_echoed(fleet):
    url = f"http://{fleet.layout.vms[0].listen}/v1/services/{fleets.SERVICE}/search"
    _, body, headers = process.send_request(url, {"query": 1}, {"Request-Id": "mine"})
    assert (body["request_id"], headers["request-id"]) == ("mine", "mine")


def test_metrics_and_state_are_served_to_operators(fleet):
    vm = fleet.layout.vms[0]
    fleet.search(vm)
    text = process.send_request(f"http://{vm.admin}/metrics")[1]
    assert "hyssopproxy_searches_total" in text
    assert 'hyssopproxy_search_seconds{quantile="0.99"}' in text
    assert fleet.state(vm)["version"] == 1
    assert process.send_request(f"http://{vm.listen}/state")[0] == 404


def run_ctl(*flags):
    return subprocess.run(
        [sys.executable, "-m", "hyssopproxy.ctl", *flags], capture_output=True, text=True
    )


def test_tool_sends_searches_shows_status_and_generates_load(fleet):
    vm = fleet.layout.vms[0]
    answer = run_ctl("search", vm.listen, fleets.SERVICE, "q", "--limit", "1")
    assert answer.returncode == 0 and len(json.loads(answer.stdout)["hits"]) == 1
    table = run_ctl("status", vm.admin)
    assert table.returncode == 0 and "vm0" in table.stdout
    load = run_ctl("load", fleets.SERVICE, vm.listen, "--rate", "20", "--seconds", "1", "--as-json")
    assert load.returncode == 0 and json.loads(load.stdout)["cut"] == 0
    refused = run_ctl("act", vm.listen, fleets.SERVICE, "none")
    assert refused.returncode == 1 and json.loads(refused.stdout)["kind"] == "unknown_action"


@pytest.mark.parametrize("flags", [("search", "127.0.0.1:1", "s", "q"), ("check", "/nonexistent")])
def test_tool_reports_errors_without_a_traceback(flags):
    result = run_ctl(*flags)
    assert result.returncode == 2
    assert result.stderr.startswith("hyssopctl: ") and "Traceback" not in result.stderr


def test_daemon_reports_all_invalid_settings_at_once():
    result = subprocess.run(
        [sys.executable, "-m", "hyssopproxy.daemon", "--listen", "x"],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert "--vm" in result.stderr and "--listen" in result.stderr and "--platform" in result.stderr


CHUNKED = b"POST /v1/services/x/search HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("opening", "block"),
    [
        (b"GET /", b"x" * 65536),
        (b"GET / HTTP/1.1\r\nX: ", b"x" * 65536),
        (b"GET / HTTP/1.1\r\n", b"X: 1\r\n" * 1000),
        (CHUNKED, b"1\r\nx\r\n" * 10000),
        (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: 1\r\n" * 1000),
        (CHUNKED + b"1;x=", b"x" * 65536),
    ],
)
def test_caller_that_sends_without_end_is_closed(fleet, opening, block):
    vm = fleet.layout.vms[0]
    host, _, port = vm.listen.rpartition(":")
    before_mb = fleet.daemons[vm.name].memory_mb()
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        connection.sendall(opening)
        sent_bytes = 0
        with pytest.raises(ConnectionError):
            while sent_bytes < 400 << 20:
                connection.sendall(block)
                sent_bytes += len(block)
    assert fleet.daemons[vm.name].memory_mb() - before_mb < 40
    assert fleet.search(vm)[0] == 200
