"""Tests of the framing of server-sent events: whole events with consecutive ids."""

import time

import pytest

from oleandershift import eventframes
from oleandershift.eventframes import MAX_EVENT_BYTES, EventFramer, EventOrderError


def make_event(number):
    return b"id: %d\ndata: x\n\n" % number


@pytest.fixture
def framer():
    return EventFramer()


def test_partial_event_is_buffered(framer):
    whole = make_event(1)
    assert framer.feed(whole[:-3]) == b""
    assert not framer.is_at_boundary
    assert framer.feed(whole[-3:]) == whole
    assert framer.is_at_boundary


def test_several_events_in_one_chunk(framer):
    data = make_event(1) + make_event(2) + make_event(3)[:4]
    assert framer.feed(data) == make_event(1) + make_event(2)
    assert framer.last_id == 2
    assert framer.event_count == 2


def test_bytes_do_not_depend_on_the_chunks(framer):
    data = make_event(1) + make_event(2)
    for split in range(len(data)):
        another_framer = EventFramer()
        assert (
            another_framer.feed(data[:split]) + another_framer.feed(data[split:])
            == data
        )


def test_missing_event_raises(framer):
    framer.feed(make_event(1))
    with pytest.raises(EventOrderError, match="received event 3, expected event 2"):
        framer.feed(make_event(3))


def test_repeated_event_raises(framer):
    framer.feed(make_event(1))
    with pytest.raises(EventOrderError):
        framer.feed(make_event(1))


def test_resumed_stream_must_continue_after_the_last_event():
    framer = EventFramer(last_id=12)
    with pytest.raises(EventOrderError):
        framer.feed(make_event(12))


def test_discard_partial_drops_the_partial_event(framer):
    framer.feed(make_event(1) + make_event(2)[:5])
    framer.discard_partial()
    assert framer.feed(make_event(2)) == make_event(2)


def test_event_above_the_size_limit_raises(framer):
    with pytest.raises(EventOrderError):
        framer.feed(b"x" * (MAX_EVENT_BYTES + 1))


def test_event_without_an_id_among_events_with_ids_raises(framer):
    framer.feed(make_event(1))
    with pytest.raises(EventOrderError, match="expected event 2"):
        framer.feed(b'{"error": "failed"}\n\n')


def test_comment_between_events_is_passed_on(framer):
    data = make_event(1) + b": still there\n\n" + make_event(2)
    assert framer.feed(data) == data


def test_stream_without_ids_is_passed_on(framer):
    data = b"data: x\n\ndata: y\n\n"
    assert framer.feed(data) == data


def test_disorder_leaves_the_events_before_it_to_the_next_attempt(framer):
    framer.feed(make_event(1))
    with pytest.raises(EventOrderError):
        framer.feed(make_event(2) + b"error\n\n")
    framer.discard_partial()
    assert (framer.last_id, framer.event_count) == (1, 1)
    assert framer.feed(make_event(2)) == make_event(2)


@pytest.mark.parametrize("number", [0, 2])
def test_event_after_event_0_must_be_event_1(framer, number):
    framer.feed(make_event(0))
    with pytest.raises(EventOrderError, match="expected event 1"):
        framer.feed(make_event(number))


@pytest.mark.parametrize("number", [2, 3])
def test_fresh_stream_that_begins_late_raises(framer, number):
    with pytest.raises(EventOrderError):
        framer.feed(make_event(number))


@pytest.mark.parametrize("number", [0, 1])
def test_fresh_stream_begins_at_either_first_id(framer, number):
    data = make_event(number) + make_event(number + 1)
    assert framer.feed(data) == data


@pytest.mark.parametrize("second", [1, 2])
def test_event_with_two_ids_raises(framer, second):
    with pytest.raises(EventOrderError):
        framer.feed(b"id: 1\nid: %d\ndata: x\n\n" % second)


@pytest.mark.parametrize("value", [b"a", b"-1", b"1.0", b"", b"9" * 5000])
def test_id_that_is_no_number_raises(framer, value):
    with pytest.raises(EventOrderError):
        framer.feed(b"id: " + value + b"\ndata: x\n\n")


