"""Contract tests of the upstream with faults, whose ledger the soak judges by."""

import socket
from urllib.parse import urlsplit

import pytest

from standins.faulty import FaultyUpstream

REQUEST = (
    b"POST /charge HTTP/1.1\r\nHost: u\r\nIdempotency-Key: m123\r\nX-Echo: m123\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


@pytest.fixture
def upstream():
    running = FaultyUpstream()
    yield running
    running.close()


def send(upstream, data):
    """Send bytes, then nothing more, and wait until the upstream closes or answers."""
    address = urlsplit(upstream.url)
    with socket.create_connection((address.hostname, address.port), 5.0) as conn:
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        while conn.recv(1000):
            pass


def test_whole_request_is_executed(upstream):
    send(upstream, REQUEST)
    assert [item.key for item in upstream.ledger.executions()] == ["m123"]


@pytest.mark.parametrize("length", range(1, len(REQUEST)))
def test_request_that_is_cut_off_is_not_executed(upstream, length):
    """Two cut requests would count as one charge that is executed twice."""
    send(upstream, REQUEST[:length])
    assert upstream.ledger.executions() == ()
