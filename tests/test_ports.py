"""Ports for processes that are started later."""

import socket
from pathlib import Path

import pytest

from standins import soak_fleet
from standins.ports import free_port

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.parametrize("ip", ["127.0.0.1", "127.30.0.9"])
def test_port_is_none_that_others_are_given(ip):
    """A server on any free port, or a connection, may not take it meanwhile."""
    first = int(RANGE.read_text().split()[0])
    ports = [soak_fleet.free_port(ip) for _ in range(20)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first


def test_port_can_be_listened_on():
    port = free_port()
    with socket.create_server(("127.0.0.1", port)) as server:
        assert server.getsockname()[1] == port
