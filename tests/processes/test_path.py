"""A search through all processes: daemon, targets and platform."""

import signal

import pytest

from bench import fleet as fleets


@pytest.fixture(scope="module")
def fleet():
    with fleets.running(fleets.make_layout(targets=3, vms=2, replicas=1)) as running:
        yield running


def test_answer_names_snapshot_and_full_coverage(fleet):
    status, body, headers = fleet.search(fleet.layout.vms[0], limit=3)
    assert status == 200
    assert body["snapshot"] == "s1"
    assert body["coverage"] == {"shards_total": 6, "shards_answered": 6, "missing": []}
    assert len(body["hits"]) == 3
    scores = [hit["score"] for hit in body["hits"]]
    assert scores == sorted(scores, reverse=True)
    assert headers["request-id"] == body["request_id"]


def test_shards_of_a_killed_target_are_listed_as_missing(fleet):
    fleet.targets["t1"].signal(signal.SIGKILL)
    status, body, _ = fleet.search(fleet.layout.vms[1])
    assert status == 200
    missing = {item["shard"] for item in body["coverage"]["missing"]}
    assert missing == {"s001", "s004"}
    assert body["coverage"]["shards_answered"] == 4
    assert not any(hit["shard"] in missing for hit in body["hits"])