def test_event_with_an_id_after_one_without_raises(framer):
    framer.feed(b'{"error": "failed"}\n\n')
    with pytest.raises(EventOrderError):
        framer.feed(make_event(1))


LINE_ENDS = pytest.mark.parametrize(
    "line_end", [b"\r\n", b"\n", b"\r"], ids=["crlf", "lf", "cr"]
)


@LINE_ENDS
def test_events_with_any_line_end_are_passed_on_as_they_come(line_end):
    first, second = (make_event(n).replace(b"\n", line_end) for n in (1, 2))
    for split in range(len(second)):
        framer = EventFramer()
        assert framer.feed(first + second[:split]) == first
        assert framer.feed(second[split:]) == second
        assert framer.is_at_boundary


@LINE_ENDS
def test_events_with_any_line_end_come_byte_by_byte(framer, line_end):
    data = (make_event(1) + make_event(2)).replace(b"\n", line_end)
    assert b"".join(framer.feed(data[i : i + 1]) for i in range(len(data))) == data
    assert (framer.last_id, framer.is_at_boundary) == (2, True)


@LINE_ENDS
def test_missing_event_raises_with_any_line_end(framer, line_end):
    framer.feed(make_event(1).replace(b"\n", line_end))
    with pytest.raises(EventOrderError, match="received event 3, expected event 2"):
        framer.feed(make_event(3).replace(b"\n", line_end))


@pytest.mark.parametrize("blank", [b"\n\r\n", b"\r\n\n"])
def test_blank_line_may_end_unlike_the_line_before(framer, blank):
    event = b"id: 1\ndata: x" + blank
    assert framer.feed(event) == event


@LINE_ENDS
def test_several_blank_lines_may_end_an_event(line_end):
    data = (make_event(1) + b"\n\n" + make_event(2) + b"\n").replace(b"\n", line_end)
    for split in range(len(data)):
        framer = EventFramer()
        assert framer.feed(data[:split]) + framer.feed(data[split:]) == data
        assert (framer.last_id, framer.is_at_boundary) == (2, True)


READ_BYTES = 1448
"""Payload of a TCP segment on Ethernet."""

LARGE_EVENT_SECONDS = 0.025
"""Most processor time for an event of the maximum size. A VM may spend 2.5 % of a core
on control; at one such event a second, this is 25 ms each."""


def make_large_reads(line_end):
    head, end = b"id: 1" + line_end + b"data: ", 2 * line_end
    data = head + b"x" * (MAX_EVENT_BYTES - len(head + end)) + end
    return [data[i : i + READ_BYTES] for i in range(0, len(data), READ_BYTES)]


@LINE_ENDS
def test_large_event_is_not_searched_again_with_each_read(
    framer, line_end, monkeypatch
):
    searched = []
    has_end, find_ends = eventframes._has_end, eventframes._find_ends

    def count_has_end(partial, start):
        searched.append(len(partial) - start)
        return has_end(partial, start)

    def count_find_ends(data, start):
        searched.append(len(data) - start)
        return find_ends(data, start)

    monkeypatch.setattr(eventframes, "_has_end", count_has_end)
    monkeypatch.setattr(eventframes, "_find_ends", count_find_ends)
    reads = make_large_reads(line_end)
    assert b"".join(map(framer.feed, reads)) == b"".join(reads)
    # Once as it comes, with some bytes before each read.
    assert MAX_EVENT_BYTES <= sum(searched) <= 1.1 * MAX_EVENT_BYTES


@LINE_ENDS
def test_large_event_takes_little_processor_time(line_end):
    reads = make_large_reads(line_end)
    seconds = []
    for _ in range(5):
        framer = EventFramer()
        start = time.process_time()
        events = [framer.feed(data) for data in reads]
        seconds.append(time.process_time() - start)
        assert b"".join(events) == b"".join(reads)
    assert min(seconds) <= LARGE_EVENT_SECONDS


WITHOUT_DATA = pytest.mark.parametrize(
    "block", [b"retry: 1000\n\n", b"event: ping\n\n", b": c\nretry\nevent\n\n"]
)


