import msgspec

from hyssopproxy import explain


def write_log(tmp_path, *lines):
    path = tmp_path / "log"
    path.write_bytes(b"\n".join(b"12.5 vm " + msgspec.json.encode(line) for line in lines))
    return [path]


def test_request_is_shown_with_events_on_its_vm_and_targets(tmp_path):
    parts = [{"shard": "s1", "reason": "reset", "tried": ["i-1"]}]
    request = {"event": "request", "request_id": "r", "time": 100.0, "ms": 50.0, "vm": "a"}
    paths = write_log(
        tmp_path,
        {**request, "parts": parts},
        {"event": "target_backed_off", "target": "i-1", "time": 99.5, "vm": "a"},
        {"event": "target_backed_off", "target": "i-2", "time": 99.5, "vm": "a"},
        {"event": "store_lost", "time": 99.0, "vm": "a"},
        {"event": "store_lost", "time": 99.0, "vm": "b"},
        {"event": "paused", "time": 10.0, "vm": "a"},
    )
    shown = explain.explain(explain.read(paths), "r")
    assert [line["event"] for line in shown] == ["store_lost", "target_backed_off", "request"]
    assert shown[1]["target"] == "i-1"


def test_unreadable_lines_are_skipped_and_an_unknown_id_yields_nothing(tmp_path):
    path = tmp_path / "log"
    path.write_bytes(b"no json\n{broken\n[1]\n")
    assert explain.explain(explain.read([path]), "r") == []


def test_iso_timestamps_of_hyssopproxyd_are_read(tmp_path):
    paths = write_log(
        tmp_path,
        {"event": "paused", "timestamp": "2026-12-04T10:00:00.500000Z", "vm": "a"},
        {"event": "request", "request_id": "r", "timestamp": "2026-12-04T10:00:01Z", "vm": "a"},
        {"event": "paused", "timestamp": "yesterday", "vm": "a"},
        {"event": "paused", "timestamp": 5, "vm": "a"},
    )
    shown = explain.explain(explain.read(paths), "r")
    assert [line["event"] for line in shown] == ["paused", "request"]
    assert shown[1]["time"] - shown[0]["time"] == 0.5
