"""Connections to upstreams: what reaches the other end when they are closed."""

import asyncio
import socket
import threading

import pytest
import uvloop

from oleandershift.io.upstreamconn import UpstreamConnection

REQUEST = b"POST /x HTTP/1.1\r\nhost: upstream\r\ncontent-length: 1\r\n\r\nx"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
WAIT_SECONDS = 5.0


class Listener:
    """A server that takes one request and sees how its connection ends."""

    def __init__(self, answer):
        self._answer = answer
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self.end = ""
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def join(self):
        """Wait for the end of the connection."""
        self._thread.join(WAIT_SECONDS)
        self._socket.close()

    def _serve(self):
        conn, _ = self._socket.accept()
        conn.settimeout(WAIT_SECONDS)
        with conn:
            conn.recv(len(REQUEST))
            if self._answer:
                conn.sendall(ANSWER)
            try:
                self.end = "closed" if not conn.recv(1) else "bytes"
            except ConnectionResetError:
                self.end = "reset"


async def exchange(port, with_answer):
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(UpstreamConnection, "127.0.0.1", port)
    sent = conn.send(REQUEST, lambda head: True)
    if with_answer:
        await sent.head
        assert await sent.read() == b"ok"
        assert await sent.read() == b""
    else:
        await asyncio.sleep(0.05)
    conn.close()
    await asyncio.sleep(0.05)


@pytest.mark.parametrize(("with_answer", "end"), [(False, "reset"), (True, "closed")])
def test_request_that_is_given_up_is_reset(with_answer, end):
    """A link that holds bytes up delivers them after a close, not after a reset."""
    listener = Listener(with_answer)
    uvloop.run(exchange(listener.port, with_answer))
    listener.join()
    assert listener.end == end
