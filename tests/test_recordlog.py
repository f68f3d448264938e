"""Tests of the record log: what a VM that is behind is sent."""

import pytest
from storereaders import at

from oleandershift.recordlog import MAX_REMOVALS, RecordLog
from oleandershift.records import Record


@pytest.fixture
def log():
    log = RecordLog()
    log.replace(at(10), [Record("a", 4, {}), Record("b", 9, {})])
    return log


def names(records):
    return [record.name for record in records]


def test_changes_before_the_list_are_unknown(log):
    assert not log.is_complete_since(at(9))
    assert log.is_complete_since(at(10))


def test_empty_log_is_complete_since_no_revision():
    assert not RecordLog().is_complete_since(at(0))


def test_only_changes_after_the_revision_are_returned(log):
    log.put(Record("c", 11, {}))
    log.put(Record("a", 12, {}))
    assert names(log.changed_since(at(11))) == ["a"]


def test_removal_counts_as_read_where_its_own_revision_is_older(log):
    log.remove("a", at(4), at(12))
    assert names(log.records()) == ["b"]
    assert log.removed_since(at(11)) == (("a", at(4)),)
    assert log.removed_since(at(12)) == ()


def test_log_that_dropped_removals_is_not_complete_before_them(log):
    for number in range(MAX_REMOVALS + 1):
        log.remove(f"r{number}", at(number), at(20 + number))
    assert not log.is_complete_since(at(19))
    assert log.is_complete_since(at(20))


def test_repeated_removal_does_not_hide_an_object_that_was_written_again(log):
    log.put(Record("a", 14, {}))
    log.remove("a", at(12), at(15))
    assert names(log.changed_since(at(12))) == ["a"]
    assert log.removed_since(at(12)) == ()
