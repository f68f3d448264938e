"""Upstreams and callers that send bytes without end, in a head or a body."""

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from standins.behaviours import Behaviour
from standins.gateway_fleet import GatewayFleet, running_fleet, wait_until
from standins.processes import resident_bytes

ENDLESS = [item for item in Behaviour if item.value.startswith("endless")]
ANSWER_SECONDS = 1.5
"""Time for an answer; the callers' deadline is 4 s."""

MAX_GROWTH_BYTES = 64 << 20
ANSWERS_AT_ONCE = 16
CALLER_SECONDS = 2.0
CALLER_BYTES = 512 << 20
"""Bytes after which a caller gives up, several times what a gateway may store."""


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, engines=1) as running:
        expected = "oleander_upstreams 1.0"
        wait_until(lambda: expected in running.gateways[0].metrics(), expected)
        yield running


@pytest.mark.parametrize("path", ["/read/x", "/write/x", "/stream/once/x"])
@pytest.mark.parametrize("conduct", ENDLESS)
def test_endless_bytes_of_an_upstream_are_given_up(fleet, path, conduct):
    (gateway,), (engine,) = fleet.gateways, fleet.engines.values()
    engine.queued_behaviours = [conduct]
    before = resident_bytes(gateway.process.pid)
    answer = gateway.call(path, "a1")
    assert answer.seconds < ANSWER_SECONDS
    assert answer.whole
    assert answer.status in (500, 502, 503)
    assert resident_bytes(gateway.process.pid) - before < MAX_GROWTH_BYTES
    assert gateway.call(path, "a2").status == 200
    assert engine.runs()["a1"] <= 1 or path == "/read/x"
    if answer.status == 503:
        assert engine.runs()["a1"] == 0


@pytest.mark.parametrize("conduct", ENDLESS)
def test_endless_bytes_in_many_answers_leave_memory_to_other_callers(fleet, conduct):
    (gateway,), (engine,) = fleet.gateways, fleet.engines.values()
    engine.queued_behaviours = [conduct] * ANSWERS_AT_ONCE
    before = resident_bytes(gateway.process.pid)
    with ThreadPoolExecutor(ANSWERS_AT_ONCE) as pool:
        answers = list(
            pool.map(
                lambda number: gateway.call("/write/x", f"a{number}"),
                range(ANSWERS_AT_ONCE),
            )
        )
    assert all(answer.whole for answer in answers)
    assert resident_bytes(gateway.process.pid) - before < MAX_GROWTH_BYTES
    assert gateway.process.is_running()
    # A request that the gateway refused has left its response in the queue.
    engine.queued_behaviours = []
    assert gateway.call("/write/x", "b").status == 200


REQUEST_STARTS = {
    "header": (b"GET /read/x HTTP/1.1\r\nx: ", b"x" * 65_536),
    "target": (b"GET /", b"x" * 65_536),
    "chunk extension": (
        b"POST /read/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;",
        b"x" * 65_536,
    ),
}


@pytest.mark.parametrize("where", list(REQUEST_STARTS))
def test_endless_bytes_of_a_caller_are_given_up(fleet, where):
    (gateway,) = fleet.gateways
    start, repeated = REQUEST_STARTS[where]
    before = resident_bytes(gateway.process.pid)
    deadline = time.monotonic() + CALLER_SECONDS
    sent = 0
    with socket.create_connection((gateway.ip, gateway.frontend_port)) as conn:
        conn.settimeout(CALLER_SECONDS)
        with suppress(ConnectionError):
            conn.sendall(start)
            while sent < CALLER_BYTES and time.monotonic() < deadline:
                conn.sendall(repeated)
                sent += len(repeated)
    assert sent < CALLER_BYTES
    assert time.monotonic() < deadline
    assert resident_bytes(gateway.process.pid) - before < MAX_GROWTH_BYTES
    assert gateway.call("/read/x", "a2").status == 200
