"""Listening sockets with connections that wait to be accepted."""

import asyncio
import socket

import uvloop

from oleandershift.io.listener import Listener
from oleandershift.vmsettings import Address
from standins.ports import free_port

HOST = "127.0.0.1"
BATCH = 64


class EchoProtocol(asyncio.Protocol):
    """Connection that sends back what it receives."""

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data):
        """Send the bytes back."""
        self._transport.write(data)


def test_stop_does_not_cut_off_connections_that_wait_to_be_accepted():
    port = free_port()
    count = BATCH + 1

    async def close_while_callers_wait():
        listener = Listener(Address(HOST, port), EchoProtocol, None, 2 * count, BATCH)
        listener.open()
        conns = [socket.create_connection((HOST, port), 2.0) for _ in range(count)]
        for conn in conns:
            conn.sendall(b"x")
        listener.close()
        echoes = await asyncio.to_thread(lambda: [conn.recv(1) for conn in conns])
        for conn in conns:
            conn.close()
        return echoes

    assert uvloop.run(close_while_callers_wait()) == [b"x"] * count
