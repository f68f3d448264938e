"""Tests of what callers see of streams, limits, hang-ups and stops."""

import http.client
import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import KEY, wait_until

from oleandershift.messages import DrainCommand
from oleandershift.replica import Replica
from oleandershift.rows import TeamRow, UpstreamRow

STREAM = b'{"stream": true}'
BROKEN = ["cut-chunked", "forget"]


def stream(router, fault: str = "none", echo: str = "mine", version: str = ""):
    """Open a raw connection with a streamed request on it."""
    body = STREAM if fault != "cut-chunked" else b"{}"
    conn = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    if version:
        conn._http_vsn_str = version
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": fault, "X-Echo": echo}
    conn.request("POST", "/v1/chat/x", body, headers)
    return conn


def test_events_arrive_before_the_stream_ends(router, upstream) -> None:
    answer = stream(router, "late").getresponse()
    first = answer.read1(1000)
    assert b"mine:0" in first
    assert b"[DONE]" not in first
    assert answer.getheader("Oleander-Run") == "ran"
    assert answer.read().rstrip().endswith(b"data: [DONE]")


@pytest.mark.parametrize("fault", BROKEN)
def test_failed_stream_looks_broken(router, fault) -> None:
    answer = stream(router, fault).getresponse()
    assert answer.status == 200
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        answer.read()


@pytest.mark.parametrize("fault", BROKEN)
def test_failed_stream_is_no_answer_for_a_caller_without_chunks(router, fault) -> None:
    answer = stream(router, fault, version="HTTP/1.0").getresponse()
    assert answer.status == 502
    assert json.loads(answer.read())["run"] == "unknown"


def test_hang_up_cancels_the_upstream_and_frees_the_slot(router, upstream) -> None:
    for number in range(12):
        conn = stream(router, "late", f"gone{number}")
        conn.getresponse().read1(10)
        conn.close()
    wait_until(lambda: len(upstream.ledger.cancelled) >= 12, "cancelled")
    tags = {execution.tag for execution in upstream.ledger.executions()}
    assert set(upstream.ledger.cancelled) <= tags
    assert router.call("POST", "/v1/chat/x", b"{}", X_Echo="next").status == 200


