"""Installs the daemon's dependencies into target/deps unless they are complete and current.

The deploy file runs it in the repository's root: `python3 tools/build.py`. It uses the standard
library alone, since nothing else may be installed yet.
"""

import fcntl
import hashlib
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig
import typing

REQUIREMENTS = "requirements-daemon.txt"
DEPENDENCIES = "target/deps"
STAMP = "build-stamp.json"  # in the folder that it describes; written last
LOCK = "target/deps.lock"
MIN_PYTHON = (3, 11)
CHECKED_MODULE = "hyssopproxy.platform.service"  # imports all that the daemon needs

Installer = typing.Callable[[pathlib.Path, pathlib.Path], None]


class BuildError(Exception):
    """The dependencies cannot be installed; the message states why."""


def describe_machine() -> dict:
    """Return what decides which binary packages this interpreter can load here."""
    return {
        "python": platform.python_version(),
        "abi": sysconfig.get_config_var("SOABI"),
        "platform": sysconfig.get_platform(),
        "machine": platform.machine(),
        "libc": platform.libc_ver(),
    }


def make_stamp(requirements: pathlib.Path, folder: pathlib.Path, machine: dict) -> str:
    """Return the stamp of a complete folder."""
    stamp = {
        "machine": machine,
        "requirements": hashlib.sha256(requirements.read_bytes()).hexdigest(),
        "contents": hash_folder(folder),
    }
    return json.dumps(stamp, indent=1, sort_keys=True) + "\n"


def hash_folder(folder: pathlib.Path) -> str:
    """Return a digest of all files but the stamp and the bytecode, which Python may add later."""
    digest = hashlib.sha256()
    for file in sorted(folder.rglob("*")):
        name = file.relative_to(folder)
        if file.is_file() and name.as_posix() != STAMP and "__pycache__" not in name.parts:
            digest.update(f"{name.as_posix()}\0{file.stat().st_size}\0".encode())
            digest.update(file.read_bytes())
    return digest.hexdigest()


def is_current(requirements: pathlib.Path, folder: pathlib.Path, machine: dict) -> bool:
    """Return whether a build for this machine was completed and has not changed since."""
    try:
        stamp = (folder / STAMP).read_text()
        return stamp == make_stamp(requirements, folder, machine)
    except (OSError, UnicodeDecodeError):
        return False


def install_with_pip(requirements: pathlib.Path, folder: pathlib.Path) -> None:
    """Install the pinned packages into a folder."""
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-deps"]
    command += ["--target", str(folder), "-r", str(requirements)]
    status = subprocess.run(command).returncode
    if status:
        raise BuildError(f"pip ended with status {status}")


def check_imports(folder: pathlib.Path, root: pathlib.Path) -> None:
    """Raise `BuildError` unless the daemon's modules can be imported, as at its start."""
    environ = {**os.environ, "PYTHONPATH": str(folder)}
    command = [sys.executable, "-S", "-B", "-c", f"import {CHECKED_MODULE}"]
    if subprocess.run(command, cwd=root, env=environ).returncode:
        raise BuildError(f"{CHECKED_MODULE} cannot be imported with {folder}")


def build(root: pathlib.Path, install: Installer = install_with_pip) -> bool:
    """Install the dependencies if needed; return whether they were installed.

    They are installed into a new folder, which replaces the old one when it is complete.
    """
    requirements = root / REQUIREMENTS
    folder = root / DEPENDENCIES
    new = folder.with_name(f"{folder.name}.new")
    old = folder.with_name(f"{folder.name}.old")
    folder.parent.mkdir(exist_ok=True)
    machine = describe_machine()
    with open(root / LOCK, "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if is_current(requirements, folder, machine):
            return False
        _remove(new)
        install(requirements, new)
        check_imports(new, root)
        (new / STAMP).write_text(make_stamp(requirements, new, machine))
        _remove(old)
        if os.path.lexists(folder):
            folder.rename(old)
        new.rename(folder)
        _remove(old)
    return True


def _remove(path: pathlib.Path) -> None:
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def main() -> int:
    """Build in the current folder; return the exit status."""
    if sys.version_info < MIN_PYTHON:
        version = platform.python_version()
        print(f"build: Python {version} is too old: 3.11 or later is needed", file=sys.stderr)
        return 1
    try:
        build(pathlib.Path.cwd())
    except (BuildError, OSError) as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
