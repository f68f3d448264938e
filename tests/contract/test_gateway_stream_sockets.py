"""Answers on unusual sockets: none is mixed, out of order or complete by mistake."""

import socket

import pytest
from scriptedupstreams import (
    CHUNKED,
    EVENT_STREAM,
    EVENTS,
    TIMEOUT_SECONDS,
    End,
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


def request(path, attempt, version="1.1", extra=()):
    lines = (
        f"POST {path} HTTP/{version}",
        f"Host: {HOST}",
        f"Oleandershift-Attempt-Id: {attempt}",
        "Oleandershift-Deadline-Ms: 4000",
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