def test_hang_up_while_waiting_never_runs(router, upstream, table) -> None:
    table.put(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    wait_until(lambda: is_in_force(router, table), "row in force")
    first = stream(router, "late", "first")
    wait_until(lambda: len(upstream.ledger.executions()) == 1, "first runs")
    waiting = stream(router, "none", "waiting")
    wait_until(lambda: count(router, "request-accepted") == 2, "second accepted")
    waiting.close()
    assert b"[DONE]" in first.getresponse().read()
    wait_until(lambda: count(router, "request-refused") == 1, "second given up")
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200
    echoes = [execution.echo for execution in upstream.ledger.executions()]
    assert "waiting" not in echoes


def is_in_force(router, table) -> bool:
    digests = {report.table_digest for report in table.reports[-1:]}
    replica = Replica()
    replica.apply(table.rows.values())
    return replica.digest() in digests


def count(router, name: str) -> int:
    return sum(event.get("name") == name for event in router.events())


def test_caller_that_takes_no_answer_holds_no_slot(
    table, start_router, upstream
) -> None:
    table.put(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    router = start_router(table, idle_seconds="1")
    wait_until(router.is_ready, "router ready")
    conn = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": "large"}
    conn.request("POST", "/v1/chat/x", b"{}", headers)
    wait_until(lambda: count(router, "request-sent") == 1, "sent")
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200
    router.process.terminate()
    assert router.process.wait(30) == 0
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        conn.getresponse().read()


def test_full_router_refuses_at_once_and_stays_healthy(
    table, start_router, upstream
) -> None:
    router = start_router(table, max_requests="4")
    wait_until(router.is_ready, "router ready")
    running = [stream(router, "late", f"r{number}") for number in range(4)]
    wait_until(lambda: len(upstream.ledger.executions()) == 4, "all run")
    refused = router.call("POST", "/v1/chat/x", b"{}")
    assert refused.status == 503
    assert refused.headers["Oleander-Run"] == "not-run"
    assert "Retry-After" in refused.headers
    assert router.call("GET", "/healthz").status == 200
    assert all(b"[DONE]" in conn.getresponse().read() for conn in running)


def test_waiting_limit_of_a_team(table, start_router, upstream) -> None:
    row = table.rows["teams", "team"]
    digest = json.loads(row.value)["key_hashes"][0]
    table.put(TeamRow(name="team", key_hashes=(digest,), max_waiting=1))
    table.put(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    router = start_router(table)
    wait_until(router.is_ready, "router ready")
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(
                lambda _: router.call("POST", "/v1/chat/x", b"{}", X_Fault="late"),
                range(6),
            )
        )
    statuses = [answer.status for answer in answers]
    assert set(statuses) == {200, 429}
    assert len(upstream.ledger.executions()) == statuses.count(200)


def test_no_upstream_is_refused_at_once(table, start_router, upstream) -> None:
    table.put(
        UpstreamRow(
            name="u1",
            service="chat",
            region="north",
            url=upstream.url,
            state="leaving",
        )
    )
    router = start_router(table)
    wait_until(router.is_ready, "router ready")
    answer = router.call("POST", "/v1/chat/x", b"{}")
    assert (answer.status, answer.headers["Oleander-Run"]) == (503, "not-run")


def test_unparsable_request_gets_a_problem_document(router) -> None:
    with socket.create_connection(("127.0.0.1", router.port), timeout=30) as sock:
        sock.sendall(b"GET /v1/chat/x HTTP/1.1\r\nbad header\r\n\r\n")
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert answer.status == 400
        assert json.loads(answer.read())["run"] == "not-run"
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200


def test_keys_are_not_logged(router) -> None:
    router.call("POST", "/v1/chat/x", b"{}")
    router.call("POST", "/v1/chat/x", b"{}", Authorization="Bearer wrong-key")
    log = router.log.read_text()
    assert KEY not in log
    assert "wrong-key" not in log


def test_stop_finishes_what_runs_and_refuses_what_comes(
    table, start_router, upstream
) -> None:
    table.put(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=2
        )
    )
    router = start_router(table, grace_seconds="0")
    wait_until(router.is_ready, "router ready")
    started = [stream(router, "late", f"r{number}") for number in range(6)]
    wait_until(lambda: count(router, "request-accepted") == 6, "all accepted")
    router.process.send_signal(signal.SIGTERM)
    wait_until(lambda: router.call("GET", "/readyz").status == 503, "not ready")
    router.process.send_signal(signal.SIGTERM)
    refused = router.call("POST", "/v1/chat/x", b"{}")
    assert refused.status == 503
    assert refused.headers["Oleander-Run"] == "not-run"
    assert "Retry-After" in refused.headers
    bodies = [conn.getresponse().read() for conn in started]
    assert all(b"[DONE]" in body for body in bodies)
    assert router.process.wait(30) == 0


def test_stopping_router_still_serves_within_its_grace(table, start_router) -> None:
    router = start_router(table, grace_seconds="30")
    wait_until(router.is_ready, "router ready")
    router.process.send_signal(signal.SIGTERM)
    wait_until(lambda: router.call("GET", "/readyz").status == 503, "not ready")
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200


def test_drain_deadline_ends_a_stop(table, start_router, upstream) -> None:
    router = start_router(table, drain_seconds="1", grace_seconds="0")
    wait_until(router.is_ready, "router ready")
    hung = threading.Thread(target=lambda: drop(stream(router, "none", "x")))
    hung.start()
    stuck = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": "hang"}
    stuck.request("POST", "/v1/chat/x", b"{}", headers)
    wait_until(lambda: count(router, "request-sent") >= 1, "sent")
    router.process.send_signal(signal.SIGTERM)
    assert router.process.wait(30) == 0
    hung.join(30)


def test_drain_command_stops_a_router_that_finishes_its_work(
    router, table, upstream
) -> None:
    running = stream(router, "late")
    wait_until(lambda: len(upstream.ledger.executions()) == 1, "running")
    table.order = DrainCommand(time.time() + 60)
    wait_until(lambda: router.call("GET", "/readyz").status == 503, "not ready")
    assert running.getresponse().read().rstrip().endswith(b"[DONE]")
    assert router.process.wait(30) == 0


def drop(conn: http.client.HTTPConnection) -> None:
    conn.getresponse().read()
