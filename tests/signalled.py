"""Code that runs a daemon in `python -c` and sends it a signal at a certain place."""

_AT_IMPORT = """
import os, runpy, sys

class Finder:
    def find_spec(name, path=None, target=None):
        if name == {module!r}:
            sys.meta_path.remove(Finder)
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, Finder)
{run}
"""
_AT_EXIT = """
import atexit, os, runpy

atexit.register(os.kill, os.getpid(), {number})
{run}
"""


def run_module(name: str) -> str:
    """Return code that runs a module as `python -m` does."""
    return f'runpy.run_module({name!r}, run_name="__main__", alter_sys=True)'


def run_script(path: str) -> str:
    """Return code that runs a script."""
    return f'runpy.run_path({path!r}, run_name="__main__")'


def make_import_code(run: str, module: str, number: int) -> str:
    """Return code that sends a signal right before a module is first imported."""
    return _AT_IMPORT.format(run=run, module=module, number=int(number))


def make_exit_code(run: str, number: int) -> str:
    """Return code that sends a signal when the interpreter ends."""
    return _AT_EXIT.format(run=run, number=int(number))
