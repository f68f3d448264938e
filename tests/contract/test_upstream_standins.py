"""Contract tests of the upstream stand-ins (docs/INTERFACES.md, "Upstreams")."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3

from standins.engine import Engine
from standins.faults import FaultKind, UpstreamFaults
from standins.plain import PlainService
from standins.run import UpstreamConfig
from standins.upstream import Upstream

BODY = {"max_tokens": 40, "echo": "mine", "kind": "quick"}
ID = {"Oleander-Request-Id": "r1/1"}
FAST = UpstreamConfig(slots=2, speed=400.0, overhead_seconds=0.0, load_lag_seconds=0.0)


@pytest.fixture(params=[Engine, PlainService])
def upstream(request: pytest.FixtureRequest) -> Iterator[Upstream]:
    standin = request.param(FAST)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def engine() -> Iterator[Engine]:
    standin = Engine(FAST)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def http() -> Iterator[urllib3.PoolManager]:
    with urllib3.PoolManager(retries=False, timeout=3, maxsize=8) as pool:
        yield pool


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def send_request(
    http: urllib3.PoolManager, upstream: Upstream, **body: object
) -> object:
    return http.request("POST", upstream.url + "/x", json={**BODY, **body}, headers=ID)


def test_response_is_complete_and_in_the_ledger(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    response = send_request(http, upstream)
    assert response.headers["Oleander-Request-Id"] == "r1/1"
    assert (response.headers["Oleander-Cost"], response.json()["echo"]) == (
        "40",
        "mine",
    )
    [entry] = http.request("GET", upstream.control_url + "/ledger").json()
    assert (entry["request"], entry["attempt"], entry["tokens"]) == ("r1", "1", 40)
    assert entry["finished"] > entry["started"] > 0


def test_stream_ends_with_usage_and_done(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    lines = send_request(http, engine, stream=True).data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    assert '"total_tokens":40' in lines[-3]


def test_interrupted_stream_resumes_from_an_event(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    engine.faults.set(UpstreamFaults(FaultKind.CUT, slow_factor=3.0))
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_request(http, engine, stream=True)
    rest = http.request("GET", engine.url + "/-/resume/r1/1?from=1").data
    assert b"id: 0" not in rest
    assert rest.startswith(b"id: 1\n")
    assert rest.endswith(b"data: [DONE]\n\n")


def test_cancel_frees_the_slot(engine: Engine, http: urllib3.PoolManager) -> None:
    def expect_reset() -> None:
        with pytest.raises(urllib3.exceptions.HTTPError):
            send_request(http, engine, max_tokens=40_000)

    caller = threading.Thread(target=expect_reset)
    caller.start()
    load_url = engine.url + "/-/load"
    wait_until(lambda: http.request("GET", load_url).json()["running"] == 1)
    assert http.request("POST", engine.url + "/-/cancel/r1/1").status == 200
    caller.join()
    wait_until(lambda: http.request("GET", load_url).json()["running"] == 0)
    assert engine.ledger.executions()[0].cancelled
    assert http.request("POST", engine.url + "/-/cancel/r1/1").status == 404


def test_disconnect_ends_waiting(engine: Engine, http: urllib3.PoolManager) -> None:
    engine.faults.set(UpstreamFaults(slow_factor=1e6))
    for _ in range(3):
        with pytest.raises(urllib3.exceptions.HTTPError):
            http.request("POST", engine.url, json=BODY, timeout=0.3)
    wait_until(lambda: engine.activity().running == 0)
    assert engine.activity().waiting == 0


@pytest.mark.parametrize("kind", [FaultKind.SHORT, FaultKind.CUT, FaultKind.HANG])
def test_fault_loses_the_response_after_the_execution(
    kind: FaultKind, upstream: Upstream, http: urllib3.PoolManager
) -> None:
    faults = {"kind": kind.value, "every": 2}
    http.request("PUT", upstream.control_url + "/faults", json=faults)
    assert send_request(http, upstream).status == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_request(http, upstream)
    assert len(upstream.ledger.executions()) == 2


def test_crossed_wrong_id_and_error_faults(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    other = {"Oleander-Request-Id": "r0/1"}
    http.request("POST", upstream.url, json={"echo": "other"}, headers=other)
    upstream.faults.set(UpstreamFaults(FaultKind.CROSSED))
    crossed = send_request(http, upstream)
    assert crossed.headers["Oleander-Request-Id"] == "r0/1"
    assert crossed.json()["echo"] == "other"
    upstream.faults.set(UpstreamFaults(FaultKind.WRONG_ID))
    assert send_request(http, upstream).headers["Oleander-Request-Id"] != "r1/1"
    upstream.faults.set(UpstreamFaults(FaultKind.ERROR))
    assert send_request(http, upstream).status == 500
    assert len(upstream.ledger.executions()) == 3


def test_twice_sends_a_second_response_on_the_connection(upstream: Upstream) -> None:
    upstream.faults.set(UpstreamFaults(FaultKind.TWICE))
    host, port = upstream.url.removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        conn.sendall(b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n")
        received = b"".join(iter(lambda: conn.recv(4096), b""))
    assert received.count(b"HTTP/1.1 200") == 2


def test_frozen_upstream_continues_when_unfrozen(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    upstream.faults.set(UpstreamFaults(frozen=True))
    unfreeze = threading.Timer(0.3, upstream.faults.set, (UpstreamFaults(),))
    unfreeze.start()
    assert send_request(http, upstream).status == 200


def test_executions_beyond_the_slots_wait(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    callers = [
        threading.Thread(target=send_request, args=(http, engine)) for _ in range(3)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    entries = sorted(engine.ledger.executions(), key=lambda e: e.started)
    assert entries[2].started >= min(e.finished for e in entries[:2])
