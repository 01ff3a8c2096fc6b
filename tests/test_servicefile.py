"""Service files: every fault at once, each with file, key, value and remedy."""

import pathlib

import pytest

from hyssopproxy import ctl
from hyssopproxy import problem
from hyssopproxy import servicefile

GOOD = """
name = "letters"
[targets.a1]
address = "127.0.0.1:9001"
failure_domain = "d1"
leaves = 2
[snapshots.day1]
number = 1
[snapshots.day1.shards]
s0 = ["a1/0", "a1/1"]
"""


def read(tmp_path, text):
    (tmp_path / "letters.toml").write_text(text)
    return servicefile.read_dir(tmp_path)


def test_good_file_is_read(tmp_path):
    assert list(read(tmp_path, GOOD)) == ["letters"]


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('name = "letters"', "", "name = None"),
        ('name = "letters"', 'name = "letters"\ncolour = 1', "unknown key"),
        ('"127.0.0.1:9001"', '"example:9001"', "is not an IP address"),
        ("leaves = 2", "leaves = 0", "whole number from 1"),
        ("leaves = 2", "leaves = true", "whole number from 1"),
        ('"a1/1"', '"a1/2"', "target and leaf of this file"),
        ('"a1/1"', '"b1/0"', "target and leaf of this file"),
        ("number = 1", "", "number = None"),
        ('name = "letters"', 'name = "letters"\n[wait]\npolicy = "never"', "give one of"),
        ('name = "letters"', 'name = "letters"\n[deadline]\ndefault_ms = 9000', "at most max_ms"),
        ('name = "letters"', 'name = "letters"\n[cold_start]\nafter_ms = [5]', "from 0"),
        ('name = "letters"', "name = ", "valid TOML"),
    ],
)
def test_fault_is_told_with_file_key_and_remedy(tmp_path, old, new, told):
    with pytest.raises(problem.UserError) as error:
        read(tmp_path, GOOD.replace(old, new))
    assert "letters.toml" in str(error.value)
    assert told in str(error.value)


def test_all_faults_are_told_at_once(tmp_path):
    with pytest.raises(problem.UserError) as error:
        read(
            tmp_path, GOOD.replace("leaves = 2", "leaves = 0").replace("number = 1", "number = -1")
        )
    assert len(error.value.errors) >= 2


def test_empty_folder_is_told(tmp_path):
    with pytest.raises(problem.UserError, match="name a folder"):
        servicefile.read_dir(tmp_path)


@pytest.mark.parametrize("user", ["savannah", "vatukoula"])
def test_examples_are_in_order_and_collect_into_one_value(user):
    folder = pathlib.Path(__file__).parent.parent / "examples" / user
    value = ctl.build_value(folder, version=3)
    assert value["version"] == 3
    assert len(value["services"]) == 4
    assert len(value["vms"]) == 8
    assert len(value["failure_domains"]) == 3
