"""Tests of the reader of engines' events."""

import pytest

from oleandershift.eventstream import EventReader, StreamError

EVENTS = b'data: {"index": 0}\r\n\r\ndata: {"index": 1}\r\n\r\n'


@pytest.mark.parametrize("split", range(len(EVENTS) + 1))
def test_events_split_within_a_line_end_stay_apart(split):
    reader = EventReader()
    events = reader.feed(EVENTS[:split]) + reader.feed(EVENTS[split:])
    assert events == EVENTS.replace(b"\r\n", b"\n")
    assert reader.next_index == 2


def make_event(index):
    return b'data: {"index": %d, "tokens": 2}\n\n' % index


@pytest.mark.parametrize("wrong", [make_event(2), b"data: error\n\n"])
def test_events_before_a_wrong_one_are_asked_for_again(wrong):
    reader = EventReader()
    with pytest.raises(StreamError):
        reader.feed(make_event(0) + wrong)
    reader.discard_partial()
    assert (reader.next_index, reader.cost) == (0, 0.0)
    assert reader.feed(make_event(0) + make_event(1)) == make_event(0) + make_event(1)
    assert reader.cost == 4.0


def test_end_mark_before_a_wrong_event_does_not_count():
    reader = EventReader()
    with pytest.raises(StreamError):
        reader.feed(b"data: [DONE]\n\n" + make_event(0))
    assert not reader.done