@WITHOUT_DATA
def test_block_without_data_before_the_first_event_is_passed_on(framer, block):
    data = block + make_event(1)
    assert framer.feed(data) == data
    assert (framer.last_id, framer.event_count) == (1, 1)


@WITHOUT_DATA
def test_block_without_data_between_events_is_passed_on(framer, block):
    data = make_event(1) + block + make_event(2)
    assert framer.feed(data) == data
    assert (framer.last_id, framer.event_count) == (2, 2)


@WITHOUT_DATA
def test_block_without_data_is_no_event_without_an_id(framer, block):
    assert framer.feed(block) == block
    assert (framer.is_unnumbered, framer.event_count) == (False, 0)


@pytest.mark.parametrize("line", [b"data: x", b"data", b"retrying", b'{"error": "x"}'])
def test_block_with_more_than_fields_without_data_raises(framer, line):
    framer.feed(make_event(1))
    with pytest.raises(EventOrderError, match="expected event 2"):
        framer.feed(b"event: ping\n" + line + b"\n\n")


BOM = b"\xef\xbb\xbf"


@LINE_ENDS
def test_byte_order_mark_before_the_first_event_is_passed_on(line_end):
    first, second = (make_event(n).replace(b"\n", line_end) for n in (1, 2))
    data = BOM + first + second
    for split in range(len(data)):
        framer = EventFramer()
        assert framer.feed(data[:split]) + framer.feed(data[split:]) == data
        assert (framer.last_id, framer.is_unnumbered) == (2, False)


def test_byte_order_mark_before_a_comment_is_passed_on(framer):
    data = BOM + b": c\n\n" + make_event(1)
    assert framer.feed(data) == data
    assert framer.event_count == 1


def test_byte_order_mark_of_a_resumed_stream_does_not_hide_its_first_id(framer):
    framer.feed(BOM + make_event(1) + make_event(2)[:5])
    framer.discard_partial()
    assert framer.feed(BOM + make_event(2)) == make_event(2)


def test_byte_order_mark_is_passed_on_from_the_next_upstream_if_none_was(framer):
    framer.feed(BOM + make_event(1)[:5])
    framer.discard_partial()
    assert framer.feed(BOM + make_event(1)) == BOM + make_event(1)


@pytest.mark.parametrize(
    "reads",
    [
        [BOM + BOM + make_event(1) + make_event(2)],
        [make_event(1) + BOM + make_event(2)],
        [make_event(1), BOM + make_event(2)],
    ],
    ids=["second mark", "between events", "in a later read"],
)
def test_other_byte_order_mark_raises(framer, reads):
    for data in reads[:-1]:
        framer.feed(data)
    with pytest.raises(EventOrderError):
        framer.feed(reads[-1])


MIXED_ENDS = pytest.mark.parametrize(
    "end", [b"\r\r\n", b"\r\n\r\r", b"\n\r\r", b"\n\n\r", b"\r\r\n\r\n", b"\r\n\n\r\n"]
)


@MIXED_ENDS
def test_stream_that_ends_in_mixed_blank_lines_is_whole(end):
    data = make_event(1) + b"id: 2\ndata: x" + end
    for split in range(len(data)):
        framer = EventFramer()
        assert framer.feed(data[:split]) + framer.feed(data[split:]) == data
        assert (framer.last_id, framer.is_at_boundary) == (2, True)


@pytest.mark.parametrize("end", [b"\n\r", b"\r\n\r", *MIXED_ENDS.args[1]])
def test_missing_event_behind_mixed_blank_lines_raises(framer, end):
    with pytest.raises(EventOrderError, match="received event 3, expected event 2"):
        framer.feed(b"id: 1\ndata: x" + end + make_event(3))


@pytest.mark.parametrize("end", [b"\n\r", b"\r\n\r"])
def test_event_ends_at_a_cr_behind_an_lf_once_no_lf_follows(framer, end):
    event = b"id: 1\ndata: x" + end
    assert framer.feed(event) == b""
    assert framer.feed(b"i") == event
