"""Bounds of the decision log and its writes to a slow or closed reader."""

import os

import pytest

from oleandershift.io.decisionlog import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_SECOND,
    BoundedWriter,
    DecisionLog,
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


def test_lines_above_the_rate_are_dropped_and_counted(pipe):
    _, writer = pipe
    log = BoundedWriter(writer)
    for _ in range(int(MAX_LINES_PER_SECOND) * 3):
        log(LINE)
    assert 0 < log.dropped <= MAX_LINES_PER_SECOND * 2


class Message(str):
    """Line with the record that the logger adds."""

    def __new__(cls, text, **fields):
        """Return a line about some fields."""
        message = super().__new__(cls, text)
        message.record = {"extra": {"fields": fields}}
        return message


def test_lines_about_requests_do_not_displace_changes_of_the_fleet_view(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer)
    for _ in range(int(MAX_LINES_PER_SECOND) * 2):
        log(Message("refused\n", request="a1"))
    log(Message("snapshot not read\n", peer="vm-2"))
    assert b"snapshot not read" in os.read(reader, 1 << 20)
    assert log.dropped > 0


class CountedField:
    """Field of a line that counts how often it is formatted."""

    def __init__(self):
        self.count = 0

    def __str__(self):
        """Return the text in the line."""
        self.count += 1
        return "field"


@pytest.fixture
def log(pipe, monkeypatch):
    _, writer = pipe
    with os.fdopen(os.dup(writer), "w") as stdout:
        monkeypatch.setattr("sys.stdout", stdout)
        yield DecisionLog("vm-1", "INFO")


@pytest.mark.parametrize("level", ["info", "debug"])
def test_lines_that_are_not_written_cost_no_formatting(log, level):
    """Lines about refused requests took a third of the processor of a flooded VM."""
    field = CountedField()
    for _ in range(int(MAX_LINES_PER_SECOND) * 10):
        getattr(log, level)("request.refused", request="a1", reason=field)
    assert field.count <= MAX_LINES_PER_SECOND * 2
    if level == "debug":
        assert field.count == log.writer.dropped == 0


def test_slow_reader_does_not_block_the_writer(pipe):
    reader, writer = pipe
    log = BoundedWriter(writer)
    for _ in range(int(MAX_LINES_PER_SECOND)):
        log("y" * 1000)
    os.set_blocking(reader, False)
    before_flush = os.read(reader, 1 << 20)
    log.flush()
    after_flush = os.read(reader, 1 << 20)
    assert set(before_flush + after_flush) == {ord("y")}
    assert MAX_BUFFERED_LINES >= MAX_LINES_PER_SECOND


def test_line_is_dropped_when_the_reader_has_closed():
    reader, writer = os.pipe()
    os.close(reader)
    log = BoundedWriter(writer)
    log("one\n")
    assert log.dropped == 1
    os.close(writer)
