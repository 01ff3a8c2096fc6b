import json

from tools import regression


def write_score(folder, name, started_at, worths, gate=1.0, site="s", cmd="score"):
    days = [
        {
            "name": day,
            "slot": "quiet" if day.startswith("quiet") else "trouble",
            "G": worth,
            "served": 0.9,
            "refused": 0.01,
            "failed": 0.02,
            "prices": [["cloud calls", 7.0, 0.125]],
        }
        for day, worth in worths.items()
    ]
    entry = {
        "cmd": cmd,
        "site": site,
        "at": [started_at, started_at],
        "head": "abcdef0123",
        "figures": {"gate": gate},
        "days": days,
    }
    (folder / name).write_text(json.dumps(entry))


def days(worth):
    return {
        "quiet-1": 0.9,
        "trouble-1": worth,
        "trouble-2": worth,
        "scale-1": worth,
        "scale-2": worth,
        "trouble-3": worth,
        "fresh-1": 0.0,
    }


def test_newest_full_score_is_compared_with_the_one_before(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(regression, "JOURNAL", tmp_path)
    write_score(tmp_path, "a.json", "2026-12-01T00:00:00Z", days(0.25))
    write_score(tmp_path, "b.json", "2026-12-03T00:00:00Z", days(0.5))
    write_score(tmp_path, "c.json", "2026-12-04T00:00:00Z", {"quiet-1": 0.1})
    write_score(tmp_path, "d.json", "2026-12-05T00:00:00Z", days(0.1), cmd="hunt")
    assert regression.compare("s") == 0
    printed = capsys.readouterr().out
    assert "| s | trouble-1 | 0.500 | 0.250 | 0.900 | 0.900 | 0.0300 | 0.000 | 0.125 |" in printed
    assert "| s | mean of trouble | 0.500 | 0.250 |" in printed


def test_failed_gate_and_missing_score_are_reported(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(regression, "JOURNAL", tmp_path)
    write_score(tmp_path, "a.json", "2026-12-01T00:00:00Z", days(0.25), gate=0.0)
    assert regression.compare("s", "other") == 1
    assert "gate not passed: s, other" in capsys.readouterr().out
