"""Answers to the own fleet's router that stop at any byte: none looks complete."""

import socket
import threading

import pytest

from oleandershift.calls import Call
from oleandershift.dispatch import RequestKind
from oleandershift.ids import RequestId, ServiceId, TeamId
from oleandershift.io.upstreams import (
    Attempt,
    AttemptError,
    RelayMode,
    UpstreamConnectionPool,
)

HEAD = b"HTTP/1.1 200 OK\r\nOleander-Request-Id: r1/1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "length": HEAD + b"Content-Length: 12\r\nX-After: ab\r\n\r\ntwelve bytes",
    "chunks": CHUNKED + b"6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
    "padded chunks": CHUNKED + b"006\r\ntwelve\r\n006\r\n bytes\r\n000\r\n\r\n",
    "trailer": CHUNKED + b"c\r\ntwelve bytes\r\n0\r\nX-After: ab\r\n\r\n",
    "empty": HEAD + b"Content-Length: 0\r\nX-After: ab\r\n\r\n",
    "no body": HEAD.replace(b"200 OK", b"204 No Content") + b"X-After: ab\r\n\r\n",
}


@pytest.fixture
def pool():
    created = UpstreamConnectionPool(1.0, 1.0)
    created.cancel_attempt = lambda url, tag: None
    yield created
    created.close()


CALL = Call(
    request=RequestId("r1"),
    team=TeamId("team"),
    service=ServiceId("service"),
    method="GET",
    target="/",
    headers=(),
    body=b"",
    kind=RequestKind.QUICK,
    deadline=None,
    cost_hint=None,
    idempotent=True,
    idempotency_key="",
)


def read(pool, port):
    attempt = Attempt(pool, CALL, f"http://127.0.0.1:{port}", 1)
    try:
        attempt.connect()
        if attempt.send().relay_mode is RelayMode.BUFFERED:
            return attempt.read_body()
        return b"".join(attempt.iter_chunks())
    finally:
        attempt.close()


@pytest.mark.parametrize("kind", ANSWERS)
def test_answer_that_ends_at_any_byte_fails(pool, kind):
    whole = ANSWERS[kind]
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]

        def serve():
            for end in range(len(whole) + 1):
                conn, _ = server.accept()
                with conn:
                    conn.recv(1 << 16)
                    conn.sendall(whole[:end])

        threading.Thread(target=serve, daemon=True).start()
        for end in range(len(whole)):
            try:
                body = read(pool, port)
            except AttemptError:
                continue
            pytest.fail(f"{whole[:end]} is taken for {body}")
        assert read(pool, port) in (b"twelve bytes", b"")
