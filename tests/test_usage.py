import os
import subprocess
import sys

from hyssopproxy import usage


def test_open_descriptors_are_counted():
    before = usage.read()
    reader, writer = os.pipe()
    try:
        assert usage.read().open_descriptors == before.open_descriptors + 2
    finally:
        os.close(reader)
        os.close(writer)
    assert before.peak_memory_bytes > 1 << 20
    assert before.max_descriptors >= before.open_descriptors


def test_memory_of_the_parent_does_not_count():
    code = (
        "import subprocess, sys\n"
        "held = b'x' * (200 << 20)\n"
        "child = 'from hyssopproxy import usage; print(usage.read().peak_memory_bytes)'\n"
        "subprocess.run([sys.executable, '-c', child], check=True)\n"
    )
    output = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
    assert 1 << 20 < int(output) < 100 << 20
