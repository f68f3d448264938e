"""Tests of the choice of ports for processes that are started later."""

import socket
from pathlib import Path

import pytest

from standins import soak_fleet
from standins.ports import free_port

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.parametrize("ip", ["127.0.0.1", "127.30.0.9"])
def test_ports_are_distinct_and_below_the_ephemeral_range(ip):
    """Otherwise an outgoing connection or a server on port 0 could use one first."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    ports = [soak_fleet.free_port(ip) for _ in range(20)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_ephemeral


def test_server_can_listen_on_the_port():
    port = free_port()
    with socket.create_server(("127.0.0.1", port)) as server:
        assert server.getsockname()[1] == port
