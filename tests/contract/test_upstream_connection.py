"""Closing of connections to upstreams, as seen by the upstream."""

import asyncio
import socket
import threading

import pytest
import uvloop

from oleandershift.io.upstreamconn import (
    MAX_HEADER_FIELDS,
    BrokenExchangeError,
    FailureCause,
    UpstreamConnection,
)

REQUEST = b"POST /x HTTP/1.1\r\nhost: upstream\r\ncontent-length: 1\r\n\r\nx"
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
WAIT_SECONDS = 5.0


class OneRequestServer:
    """Server that reads one request and records how its connection ends."""

    def __init__(self, sends_response):
        self._sends_response = sends_response
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self.end = ""
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def join(self):
        """Wait until the connection has ended."""
        self._thread.join(WAIT_SECONDS)
        self._socket.close()

    def _serve(self):
        conn, _ = self._socket.accept()
        conn.settimeout(WAIT_SECONDS)
        with conn:
            conn.recv(len(REQUEST))
            if self._sends_response:
                conn.sendall(RESPONSE)
            try:
                self.end = "closed" if not conn.recv(1) else "bytes"
            except ConnectionResetError:
                self.end = "reset"


async def exchange(port, with_response):
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(
        lambda: UpstreamConnection(lambda head, sent_at: None), "127.0.0.1", port
    )
    pending = conn.send(REQUEST, lambda head: True)
    if with_response:
        await pending.head
        assert await pending.read() == b"ok"
        assert await pending.read() == b""
    else:
        await asyncio.sleep(0.05)
    conn.close()
    await asyncio.sleep(0.05)


def test_request_does_not_wait_for_the_end_of_a_late_iteration():
    """The upstream may leave between the check before the send and that end."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        async def send_in_a_late_iteration():
            loop = asyncio.get_running_loop()
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(lambda head, sent_at: None),
                *server.getsockname(),
            )
            accepted, _ = server.accept()
            with accepted:
                conn.send(REQUEST, lambda head: True)
                # Nothing of the loop runs meanwhile.
                accepted.settimeout(WAIT_SECONDS)
                received = accepted.recv(len(REQUEST))
            conn.close()
            return received

        assert uvloop.run(send_in_a_late_iteration()) == REQUEST


def test_response_with_too_many_header_fields_breaks_its_exchange_at_once():
    fields = b"x: y\r\n" * (MAX_HEADER_FIELDS + 1)
    response = b"HTTP/1.1 200 OK\r\n" + fields + b"content-length: 2\r\n\r\nok"
    with socket.create_server(("127.0.0.1", 0)) as server:

        async def receive():
            loop = asyncio.get_running_loop()
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(lambda head, sent_at: None),
                *server.getsockname(),
            )
            accepted, _ = server.accept()
            with accepted:
                exchange = conn.send(REQUEST, lambda head: True)
                accepted.sendall(response)
                async with asyncio.timeout(WAIT_SECONDS):
                    with pytest.raises(BrokenExchangeError) as raised:
                        await exchange.head
            assert conn.closed or not conn.reusable
            return raised.value.cause

        assert uvloop.run(receive()) is FailureCause.ENDLESS


@pytest.mark.parametrize(("with_response", "end"), [(False, "reset"), (True, "closed")])
def test_close_during_a_request_resets_the_connection(with_response, end):
    """A slow link delivers buffered bytes after a close, but not after a reset."""
    server = OneRequestServer(with_response)
    uvloop.run(exchange(server.port, with_response))
    server.join()
    assert server.end == end
