"""The build of the dependencies, with an installer that takes no package from a registry."""

import json
import pathlib
import shutil
import subprocess
import sys
import tomllib

import pytest

from tools import build

ROOT = pathlib.Path(__file__).parents[2]
MODULE = "fake_extension.abi3.so"


class Installer:
    """Writes a package into a folder; can be interrupted or write a package that fails."""

    def __init__(self):
        self.runs = 0
        self.is_interrupted = False
        self.source = ""

    def __call__(self, requirements, folder):
        self.runs += 1
        folder.mkdir()
        (folder / MODULE).write_bytes(b"\x7fELF")
        if self.is_interrupted:
            raise KeyboardInterrupt
        (folder / "fake_dependency.py").write_text(self.source)


@pytest.fixture
def root(tmp_path):
    (tmp_path / build.REQUIREMENTS).write_text("fake==1\n")
    package = tmp_path / "hyssopproxy" / "platform"
    package.mkdir(parents=True)
    (package / "service.py").write_text("import fake_dependency\n")
    return tmp_path


@pytest.fixture
def install():
    return Installer()


@pytest.fixture
def built(root, install):
    assert build.build(root, install)
    return root / build.DEPENDENCIES


def test_current_folder_is_not_installed_again(root, install, built):
    assert not build.build(root, install)
    assert install.runs == 1


def test_bytecode_that_python_adds_does_not_make_a_folder_stale(root, install, built):
    (built / "__pycache__").mkdir()
    (built / "__pycache__" / "fake_dependency.cpython-311.pyc").write_bytes(b"")
    assert not build.build(root, install)


@pytest.mark.parametrize("field", ["machine", "python", "abi", "platform", "libc"])
def test_folder_of_another_machine_or_python_is_replaced(root, install, built, field):
    stamp = json.loads((built / build.STAMP).read_text())
    stamp["machine"][field] = "other"
    (built / build.STAMP).write_text(json.dumps(stamp, indent=1, sort_keys=True) + "\n")
    assert build.build(root, install)
    assert not build.build(root, install)


def test_changed_requirements_are_installed(root, install, built):
    (root / build.REQUIREMENTS).write_text("fake==2\n")
    assert build.build(root, install)


def test_folder_without_a_stamp_is_replaced_and_not_merged(root, install):
    folder = root / build.DEPENDENCIES
    folder.mkdir(parents=True)
    (folder / "stale.py").write_text("")
    assert build.build(root, install)
    assert not (folder / "stale.py").exists()


def test_link_in_place_of_the_folder_is_replaced(root, install, tmp_path):
    (root / "target").mkdir()
    (root / build.DEPENDENCIES).symlink_to(tmp_path / "elsewhere")
    assert build.build(root, install)
    assert not (root / build.DEPENDENCIES).is_symlink()


@pytest.mark.parametrize("is_first", [True, False])
def test_interrupted_build_does_not_count_as_complete(root, install, is_first):
    if not is_first:
        build.build(root, install)
        (root / build.REQUIREMENTS).write_text("fake==2\n")
    install.is_interrupted = True
    with pytest.raises(KeyboardInterrupt):
        build.build(root, install)
    install.is_interrupted = False
    assert build.build(root, install)
    assert not build.build(root, install)
    assert [path.name for path in sorted((root / "target").iterdir())] == ["deps", "deps.lock"]


@pytest.mark.parametrize("damage", ["overwrite", "truncate", "remove", "add"])
def test_changed_files_are_installed_again(root, install, built, damage):
    module = built / MODULE
    if damage == "overwrite":
        module.write_bytes(b"\x7fFLE")
    elif damage == "truncate":
        module.write_bytes(b"")
    elif damage == "remove":
        module.unlink()
    else:
        (built / "other.py").write_text("")
    assert build.build(root, install)
    assert not build.build(root, install)


def test_garbled_stamp_does_not_count(root, install, built):
    (built / build.STAMP).write_bytes(b"\xff\x00")
    assert build.build(root, install)


def test_packages_that_cannot_be_imported_fail_the_build(root, install):
    install.source = "raise ImportError('wrong ELF class')"
    with pytest.raises(build.BuildError):
        build.build(root, install)
    assert not (root / build.DEPENDENCIES).exists()


def test_failure_of_the_installer_is_reported_by_the_status(root):
    (root / "tools").mkdir()
    shutil.copy(ROOT / "tools" / "build.py", root / "tools")
    (root / build.REQUIREMENTS).write_text("--unknown-option\n")  # pip ends before any look-up
    result = subprocess.run(
        [sys.executable, "tools/build.py"], cwd=root, capture_output=True, text=True
    )
    assert result.returncode == 1
    assert "build: pip ended with status" in result.stderr


def test_everything_that_a_build_writes_is_under_target(root, install):
    before = set(root.rglob("*"))
    build.build(root, install)
    added = {path.relative_to(root).parts[0] for path in root.rglob("*") if path not in before}
    assert added == {"target"}


def test_deploy_file_runs_this_build():
    command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    assert command == "python3 tools/build.py"
