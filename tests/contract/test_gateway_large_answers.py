"""Answers that are too large to be kept, and break off."""

import pytest
from scriptedupstreams import CHUNKED, End, call, chunk, head_of, stream

LARGE = b"x" * (3 << 19)


@pytest.fixture
def retry_ratio():
    """Let each stream be resumed."""
    return 10


def test_large_answer_of_an_upstream_that_is_gone_does_not_look_complete(
    play, vm_settings
):
    def script(attempt, last_event):
        return head_of(attempt) + LARGE, End.EXIT

    def calls():
        answer = call(vm_settings, "/write/x", "a1")
        assert answer is None or not answer.whole

    play(script, calls)


def test_stream_is_not_resumed_within_an_error_that_broke_off(play, vm_settings):
    def script(attempt, last_event):
        if script.first:
            script.first = False
            head = head_of(attempt, CHUNKED).replace(b"200 OK", b"404 Not Found")
            return head + chunk(LARGE) + chunk(b"rest")[:-3], End.CLOSE
        return stream(attempt), End.KEEP

    script.first = True

    def calls():
        answer = call(vm_settings, "/stream/resumable/x", "a1")
        if answer is not None and answer.whole and answer.status < 500:
            assert answer.status == 200, answer.body[-60:]

    play(script, calls)
