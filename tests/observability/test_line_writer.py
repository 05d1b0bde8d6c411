import os
import time

from filbertglade.observability import line_writer


def test_blocked_reader_delays_no_writer():
    reading, writing = os.pipe()
    writer = line_writer.LineWriter(writing)
    started_s = time.monotonic()
    for _ in range(50_000):
        writer.write(b'x' * 100 + b'\n', False)
    took_s = time.monotonic() - started_s
    assert took_s < 2.0
    assert writer.dropped > 50_000 - line_writer.QUEUED_LINES - 2000
    os.close(reading)
    writer.close(0.5)
    os.close(writing)


def test_ordinary_lines_are_dropped_first():
    reading, writing = os.pipe()
    writer = line_writer.LineWriter(writing)
    for _ in range(20_000):
        writer.write(b'y' * 100 + b'\n', True)
    assert writer.dropped
    before = writer.dropped
    writer.write(b'a failure\n', False)
    assert writer.dropped == before
    os.close(reading)
    writer.close(0.5)
    os.close(writing)


def test_number_of_dropped_lines_is_logged():
    reading, writing = os.pipe()
    writer = line_writer.LineWriter(writing)
    writer.dropped = 5
    writer.write(b'{"a": 1}\n', False)
    writer.close(2.0)
    os.close(writing)
    with os.fdopen(reading, 'rb') as lines:
        text = lines.read()
    assert b'log.dropped' in text
    assert b'"lines":5' in text
