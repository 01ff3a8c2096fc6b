"""How the replay judges the ends of processes; the replay itself runs real processes."""

import signal
import subprocess
import sys

import pytest

from soak import life as lives
from soak import replay

TERM, KILL, HUP = signal.SIGTERM, signal.SIGKILL, signal.SIGHUP


def make_life(status, *numbers, lines=(), **fields):
    life = lives.Life("127.0.0.1", 1, 0.0, **fields)
    life.signals += [(0.5, number) for number in numbers]
    for line in lines:
        life.add_line(line)
    if status is not None:
        life.end(status, 1.0)
    return life


@pytest.mark.parametrize("life", [make_life(0, TERM), make_life(0, HUP, TERM), make_life(-9, KILL)])
def test_ordered_ends_are_accepted(life):
    assert life.judge() == ""


@pytest.mark.parametrize("status", [-1, -15, 1, 2, -9, -11])
@pytest.mark.parametrize("numbers", [(), (HUP,), (TERM,), (HUP, TERM)])
def test_any_other_status_is_a_fault(status, numbers):
    assert make_life(status, *numbers).judge() == f"ended with status {status}"


def test_kill_does_not_excuse_another_status():
    assert make_life(-1, HUP, KILL).judge() == "ended with status -1"


def test_end_without_an_order_is_a_fault():
    assert make_life(0).judge() == "ended by itself"
    assert make_life(0, HUP).judge() == "ended by itself"
    assert make_life(0, KILL).judge() == "ended by itself"


def test_kill_after_the_grace_is_a_fault():
    assert make_life(-9, TERM, KILL, overran=True).judge() == "did not stop within its grace"


def test_kill_that_came_after_the_end_is_none():
    assert make_life(0, TERM, KILL, overran=True).judge() == ""


def test_frozen_process_need_not_stop_within_its_grace():
    assert make_life(-9, TERM, signal.SIGSTOP, KILL, overran=True).judge() == ""
    assert make_life(1, TERM, signal.SIGSTOP, overran=True).judge() == "ended with status 1"


def test_signals_are_noted_until_the_process_has_ended():
    process = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    life = lives.Life("127.0.0.1", process.pid, 0.0)
    life.open()
    assert life.send(KILL, 0.25)
    status = process.wait()
    assert not life.send(HUP, 0.5)
    life.end(status, 1.0)
    assert not life.send(HUP, 1.5)
    assert life.signals == [(0.25, KILL)]
    assert life.judge() == ""


def test_process_that_lives_on_is_a_fault():
    assert make_life(None, TERM).judge() == "has not ended"


@pytest.mark.parametrize(
    "numbers, lines, phase",
    [
        ((HUP,), (), "starting"),
        ((TERM,), (b'{"event": "starting"}',), "stopping while it started"),
        ((HUP,), (b'{"event": "started"}',), "serving"),
        ((TERM,), (b'{"event": "started"}',), "stopping"),
    ],
)
def test_phase_follows_from_log_and_signals(numbers, lines, phase):
    assert make_life(-1, *numbers, lines=lines).phase() == phase


def test_traceback_is_kept_in_the_tail():
    life = make_life(1, lines=(b'{"event": "started"}\n', b"Traceback: \xff\n", b"[1]\n"))
    assert "unstructured" in life.events
    assert life.describe().splitlines()[1:] == [
        '    {"event": "started"}',
        "    Traceback: \ufffd",
        "    [1]",
    ]


def test_day_of_a_site_file_is_loaded_with_its_length(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text('length_s = 34.0\n[[day]]\nname = "a"\n[[day]]\nname = "b"\nlength_s = 41.0\n')
    assert replay.load_day(str(path), "a") == ({"name": "a"}, 34.0)
    assert replay.load_day(str(path), "b")[1] == 41.0
    with pytest.raises(KeyError, match="choose one of a, b"):
        replay.load_day(str(path), "c")
