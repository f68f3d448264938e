"""Events are cut whole and in order."""

import pytest

from oleandershift.eventframes import MAX_EVENT_BYTES, EventFramer, EventOrderError


def event(number):
    return b"id: %d\ndata: x\n\n" % number


@pytest.fixture
def cutter():
    return EventFramer()


def test_partial_event_is_held_back(cutter):
    whole = event(1)
    assert cutter.feed(whole[:-3]) == b""
    assert not cutter.is_at_boundary
    assert cutter.feed(whole[-3:]) == whole
    assert cutter.is_at_boundary


def test_several_events_at_once(cutter):
    data = event(1) + event(2) + event(3)[:4]
    assert cutter.feed(data) == event(1) + event(2)
    assert cutter.last_id == 2
    assert cutter.event_count == 2


def test_every_split_gives_the_same_bytes(cutter):
    data = event(1) + event(2)
    for cut in range(len(data)):
        other = EventFramer()
        assert other.feed(data[:cut]) + other.feed(data[cut:]) == data


def test_missing_event_is_an_error(cutter):
    cutter.feed(event(1))
    with pytest.raises(EventOrderError, match="event 3 came where 2 was due"):
        cutter.feed(event(3))


def test_repeated_event_is_an_error(cutter):
    cutter.feed(event(1))
    with pytest.raises(EventOrderError):
        cutter.feed(event(1))


def test_resumed_stream_goes_on_after_the_last_event():
    cutter = EventFramer(last_id=12)
    with pytest.raises(EventOrderError):
        cutter.feed(event(12))


def test_restart_forgets_the_partial_event(cutter):
    cutter.feed(event(1) + event(2)[:5])
    cutter.discard_partial()
    assert cutter.feed(event(2)) == event(2)


def test_endless_event_is_an_error(cutter):
    with pytest.raises(EventOrderError):
        cutter.feed(b"x" * (MAX_EVENT_BYTES + 1))
