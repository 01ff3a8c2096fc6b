import os

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
