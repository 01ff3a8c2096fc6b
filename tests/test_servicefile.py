"""Service files: all errors are reported at once, with file, key, value and remedy."""

import pathlib

import pytest

from hyssopproxy import ctl
from hyssopproxy import problem
from hyssopproxy import servicefile

VALID = """
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


def test_valid_file_is_read(tmp_path):
    assert list(read(tmp_path, VALID)) == ["letters"]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
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
def test_error_is_reported_with_file_key_and_remedy(tmp_path, old, new, expected):
    with pytest.raises(problem.UserError) as error:
        read(tmp_path, VALID.replace(old, new))
    assert "letters.toml" in str(error.value)
    assert expected in str(error.value)


def test_all_errors_are_reported_at_once(tmp_path):
    with pytest.raises(problem.UserError) as error:
        read(
            tmp_path, VALID.replace("leaves = 2", "leaves = 0").replace("number = 1", "number = -1")
        )
    assert len(error.value.errors) >= 2


def test_empty_folder_is_reported(tmp_path):
    with pytest.raises(problem.UserError, match="name a folder"):
        servicefile.read_dir(tmp_path)


@pytest.mark.parametrize("user", ["savannah", "vatukoula"])
def test_examples_are_valid_and_build_a_configuration(user):
    folder = pathlib.Path(__file__).parent.parent / "examples" / user
    configuration = ctl.build_configuration(folder, version=3)
    assert configuration["version"] == 3
    assert len(configuration["services"]) == 4
    assert len(configuration["vms"]) == 8
    assert len(configuration["failure_domains"]) == 3
