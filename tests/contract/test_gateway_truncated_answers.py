"""Answers of an upstream that stops at any byte and closes: none looks complete."""

import pytest
from scriptedupstreams import CHUNKED, EVENTS, End, call, chunk, head_of, stream

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
BODY = b"twelve bytes"
ENDS = pytest.mark.parametrize(
    "end", [End.CLOSE, End.HALF_CLOSE], ids=["close", "half-close"]
)


def plain(attempt):
    return head_of(attempt, b"Content-Length: %d" % len(BODY)) + BODY


def chunked(attempt):
    head = head_of(attempt, CHUNKED, b"Trailer: X-End")
    return head + chunk(BODY) + b"0\r\nX-End: 1\r\n\r\n"


@pytest.fixture
def retry_ratio():
    """Let each stream be resumed."""
    return 10


def assert_not_complete(answer, position):
    """Judge an answer of which only a part was sent; its whole events may be passed."""
    if answer is not None and answer.whole:
        assert answer.status >= 500, position
    elif answer is not None:
        assert answer.status == 200, position


PREFIXES = {
    "alone": b"",
    "after an interim response": INTERIM,
    "after a late copy": plain(b"earlier"),
}


@ENDS
@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("kept", [False, True], ids=["fresh", "kept"])
@pytest.mark.parametrize(
    ("make_answer", "path"),
    [(plain, "/write/x"), (chunked, "/write/x"), (stream, "/stream/once/x")],
    ids=["plain", "chunked", "stream"],
)
def test_answer_that_ends_at_any_byte_does_not_look_complete(
    play, vm_settings, make_answer, path, kept, prefix, end
):
    bytes_before = PREFIXES[prefix]
    whole = make_answer(b"a0000")
    first = 1 if bytes_before else 0
    positions = range(first, len(whole), 1 if not bytes_before else 5)

    def script(attempt, last_event):
        if attempt.startswith(b"k"):
            return make_answer(attempt), End.KEEP
        return bytes_before + make_answer(attempt)[: int(attempt[1:])], end

    def calls():
        for position in positions:
            if kept:
                answer = call(vm_settings, path, f"k{position:04d}")
                assert (answer.status, answer.whole) == (200, True)
            answer = call(vm_settings, path, f"a{position:04d}")
            assert_not_complete(answer, position)
        answer = call(vm_settings, path, f"a{len(whole):04d}")
        assert (answer.status, answer.whole) == (200, True)

    play(script, calls)


@ENDS
def test_resumed_stream_that_ends_at_any_byte_does_not_look_complete(
    play, vm_settings, end
):
    begun = head_of(b"a0000", CHUNKED) + chunk(EVENTS[0])
    length = len(stream(b"a0000", 1))

    def script(attempt, last_event):
        if not last_event:
            return begun.replace(b"a0000", attempt), end
        return stream(attempt, last_event)[: int(attempt[1:])], end

    def calls():
        for position in range(length):
            answer = call(vm_settings, "/stream/resumable/x", f"a{position:04d}")
            assert answer is None or not answer.whole or answer.status >= 500, position
        answer = call(vm_settings, "/stream/resumable/x", f"a{length:04d}")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == b"".join(EVENTS)

    play(script, calls)
