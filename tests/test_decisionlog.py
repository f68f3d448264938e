"""Logs are bounded and never wait for their reader."""

import os

import pytest

from oleandershift.io.decisionlog import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_SECOND,
    BoundedWriter,
)

LINE = "x" * 200 + "\n"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_line_is_written(pipe):
    reader, writer = pipe
    BoundedWriter(writer)("one\n")
    assert os.read(reader, 100) == b"one\n"


def test_excess_is_dropped_and_counted(pipe):
    _, writer = pipe
    log = BoundedWriter(writer)
    for _ in range(int(MAX_LINES_PER_SECOND) * 3):
        log(LINE)
    assert 0 < log.dropped <= MAX_LINES_PER_SECOND * 2


def test_reader_that_does_not_read_holds_nobody_up(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer)
    for _ in range(int(MAX_LINES_PER_SECOND)):
        log("y" * 1000)
    os.set_blocking(reader, False)
    first = os.read(reader, 1 << 20)
    log.flush()
    rest = os.read(reader, 1 << 20)
    assert set(first + rest) == {ord("y")}
    assert MAX_BUFFERED_LINES >= MAX_LINES_PER_SECOND


def test_closed_reader_drops():
    reader, writer = os.pipe()
    os.close(reader)
    log = BoundedWriter(writer)
    log("one\n")
    assert log.dropped == 1
    os.close(writer)
