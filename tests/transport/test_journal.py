import os

import msgspec

from hyssopproxy.transport import journal


def test_lines_are_json_and_rate_limited():
    reader, writer = os.pipe()
    logger = journal.Logger("n", writer)
    for _ in range(1000):
        logger.write("request", {"request_id": "r"}, now=5.0)
    lines = [msgspec.json.decode(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert len(lines) == journal.LINES_PER_S * journal.BURST_S
    assert lines[0]["event"] == "request" and lines[0]["vm"] == "n"
    assert logger.suppressed == 1000 - len(lines)
    logger.write("request", {}, now=6.0)
    assert msgspec.json.decode(os.read(reader, 4096))["suppressed_before"] == 1000 - len(lines)
    os.close(reader)
    os.close(writer)


def test_line_of_the_end_is_written_whatever_the_rate():
    reader, writer = os.pipe()
    logger = journal.Logger("n", writer)
    for _ in range(200):
        logger.write("signal", {}, now=5.0, is_urgent=True)
    suppressed = logger.suppressed
    logger.write_always("ended", {"status": 0})
    last = msgspec.json.decode(os.read(reader, 1 << 20).splitlines()[-1])
    assert last["event"] == "ended" and last["suppressed_before"] == suppressed > 0
    os.close(reader)
    os.close(writer)


def test_stalled_reader_does_not_block_logging():
    reader, writer = os.pipe()
    logger = journal.Logger("n", writer)
    for second in range(200):
        for _ in range(50):
            logger.write("request", {"text": "x" * 200}, now=float(second))
    assert logger.dropped > 0
    os.close(reader)
    os.close(writer)


def test_value_that_json_cannot_represent_does_not_raise():
    reader, writer = os.pipe()
    logger = journal.Logger("n", writer)
    logger.write("starting", {"settings": "/\udcff.toml", "number": 1 << 70, "any": object()}, 5.0)
    line = msgspec.json.decode(os.read(reader, 4096))
    assert "udcff" in line["settings"] and line["event"] == "starting"
    os.close(reader)
    os.close(writer)


def test_output_that_is_closed_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    os.close(writer)
    logger = journal.Logger("n", writer)
    logger.write("starting", {}, 5.0)
    assert logger.dropped == 1
