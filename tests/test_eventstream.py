"""Tests of the reader of engines' events."""

import pytest

from oleandershift.eventstream import EventReader

EVENTS = b'data: {"index": 0}\r\n\r\ndata: {"index": 1}\r\n\r\n'


@pytest.mark.parametrize("split", range(len(EVENTS) + 1))
def test_events_split_within_a_line_end_stay_apart(split):
    reader = EventReader()
    events = reader.feed(EVENTS[:split]) + reader.feed(EVENTS[split:])
    assert events == EVENTS.replace(b"\r\n", b"\n")
    assert reader.next_index == 2
