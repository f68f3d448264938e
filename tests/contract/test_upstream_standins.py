"""Contract of the upstream stand-ins: docs/INTERFACES.md, "Upstreams"."""

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


def wait_until(holds: Callable[[], bool]) -> None:
    limit = time.monotonic() + 10
    while not holds():
        assert time.monotonic() < limit
        time.sleep(0.02)


def ask(http: urllib3.PoolManager, upstream: Upstream, **body: object) -> object:
    return http.request("POST", upstream.url + "/x", json={**BODY, **body}, headers=ID)


def test_answer_is_whole_and_in_the_ledger(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    answer = ask(http, upstream)
    assert answer.headers["Oleander-Request-Id"] == "r1/1"
    assert (answer.headers["Oleander-Cost"], answer.json()["echo"]) == ("40", "mine")
    [entry] = http.request("GET", upstream.control_url + "/ledger").json()
    assert (entry["request"], entry["attempt"], entry["tokens"]) == ("r1", "1", 40)
    assert entry["finished"] > entry["started"] > 0


def test_stream_ends_with_usage_and_done(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    lines = ask(http, engine, stream=True).data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    assert '"total_tokens":40' in lines[-3]


def test_cut_stream_is_resumed_from_an_event(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    engine.faults.set(UpstreamFaults(FaultKind.CUT, slow_factor=3.0))
    with pytest.raises(urllib3.exceptions.HTTPError):
        ask(http, engine, stream=True)
    rest = http.request("GET", engine.url + "/-/resume/r1/1?from=1").data
    assert b"id: 0" not in rest
    assert rest.startswith(b"id: 1\n")
    assert rest.endswith(b"data: [DONE]\n\n")


def test_cancel_frees_the_slot(engine: Engine, http: urllib3.PoolManager) -> None:
    def expect_cut() -> None:
        with pytest.raises(urllib3.exceptions.HTTPError):
            ask(http, engine, max_tokens=40_000)

    caller = threading.Thread(target=expect_cut)
    caller.start()
    load = engine.url + "/-/load"
    wait_until(lambda: http.request("GET", load).json()["running"] == 1)
    assert http.request("POST", engine.url + "/-/cancel/r1/1").status == 200
    caller.join()
    wait_until(lambda: http.request("GET", load).json()["running"] == 0)
    assert engine.ledger.executions()[0].cancelled
    assert http.request("POST", engine.url + "/-/cancel/r1/1").status == 404


def test_hang_up_ends_waiting(engine: Engine, http: urllib3.PoolManager) -> None:
    engine.faults.set(UpstreamFaults(slow_factor=1e6))
    for _ in range(3):
        with pytest.raises(urllib3.exceptions.HTTPError):
            http.request("POST", engine.url, json=BODY, timeout=0.3)
    wait_until(lambda: engine.activity().running == 0)
    assert engine.activity().waiting == 0


@pytest.mark.parametrize("kind", [FaultKind.SHORT, FaultKind.CUT, FaultKind.HANG])
def test_faults_that_lose_the_answer(
    kind: FaultKind, upstream: Upstream, http: urllib3.PoolManager
) -> None:
    faults = {"kind": kind.value, "every": 2}
    http.request("PUT", upstream.control_url + "/faults", json=faults)
    assert ask(http, upstream).status == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        ask(http, upstream)
    assert len(upstream.ledger.executions()) == 2


def test_wrong_id_crossed_and_error(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    other = {"Oleander-Request-Id": "r0/1"}
    http.request("POST", upstream.url, json={"echo": "other"}, headers=other)
    upstream.faults.set(UpstreamFaults(FaultKind.CROSSED))
    crossed = ask(http, upstream)
    assert crossed.headers["Oleander-Request-Id"] == "r0/1"
    assert crossed.json()["echo"] == "other"
    upstream.faults.set(UpstreamFaults(FaultKind.WRONG_ID))
    assert ask(http, upstream).headers["Oleander-Request-Id"] != "r1/1"
    upstream.faults.set(UpstreamFaults(FaultKind.ERROR))
    assert ask(http, upstream).status == 500
    assert len(upstream.ledger.executions()) == 3


def test_second_answer_comes_on_the_connection(upstream: Upstream) -> None:
    upstream.faults.set(UpstreamFaults(FaultKind.TWICE))
    host, port = upstream.url.removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=10) as conn:
        conn.sendall(b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n")
        received = b"".join(iter(lambda: conn.recv(4096), b""))
    assert received.count(b"HTTP/1.1 200") == 2


def test_frozen_upstream_goes_on_when_thawed(
    upstream: Upstream, http: urllib3.PoolManager
) -> None:
    upstream.faults.set(UpstreamFaults(frozen=True))
    thaw = threading.Timer(0.3, upstream.faults.set, (UpstreamFaults(),))
    thaw.start()
    assert ask(http, upstream).status == 200


def test_executions_past_the_slots_wait(
    engine: Engine, http: urllib3.PoolManager
) -> None:
    callers = [threading.Thread(target=ask, args=(http, engine)) for _ in range(3)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    entries = sorted(engine.ledger.executions(), key=lambda e: e.started)
    assert entries[2].started >= min(e.finished for e in entries[:2])
