"""A gateway process that stands still, and upstreams that accept late."""

import http.client
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import closing

import pytest

from standins.gateway_fleet import (
    HOST,
    KEY,
    Gateway,
    GatewayFleet,
    running_fleet,
    wait_until,
)

DEADLINE_SECONDS = 0.4
PAUSE_SECONDS = 1.2
CAUGHT_UP_SECONDS = 0.06
"""Longer than a gateway takes to read what waited, shorter than `CATCH_UP_SECONDS`."""

SLOW_SECONDS = 0.5
LONG_DEADLINE_SECONDS = 4.0
STREAM = b"".join(b"id: %d\ndata: kept\n\n" % number for number in range(1, 6))


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path) as running:
        yield running


@pytest.fixture
def gateway(fleet) -> Gateway:
    return fleet.gateways[0]


def start_call(gateway, path, attempt, deadline_s=DEADLINE_SECONDS):
    """Send a request without waiting for its response."""
    conn = http.client.HTTPConnection(gateway.ip, gateway.frontend_port, timeout=5)
    fields = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Oleandershift-Attempt-Id": attempt,
        "Oleandershift-Deadline-Ms": str(round(deadline_s * 1000)),
    }
    conn.request("POST", path, body=b"x", headers=fields)
    return conn


def executed(fleet):
    return [run.attempt_id for e in fleet.engines.values() for run in e.ledger()]


@pytest.mark.parametrize("leaves", [False, True], ids=["waits", "leaves"])
@pytest.mark.parametrize("path", ["/read/x", "/write/x", "/stream/once/x"])
def test_paused_gateway_sends_no_request_past_its_deadline(
    fleet, gateway, path, leaves
):
    assert gateway.call(path, "warm").status == 200
    gateway.process.freeze()
    conn = start_call(gateway, path, "late")
    time.sleep(DEADLINE_SECONDS)
    if leaves:
        conn.close()
    time.sleep(PAUSE_SECONDS - DEADLINE_SECONDS)
    gateway.process.signal(signal.SIGCONT)
    if not leaves:
        assert conn.getresponse().status in (503, 504)
    conn.close()
    time.sleep(0.5)
    assert executed(fleet) == ["warm"]
    assert gateway.call(path, "next").status == 200


def test_request_that_comes_after_a_pause_has_all_the_time_until_its_deadline(
    fleet, gateway
):
    assert gateway.call("/write/x", "warm").status == 200
    gateway.process.freeze()
    time.sleep(PAUSE_SECONDS)
    gateway.process.signal(signal.SIGCONT)
    time.sleep(CAUGHT_UP_SECONDS)
    deadline = {"Oleandershift-Deadline-Ms": str(round(PAUSE_SECONDS * 900))}
    assert gateway.call("/write/x", "next", **deadline).status == 200


@pytest.mark.parametrize("path", ["/read/x", "/write/x", "/stream/once/x"])
def test_request_whose_caller_left_before_it_was_read_is_not_sent(fleet, gateway, path):
    for number in range(10):
        assert gateway.call(path, f"warm{number}").status == 200
        gateway.process.freeze()
        start_call(gateway, path, f"left{number}").close()
        time.sleep(0.05)
        gateway.process.signal(signal.SIGCONT)
    time.sleep(0.5)
    assert [name for name in executed(fleet) if name.startswith("left")] == []


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/write/x", b"slow ran kept"),
        ("/read/x", b"slow ran kept"),
        ("/stream/once/x", STREAM),
        ("/stream/resumable/x", STREAM),
    ],
)
def test_request_that_runs_outlasts_a_pause_of_the_gateway(fleet, gateway, path, body):
    for name in fleet.engines:
        fleet.store.delete("servers", name)
    slow = fleet.add_engine("slow", pause_seconds=SLOW_SECONDS)
    wait_until(lambda: "oleander_upstreams 1.0" in gateway.metrics(), "one upstream")
    conn = start_call(gateway, path, "kept", LONG_DEADLINE_SECONDS)
    wait_until(lambda: slow.runs()["kept"] == 1, "the request runs")
    gateway.process.freeze()
    time.sleep(PAUSE_SECONDS)
    gateway.process.signal(signal.SIGCONT)
    response = conn.getresponse()
    assert (response.status, response.read()) == (200, body)
    conn.close()
    assert sum(engine.runs()["kept"] for engine in fleet.engines.values()) == 1


def test_upstream_that_accepts_late_gets_no_request_past_its_deadline(fleet, gateway):
    for name in fleet.engines:
        fleet.store.delete("servers", name)
    with closing(socket.create_server(("127.0.0.1", 0), backlog=0)) as listener:
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        entry = fleet.engines["e1"].entry("model", "one")
        entry["address"] = f"127.0.0.1:{address[1]}"
        fleet.store.put("servers", "slow", entry)
        time.sleep(2.5)
        conn = start_call(gateway, "/read/x", "late")
        status = conn.getresponse().status
        conn.close()
        for filler in fillers:
            filler.close()
        listener.settimeout(1.0)
        received = b""
        try:
            while True:
                accepted, _ = listener.accept()
                accepted.settimeout(0.2)
                with closing(accepted):
                    received += accepted.recv(65536)
        except (TimeoutError, ConnectionResetError):
            pass
    assert status in (502, 503, 504)
    assert b"late" not in received
