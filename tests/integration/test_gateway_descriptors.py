"""A gateway process whose callers take all descriptors it may open."""

import os
import resource
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import pytest

from standins.gateway_fleet import Gateway, GatewayFleet, running_fleet, wait_until

EXHAUSTED_SECONDS = 0.3
CONNECTIONS = 5


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path) as running:
        yield running


@contextmanager
def no_free_descriptor(gateway: Gateway) -> Iterator[None]:
    """Let the process open no descriptor, not even in place of one that it closes."""
    pid = gateway.process.pid
    lowest = min(int(fd) for fd in os.listdir(f"/proc/{pid}/fd"))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (lowest, limits[1]))
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)


def test_gateway_accepts_again_after_it_had_no_free_descriptor(fleet):
    (gateway,) = fleet.gateways
    addresses = [(gateway.ip, gateway.frontend_port), (gateway.ip, gateway.ready_port)]
    with ExitStack() as conns:
        with no_free_descriptor(gateway):
            for address in addresses * CONNECTIONS:
                conns.enter_context(socket.create_connection(address, 2.0))
            time.sleep(EXHAUSTED_SECONDS)
        wait_until(gateway.is_ready, "the gateway is ready again")
        assert gateway.call("/read/x", "next").status == 200
    assert "connection.not-accepted" in fleet.log(gateway)
    accepted = "oleander_connections_accepted 6.0"
    wait_until(lambda: accepted in gateway.metrics(), accepted)
