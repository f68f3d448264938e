"""Streams with unusual bytes, ids or ends: none reaches its caller out of order."""

from collections import Counter

import pytest
from scriptedupstreams import (
    CHUNKED,
    EVENT_STREAM,
    EVENTS,
    End,
    call,
    chunk,
    head_of,
    stream,
)

ONCE, RESUMABLE = "/stream/once/x", "/stream/resumable/x"
LINE_ENDS = pytest.mark.parametrize(
    "line_end", [b"\r\n", b"\n", b"\r"], ids=["crlf", "lf", "cr"]
)


@pytest.fixture
def retry_ratio():
    """Let each stream be resumed."""
    return 10


def numbered(*ids, line_end=b"\n"):
    """Return events with the given ids."""
    lines = b"id: %b", b"data: x", b"", b""
    return tuple(line_end.join(lines) % str(item).encode() for item in ids)


def begun(attempt, *events):
    """Return a stream of which no end follows."""
    return head_of(attempt, EVENT_STREAM, CHUNKED) + b"".join(map(chunk, events))


def in_turn(*answers):
    """Return a script by which each attempt gets one answer after the other."""
    counts = Counter()

    def script(attempt, last_event):
        counts[attempt] += 1
        return answers[min(counts[attempt], len(answers)) - 1](attempt, last_event)

    return script


def whole(events=EVENTS, first=0):
    return lambda attempt, last_event: (stream(attempt, first, events), End.KEEP)


def broken(*events):
    return lambda attempt, last_event: (begun(attempt, *events), End.CLOSE)


def test_stream_that_breaks_after_event_0_goes_on_at_event_1(play, vm_settings):
    answers, events = [], numbered(0, 1, 2)
    script = in_turn(broken(events[0]), whole(events[1:]))
    received = play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(events))
    assert sorted(received, key=str) == [(b"a", 0), (b"a", None)]


def test_stream_that_begins_again_after_event_0_is_not_passed_on(play, vm_settings):
    answers, events = [], numbered(0, 1, 2)
    script = in_turn(broken(events[0]), whole(events))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (False, events[0])


def take_up(vm_settings, last_event):
    """Go on with a stream of an earlier attempt; return the answer."""
    assert call(vm_settings, RESUMABLE, "began").status == 200
    fields = {"Last-Event-Id": str(last_event), "Resumes": "began"}
    return call(vm_settings, RESUMABLE, "a", **fields)


def test_take_up_after_event_0_goes_on_at_event_1(play, vm_settings):
    answers, events = [], numbered(0, 1, 2)

    def script(attempt, last_event):
        first = 0 if last_event is None else last_event + 1
        return stream(attempt, first, events), End.KEEP

    play(script, lambda: answers.append(take_up(vm_settings, 0)))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(events[1:]))


@pytest.mark.parametrize("events", [EVENTS[1:], EVENTS[2:]], ids=["2", "3"])
def test_stream_that_begins_late_is_not_passed_on(play, vm_settings, events):
    answers = []
    play(whole(events), lambda: answers.append(call(vm_settings, ONCE, "a")))
    assert answers[0].status == 502


@pytest.mark.parametrize("events", [EVENTS[1:], EVENTS[2:]], ids=["2", "3"])
def test_stream_that_begins_late_is_asked_for_elsewhere(play, vm_settings, events):
    answers = []
    script = in_turn(whole(events), whole())
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].status, answers[0].body) == (200, b"".join(EVENTS))


@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
@pytest.mark.parametrize("first", [0, 1])
def test_stream_may_begin_at_either_first_id(play, vm_settings, path, first):
    answers, events = [], numbered(first, first + 1)
    play(whole(events), lambda: answers.append(call(vm_settings, path, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(events))


@pytest.mark.parametrize("events", [EVENTS, EVENTS[2:]], ids=["1", "3"])
def test_take_up_that_begins_elsewhere_is_asked_for_again(play, vm_settings, events):
    answers = []
    answer_take_up = in_turn(whole(events), whole(EVENTS[1:]))

    def script(attempt, last_event):
        answer = whole() if last_event is None else answer_take_up
        return answer(attempt, last_event)

    play(script, lambda: answers.append(take_up(vm_settings, 1)))
    assert (answers[0].status, answers[0].body) == (200, b"".join(EVENTS[1:]))


@pytest.mark.parametrize("events", [EVENTS, EVENTS[2:]], ids=["1", "3"])
def test_take_up_that_begins_elsewhere_at_all_upstreams_fails(
    play, vm_settings, events
):
    answers = []

    def script(attempt, last_event):
        answer = whole() if last_event is None else whole(events)
        return answer(attempt, last_event)

    play(script, lambda: answers.append(take_up(vm_settings, 1)))
    assert answers[0].status == 502


@pytest.mark.parametrize("ids", [("a", "b"), ("-1", "0"), ("",)])
@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
def test_stream_with_ids_that_are_no_numbers_is_not_passed_on(
    play, vm_settings, path, ids
):
    answers = []
    play(whole(numbered(*ids)), lambda: answers.append(call(vm_settings, path, "a")))
    assert answers[0].status == 502


def test_stream_without_ids_does_not_begin_again(play, vm_settings):
    answers, events = [], (b"data: x\n\n", b"data: y\n\n")
    script = in_turn(broken(events[0]), whole(events))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (False, events[0])


@LINE_ENDS
@pytest.mark.parametrize("path", [ONCE, RESUMABLE])
def test_line_ends_of_events_may_be_any(play, vm_settings, path, line_end):
    answers, events = [], numbered(1, 2, 3, line_end=line_end)
    play(whole(events), lambda: answers.append(call(vm_settings, path, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(events))


@LINE_ENDS
def test_stream_with_any_line_end_goes_on_elsewhere(play, vm_settings, line_end):
    answers, events = [], numbered(1, 2, 3, line_end=line_end)
    script = in_turn(broken(events[0], events[1][:-1]), whole(events[1:]))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(events))


@pytest.mark.parametrize("rest", [b": alive\n\n", b"\n"], ids=["comment", "blank"])
def test_resumed_stream_without_an_event_is_not_complete(play, vm_settings, rest):
    answers = []
    script = in_turn(broken(EVENTS[0]), whole((rest,)))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert not answers[0].whole


def test_resumed_stream_that_states_its_end_is_complete(play, vm_settings):
    answers = []
    script = in_turn(broken(EVENTS[0]), whole(EVENTS[1:2]))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(EVENTS[:2]))


@pytest.mark.parametrize("wrong", [EVENTS[0], EVENTS[2], b"error\n\n"])
def test_stream_out_of_order_goes_on_elsewhere(play, vm_settings, wrong):
    answers = []

    def disordered(attempt, last_event):
        parts = [begun(attempt, EVENTS[0]), 0.05, chunk(wrong) + chunk(b"")]
        return parts, End.KEEP

    script = in_turn(disordered, whole(EVENTS[1:]))
    play(script, lambda: answers.append(call(vm_settings, RESUMABLE, "a")))
    assert (answers[0].whole, answers[0].body) == (True, b"".join(EVENTS))


@pytest.mark.parametrize("wrong", [EVENTS[0], EVENTS[2], b"error\n\n"])
def test_stream_out_of_order_is_not_complete(play, vm_settings, wrong):
    answers = []

    def disordered(attempt, last_event):
        parts = [begun(attempt, EVENTS[0]), 0.05, chunk(wrong) + chunk(b"")]
        return parts, End.KEEP

    play(disordered, lambda: answers.append(call(vm_settings, ONCE, "a")))
    assert (answers[0].whole, answers[0].body) == (False, EVENTS[0])
