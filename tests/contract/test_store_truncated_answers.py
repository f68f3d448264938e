"""Answers of a store that stop at any byte: none is taken for a shorter list."""

import socket
import threading

import pytest
from returns.result import Failure

from oleandershift.io.lingering import reset_on_close
from oleandershift.platform.store import StoreClient
from oleandershift.vmsettings import Address

PAGE = (
    b'{"items":[{"metadata":{"name":"u1","revision":3},"spec":1},'
    b'{"metadata":{"name":"u2","revision":4},"spec":%b}],"at":15,"hasMore":false}'
)
EVENTS = (
    b'{"events":[{"object":{"metadata":{"name":"u1","revision":3},"spec":%b},'
    b'"deleted":false}],"at":15}'
)
HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\n"


def with_length(body):
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunked(body):
    framed = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + framed


def ended_by_close(body):
    return HEAD + b"\r\n" + body


@pytest.fixture
def serve():
    """Return a function that starts a store which answers each call in turn."""
    servers = []

    def start(answers, resets):
        server = socket.create_server(("127.0.0.1", 0))
        servers.append(server)

        def run():
            for answer in answers:
                try:
                    conn, _ = server.accept()
                except OSError:
                    # The test has ended before it used all answers.
                    return
                with conn:
                    conn.recv(1 << 16)
                    conn.sendall(answer)
                    if resets:
                        reset_on_close(conn)

        threading.Thread(target=run, daemon=True).start()
        return Address(*server.getsockname())

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("frame", [with_length, chunked, ended_by_close])
@pytest.mark.parametrize("spec", [b"1", b"\xff"], ids=["readable", "unreadable"])
@pytest.mark.parametrize(
    ("body", "read"),
    [
        (PAGE, lambda client: client.snapshot("servers")),
        (EVENTS, lambda client: client.watch("servers", 3, 0.0)),
    ],
    ids=["list", "watch"],
)
def test_answer_that_ends_at_any_byte_is_no_success(
    serve, body, read, spec, frame, resets
):
    whole = frame(body % spec)
    # All of the body is there once the last chunk has begun.
    ends = range(len(whole) - (len(b"\r\n\r\n") if frame is chunked else 0))
    client = StoreClient(serve([*(whole[:end] for end in ends), whole], resets))
    for end in ends:
        assert isinstance(read(client), Failure), whole[:end]
    client.close()
    if not resets:
        assert read(client).unwrap().revision == 15
