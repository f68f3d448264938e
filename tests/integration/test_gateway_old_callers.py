"""Callers with HTTP/1.0, whose answers may end with their connection."""

import socket

import pytest

from standins.gateway_fleet import HOST, KEY, running_fleet, wait_until

PAUSE_SECONDS = 0.5


def read_to_end(conn):
    while conn.recv(4096):
        pass


def test_stream_of_a_killed_gateway_does_not_look_complete(tmp_path):
    lines = (
        "POST /stream/once/x HTTP/1.0",
        f"Host: {HOST}",
        "Oleandershift-Attempt-Id: a",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 1",
    )
    with running_fleet(tmp_path, engines=0) as fleet:
        fleet.add_engine("e1", pause_seconds=PAUSE_SECONDS)
        gateway = fleet.gateways[0]
        wait_until(lambda: gateway.call("/read/x", "b").status == 200, "e1 is used")
        address = gateway.ip, gateway.frontend_port
        with socket.create_connection(address, 10.0) as conn:
            conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\nx")
            received = b""
            while b"id: 1\n" not in received:
                received += conn.recv(4096)
            gateway.process.kill()
            with pytest.raises(ConnectionResetError):
                read_to_end(conn)
    assert b"chunked" not in received
