"""Answers of an upstream that stops at any byte and closes: none looks complete."""

import asyncio
import http.client
import socket
import threading

import pytest
import uvloop
from gateways import running

from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gateway import Gateway
from standins.gateway_fleet import METRICS_PORT, call_on, configuration

NAMES = ("e1", "e2")
TIMEOUT_SECONDS = 10.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"
BODY = b"twelve bytes"


def head_of(attempt, *fields):
    lines = (
        b"HTTP/1.1 200 OK",
        b"Oleandershift-Attempt-Id: " + attempt,
        b"Oleandershift-Response-Seal: seal",
        *fields,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def plain(attempt):
    return head_of(attempt, b"Content-Length: %d" % len(BODY)) + BODY


def chunked(attempt):
    head = head_of(attempt, b"Transfer-Encoding: chunked", b"Trailer: X-End")
    return head + chunk(BODY) + b"0\r\nX-End: 1\r\n\r\n"


def stream(attempt, first=0):
    fields = b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"
    return head_of(attempt, *fields) + b"".join(map(chunk, EVENTS[first:])) + chunk(b"")


class ScriptedUpstream:
    """Sends the bytes that a script gives for each request, and closes.

    Parameters
    ----------
    script : callable
        Returns the bytes for an attempt and whether the connection is kept, from the
        attempt id and the `Last-Event-Id`.
    half_close : bool
        Whether only the sending side is closed.
    """

    def __init__(self, script, half_close):
        self._script = script
        self._half_close = half_close
        self._server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting connections."""
        self._server.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        conn.settimeout(TIMEOUT_SECONDS)
        try:
            with conn, conn.makefile("rb") as reader:
                while (fields := _read_request(reader)) is not None:
                    data, keeps = self._script(
                        fields[b"oleandershift-attempt-id"],
                        int(fields.get(b"last-event-id", b"0")),
                    )
                    conn.sendall(data)
                    if keeps:
                        continue
                    if self._half_close:
                        conn.shutdown(socket.SHUT_WR)
                        conn.recv(1)
                    return
        except OSError:
            return


def _read_request(reader):
    """Return the header fields of the next request; None at the end."""
    if not reader.readline():
        return None
    fields = {}
    while line := reader.readline().strip():
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip()
    reader.read(int(fields.get(b"content-length", b"0")))
    return fields


@pytest.fixture
def settings_path(settings_path):
    """Let each stream be resumed."""
    text = settings_path.read_text()
    settings_path.write_text(text.replace("retryRatio = 0.2", "retryRatio = 10"))
    return settings_path


@pytest.fixture
def play(store, settings_path, vm_settings):
    """Return a function that plays calls against scripted upstreams."""

    def play_calls(script, half_close, calls):
        upstreams = [ScriptedUpstream(script, half_close) for _ in NAMES]
        store.put("config", "main", configuration(1))
        for name, upstream in zip(NAMES, upstreams, strict=True):
            entry = {
                "service": "model",
                "address": f"127.0.0.1:{upstream.port}",
                "zone": "one",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": 1,
            }
            store.put("servers", name, entry)
        log = DecisionLog(vm_settings.vm, "ERROR")
        gateway = Gateway(vm_settings, settings_path, METRICS_PORT, log)

        async def serve():
            async with running(gateway, vm_settings):
                await asyncio.to_thread(calls)

        try:
            uvloop.run(serve())
        finally:
            for upstream in upstreams:
                upstream.close()

    return play_calls


def call(vm_settings, path, attempt):
    address = vm_settings.caller_address
    conn = http.client.HTTPConnection(address.host, address.port, TIMEOUT_SECONDS)
    try:
        return call_on(conn, path, attempt)
    except http.client.HTTPException:
        return None
    finally:
        conn.close()


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


@pytest.fixture(autouse=True)
def short_stop(monkeypatch):
    """Let gateways stop at once."""
    monkeypatch.setattr("oleandershift.io.gateway.UNREADY_SERVING_SECONDS", 0.0)


@pytest.mark.parametrize("half_close", [False, True], ids=["close", "half-close"])
@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("kept", [False, True], ids=["fresh", "kept"])
@pytest.mark.parametrize(
    ("make_answer", "path"),
    [(plain, "/write/x"), (chunked, "/write/x"), (stream, "/stream/once/x")],
    ids=["plain", "chunked", "stream"],
)
def test_answer_that_ends_at_any_byte_does_not_look_complete(
    play, vm_settings, make_answer, path, kept, prefix, half_close
):
    bytes_before = PREFIXES[prefix]
    whole = make_answer(b"a0000")
    first = 1 if bytes_before else 0
    positions = range(first, len(whole), 1 if not bytes_before else 5)

    def script(attempt, last_event):
        if attempt.startswith(b"k"):
            return make_answer(attempt), True
        return bytes_before + make_answer(attempt)[: int(attempt[1:])], False

    def calls():
        for position in positions:
            if kept:
                answer = call(vm_settings, path, f"k{position:04d}")
                assert (answer.status, answer.whole) == (200, True)
            answer = call(vm_settings, path, f"a{position:04d}")
            assert_not_complete(answer, position)
        answer = call(vm_settings, path, f"a{len(whole):04d}")
        assert (answer.status, answer.whole) == (200, True)

    play(script, half_close, calls)


@pytest.mark.parametrize("half_close", [False, True], ids=["close", "half-close"])
def test_resumed_stream_that_ends_at_any_byte_does_not_look_complete(
    play, vm_settings, half_close
):
    begun = head_of(b"a0000", b"Transfer-Encoding: chunked") + chunk(EVENTS[0])
    length = len(stream(b"a0000", 1))

    def script(attempt, last_event):
        if not last_event:
            return begun.replace(b"a0000", attempt), False
        return stream(attempt, last_event)[: int(attempt[1:])], False

    def calls():
        for position in range(length):
            answer = call(vm_settings, "/stream/resumable/x", f"a{position:04d}")
            assert answer is None or not answer.whole or answer.status >= 500, position
        answer = call(vm_settings, "/stream/resumable/x", f"a{length:04d}")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == b"".join(EVENTS)

    play(script, half_close, calls)
