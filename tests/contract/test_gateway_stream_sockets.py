"""Answers on unusual sockets: none is mixed, out of order or complete by mistake."""

import http.client
import io
import socket
import time

import pytest
from scriptedupstreams import (
    CHUNKED,
    EVENT_STREAM,
    EVENTS,
    TIMEOUT_SECONDS,
    End,
    call,
    chunk,
    head_of,
    stream,
)

from standins.gateway_fleet import HOST, KEY

ONCE, RESUMABLE, PLAIN = "/stream/once/x", "/stream/resumable/x", "/read/x"


@pytest.fixture
def retry_ratio():
    """Let each stream be resumed."""
    return 10


def request(path, attempt, version="1.1", extra=(), deadline_ms=4000):
    lines = (
        f"POST {path} HTTP/{version}",
        f"Host: {HOST}",
        f"Oleandershift-Attempt-Id: {attempt}",
        f"Oleandershift-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 1",
        *extra,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\nx"


def connect(vm_settings, receive_bytes=None):
    address = vm_settings.caller_address
    conn = socket.socket()
    if receive_bytes is not None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    conn.settimeout(TIMEOUT_SECONDS)
    conn.connect((address.host, address.port))
    return conn


def read_to_end(conn):
    """Return the bytes until the connection ends, and whether it is reset."""
    received = b""
    try:
        while data := conn.recv(1 << 16):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def broken(attempt, last_event):
    begun = head_of(attempt, EVENT_STREAM, CHUNKED) + chunk(EVENTS[0])
    return [begun, 0.05], End.CLOSE


def old_answer(play, vm_settings, script, path=ONCE, extra=()):
    """Return head, body and whether the connection was reset, of HTTP/1.0."""
    results = []

    def calls():
        with connect(vm_settings) as conn:
            conn.sendall(request(path, "a", "1.0", extra))
            results.append(read_to_end(conn))

    play(script, calls)
    ((received, is_reset),) = results
    head, _, body = received.partition(b"\r\n\r\n")
    return head.lower(), body, is_reset


KEPT = pytest.mark.parametrize(
    "extra", [(), ("Connection: keep-alive",)], ids=["close", "keep-alive"]
)


@KEPT
def test_caller_with_http_1_0_gets_no_chunks(play, vm_settings, extra):
    head, body, is_reset = old_answer(
        play, vm_settings, lambda *args: (stream(args[0]), End.KEEP), extra=extra
    )
    assert b"transfer-encoding" not in head
    assert b"connection: close" in head
    assert (body, is_reset) == (b"".join(EVENTS), False)


@KEPT
def test_cut_stream_is_not_complete_to_a_caller_with_http_1_0(play, vm_settings, extra):
    _, body, is_reset = old_answer(play, vm_settings, broken, extra=extra)
    assert body in (b"", EVENTS[0])
    assert is_reset


def test_large_answer_without_a_length_goes_to_a_caller_with_http_1_0(
    play, vm_settings
):
    large = b"x" * (3 << 20)

    def script(attempt, last_event):
        return head_of(attempt, CHUNKED) + chunk(large) + chunk(b""), End.KEEP

    head, body, is_reset = old_answer(play, vm_settings, script, PLAIN)
    assert b"transfer-encoding" not in head
    assert (body == large, is_reset) == (True, False)


def test_caller_with_http_1_0_that_closes_its_side_sees_no_cut_stream_as_whole(
    play, vm_settings
):
    results = []

    def script(attempt, last_event):
        begun = head_of(attempt, EVENT_STREAM, CHUNKED) + chunk(EVENTS[0])
        return [begun, 1.0, chunk(EVENTS[1]) + chunk(EVENTS[2]) + chunk(b"")], End.KEEP

    def calls():
        with connect(vm_settings) as conn:
            conn.sendall(request(ONCE, "a", "1.0"))
            while EVENTS[0] not in conn.recv(1 << 16, socket.MSG_PEEK):
                pass
            conn.shutdown(socket.SHUT_WR)
            results.append(read_to_end(conn))

    play(script, calls)
    ((received, is_reset),) = results
    assert is_reset or received.endswith(EVENTS[2])


def test_caller_with_http_1_0_gets_no_interim_response(play, vm_settings):
    head, _, _ = old_answer(
        play,
        vm_settings,
        lambda *args: (stream(args[0]), End.KEEP),
        extra=("Expect: 100-continue",),
    )
    assert b" 200 " in head.split(b"\r\n")[0]


PATHS = pytest.mark.parametrize("path", [ONCE, RESUMABLE])


def own_events(attempt):
    """Return events that name their attempt."""
    return tuple(b"id: %d\ndata: %b\n\n" % (n, attempt) for n in (1, 2, 3))


def own_stream(attempt, last_event=None):
    return stream(attempt, last_event or 0, own_events(attempt))


def assert_in_order(answer, attempt):
    """Judge an answer: its own events from the first on, and all if it is whole."""
    if answer is None or answer.status >= 500:
        return
    expected = b"".join(own_events(attempt.encode()))
    assert answer.status == 200
    assert expected.startswith(answer.body)
    assert answer.body == expected or not answer.whole


@PATHS
def test_stream_in_segments_split_at_any_byte_is_whole(play, vm_settings, path):
    length = len(own_stream(b"a0000"))

    def script(attempt, last_event):
        data, position = own_stream(attempt), int(attempt[1:])
        return [data[:position], 0.002, data[position:]], End.KEEP

    def calls():
        for position in range(1, length):
            answer = call(vm_settings, path, f"a{position:04d}")
            assert answer.whole
            assert_in_order(answer, f"a{position:04d}")

    play(script, calls)


@PATHS
def test_stream_in_segments_of_one_byte_is_whole(play, vm_settings, path):
    answers = []

    def script(attempt, last_event):
        data = own_stream(attempt)
        segments = [data[i : i + 1] for i in range(len(data))]
        return [part for item in segments for part in (item, 0.001)], End.KEEP

    play(script, lambda: answers.append(call(vm_settings, path, "a")))
    assert answers[0].whole
    assert_in_order(answers[0], "a")


@PATHS
@pytest.mark.parametrize("pause", [0.0, 0.002], ids=["at once", "later"])
def test_stream_that_is_reset_at_any_byte_is_in_order(play, vm_settings, path, pause):
    length = len(own_stream(b"a0000"))

    def script(attempt, last_event):
        if last_event is not None:
            return own_stream(attempt, last_event), End.KEEP
        return [own_stream(attempt)[: int(attempt[1:])], pause], End.RESET

    def calls():
        for position in range(length + 1):
            attempt = f"a{position:04d}"
            assert_in_order(call(vm_settings, path, attempt), attempt)

    play(script, calls)


@PATHS
def test_stream_without_framing_that_is_reset_at_any_byte_is_not_complete(
    play, vm_settings, path
):
    def unframed(attempt):
        return head_of(attempt, EVENT_STREAM) + b"".join(own_events(attempt))

    def script(attempt, last_event):
        return unframed(attempt)[: int(attempt[1:])], End.RESET

    def calls():
        for position in range(len(unframed(b"a0000")) + 1):
            answer = call(vm_settings, path, f"a{position:04d}")
            assert answer is None or not answer.whole or answer.status >= 500, position

    play(script, calls)


@PATHS
@pytest.mark.parametrize("event_count", [0, 1])
def test_caller_that_closes_its_side_sees_no_cut_stream_as_whole(
    play, vm_settings, path, event_count
):
    received = []

    def script(attempt, last_event):
        data = own_stream(attempt, last_event)
        first = data.index(b"id: 1") if last_event is None else 0
        end = first + event_count * (len(own_events(attempt)[0]) + 2)
        return [data[:end], 0.3, data[end:]], End.KEEP

    def calls():
        with connect(vm_settings) as conn:
            conn.sendall(request(path, "a"))
            while event_count and b"id: 1" not in conn.recv(1 << 16, socket.MSG_PEEK):
                pass
            conn.shutdown(socket.SHUT_WR)
            received.append(read_to_end(conn)[0])
        answer = call(vm_settings, path, "b")
        assert answer.whole
        assert_in_order(answer, "b")

    play(script, calls)
    is_whole = received[0].endswith(chunk(b""))
    assert not is_whole or own_events(b"a")[2] in received[0]


EVENT_BYTES = 32 << 10
EVENT_COUNT = 200


def large_events():
    return [
        b"id: %d\ndata: %b\n\n" % (n, b"%d" % n * (EVENT_BYTES // len(str(n))))
        for n in range(1, EVENT_COUNT + 1)
    ]


@pytest.mark.parametrize("end", [End.KEEP, End.CLOSE, End.HALF_CLOSE, End.RESET])
@pytest.mark.parametrize("cut_at", [EVENT_COUNT // 2, EVENT_COUNT])
@PATHS
def test_stream_to_a_slow_reader_is_in_order(play, vm_settings, path, cut_at, end):
    events, received = large_events(), []
    is_cut = end is not End.KEEP

    def script(attempt, last_event):
        first = last_event or 0
        parts = [head_of(attempt, EVENT_STREAM, CHUNKED), *map(chunk, events[first:])]
        if is_cut and last_event is None:
            # Ends within an event.
            return [b"".join(parts[:cut_at]) + parts[cut_at][:1000]], end
        return b"".join(parts) + chunk(b""), End.KEEP

    def calls():
        with connect(vm_settings, receive_bytes=16 << 10) as conn:
            conn.sendall(request(path, "a", extra=("Connection: close",)))
            time.sleep(0.5)
            received.append(read_to_end(conn)[0])

    play(script, calls)
    answer = http.client.HTTPResponse(FakeSocket(received[0]))
    answer.begin()
    try:
        body, is_whole = answer.read(), True
    except http.client.IncompleteRead as exc:
        body, is_whole = exc.partial, False
    expected = b"".join(events)
    assert answer.status == 200
    assert expected.startswith(body)
    assert is_whole == (body == expected)
    assert is_whole == (path == RESUMABLE or not is_cut)


class FakeSocket:
    """Gives a parser the bytes that a socket has received."""

    def __init__(self, received):
        self._received = received

    def makefile(self, _mode):
        """Return the bytes as a file."""
        return io.BytesIO(self._received)


@PATHS
@pytest.mark.parametrize("reason", ["left", "deadline"])
def test_late_events_of_an_abandoned_stream_reach_nobody(
    play, vm_settings, path, reason
):
    def script(attempt, last_event):
        data = own_stream(attempt, last_event)
        if attempt.startswith(b"a"):
            end = data.index(b"id: 1")
            return [data[:end], 0.2, data[end:]], End.KEEP
        return data, End.KEEP

    def calls():
        for number in range(8):
            with connect(vm_settings) as conn:
                deadline_ms = 4000 if reason == "left" else 100
                conn.sendall(request(path, f"a{number}", deadline_ms=deadline_ms))
                time.sleep(0.05 if reason == "left" else 0.15)
            for other in range(3):
                answer = call(vm_settings, path, f"b{number}{other}")
                assert answer.whole
                assert_in_order(answer, f"b{number}{other}")

    play(script, calls)


def late(attempt, *fields):
    """Return an answer that nobody waits for."""
    head = head_of(attempt, EVENT_STREAM, CHUNKED)
    if not attempt:
        head = head.replace(b"Oleandershift-Attempt-Id: \r\n", b"")
    return head + b"".join(map(chunk, own_events(b"late"))) + chunk(b"")


LATE_BYTES = {
    "event": own_events(b"late")[0],
    "chunk": chunk(own_events(b"late")[0]),
    "end": chunk(b""),
    "answer": late(b"late"),
    "answer without an id": late(b""),
    "half an answer": late(b"late")[:-40],
    "head": head_of(b"late", EVENT_STREAM, CHUNKED),
    "head of another length": head_of(b"late", b"Content-Length: 70"),
}


@PATHS
@pytest.mark.parametrize("extra", LATE_BYTES)
@pytest.mark.parametrize("moment", ["with the end", "idle", "before the next"])
def test_late_bytes_of_an_earlier_stream_reach_nobody(
    play, vm_settings, path, extra, moment
):
    data = LATE_BYTES[extra]

    def script(attempt, last_event):
        own = own_stream(attempt, last_event)
        if moment == "with the end":
            return own + data, End.KEEP
        if moment == "idle":
            return [own, 0.02, data], End.KEEP
        return data + own, End.KEEP

    def calls():
        for number in range(6):
            answer = call(vm_settings, path, f"a{number}")
            assert_in_order(answer, f"a{number}")
            assert moment == "before the next" or answer.whole
            time.sleep(0.0 if number % 2 else 0.04)

    play(script, calls)


def test_request_behind_a_cut_stream_gets_no_answer(play, vm_settings):
    received = []

    def script(attempt, last_event):
        if attempt == b"a":
            return broken(attempt, last_event)
        return own_stream(attempt), End.KEEP

    def calls():
        with connect(vm_settings) as conn:
            conn.sendall(request(ONCE, "a") + request(ONCE, "b"))
            received.append(read_to_end(conn)[0])

    play(script, calls)
    assert received[0].count(b"HTTP/1.1") == 1
    assert not received[0].endswith(chunk(b""))
