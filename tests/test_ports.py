"""Tests of the choice of ports for processes that are started later."""

import itertools
import socket
from pathlib import Path

import pytest

from standins import ports, soak_fleet
from standins.ports import RESERVATION_PORT, free_ip, free_port

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.parametrize("ip", ["127.0.0.1", "127.30.0.9"])
def test_ports_are_distinct_and_below_the_ephemeral_range(ip):
    """Otherwise an outgoing connection or a server on port 0 could use one first."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    numbers = [soak_fleet.free_port(ip) for _ in range(20)]
    assert len(set(numbers)) == len(numbers)
    assert max(numbers) < first_ephemeral


def test_server_can_listen_on_the_port():
    port = free_port()
    with socket.create_server(("127.0.0.1", port)) as server:
        assert server.getsockname()[1] == port


def test_addresses_are_distinct_and_reserved_against_other_processes():
    ips = [free_ip("127.38") for _ in range(20)]
    assert len(set(ips)) == len(ips)
    with (
        socket.socket(type=socket.SOCK_DGRAM) as other,
        pytest.raises(OSError, match="in use"),
    ):
        other.bind((ips[0], RESERVATION_PORT))


def test_addresses_of_processes_whose_ids_are_alike_differ(monkeypatch):
    monkeypatch.setattr(ports, "_host_offsets", itertools.count(7))
    first = free_ip("127.38")
    monkeypatch.setattr(ports, "_host_offsets", itertools.count(7))
    assert free_ip("127.38") != first
