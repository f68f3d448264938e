"""Tests of streams, limits, disconnects and shutdown, as callers see them."""

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
BREAKING_FAULTS = ["cut-chunked", "forget"]


def open_stream(router, fault: str = "none", echo: str = "mine", version: str = ""):
    """Send a request on a new connection, without reading the response."""
    body = STREAM if fault != "cut-chunked" else b"{}"
    conn = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    if version:
        conn._http_vsn_str = version
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": fault, "X-Echo": echo}
    conn.request("POST", "/v1/chat/x", body, headers)
    return conn


def test_events_arrive_before_the_stream_ends(router, upstream) -> None:
    response = open_stream(router, "late").getresponse()
    first = response.read1(1000)
    assert b"mine:0" in first
    assert b"[DONE]" not in first
    assert response.getheader("Oleander-Run") == "ran"
    assert response.read().rstrip().endswith(b"data: [DONE]")


@pytest.mark.parametrize("fault", BREAKING_FAULTS)
def test_failed_stream_ends_with_a_connection_error(router, fault) -> None:
    response = open_stream(router, fault).getresponse()
    assert response.status == 200
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        response.read()


@pytest.mark.parametrize("fault", BREAKING_FAULTS)
def test_failed_stream_is_a_502_for_an_http_1_0_caller(router, fault) -> None:
    response = open_stream(router, fault, version="HTTP/1.0").getresponse()
    assert response.status == 502
    assert json.loads(response.read())["run"] == "unknown"


def test_disconnect_cancels_the_attempt_and_frees_the_slot(router, upstream) -> None:
    for number in range(12):
        conn = open_stream(router, "late", f"gone{number}")
        conn.getresponse().read1(10)
        conn.close()
    wait_until(lambda: len(upstream.ledger.cancelled) >= 12, "cancelled")
    tags = {execution.tag for execution in upstream.ledger.executions()}
    assert set(upstream.ledger.cancelled) <= tags
    assert router.call("POST", "/v1/chat/x", b"{}", X_Echo="next").status == 200


def test_request_of_a_caller_that_disconnects_while_queued_never_runs(
    router, upstream, table
) -> None:
    table.put_row(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    wait_until(lambda: is_table_in_force(router, table), "row in force")
    first = open_stream(router, "late", "first")
    wait_until(lambda: len(upstream.ledger.executions()) == 1, "first is running")
    waiting = open_stream(router, "none", "waiting")
    wait_until(lambda: count_events(router, "request-accepted") == 2, "second accepted")
    waiting.close()
    assert b"[DONE]" in first.getresponse().read()
    wait_until(lambda: count_events(router, "request-refused") == 1, "second abandoned")
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200
    echoes = [execution.echo for execution in upstream.ledger.executions()]
    assert "waiting" not in echoes


def is_table_in_force(router, table) -> bool:
    digests = {report.table_digest for report in table.reports[-1:]}
    replica = Replica()
    replica.apply(table.rows.values())
    return replica.digest() in digests


def count_events(router, name: str) -> int:
    return sum(event.get("name") == name for event in router.events())


def test_caller_that_reads_no_response_occupies_no_slot(
    table, start_router, upstream
) -> None:
    table.put_row(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    router = start_router(table, idle_seconds="1")
    wait_until(router.is_ready, "router ready")
    conn = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": "large"}
    conn.request("POST", "/v1/chat/x", b"{}", headers)
    wait_until(lambda: count_events(router, "request-sent") == 1, "sent")
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
    running = [open_stream(router, "late", f"r{number}") for number in range(4)]
    wait_until(lambda: len(upstream.ledger.executions()) == 4, "all are running")
    refused = router.call("POST", "/v1/chat/x", b"{}")
    assert refused.status == 503
    assert refused.headers["Oleander-Run"] == "not-run"
    assert "Retry-After" in refused.headers
    assert router.call("GET", "/healthz").status == 200
    assert all(b"[DONE]" in conn.getresponse().read() for conn in running)


def test_requests_beyond_the_waiting_limit_of_a_team_are_refused(
    table, start_router, upstream
) -> None:
    row = table.rows["teams", "team"]
    digest = json.loads(row.value)["key_hashes"][0]
    table.put_row(TeamRow(name="team", key_hashes=(digest,), max_waiting=1))
    table.put_row(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=1
        )
    )
    router = start_router(table)
    wait_until(router.is_ready, "router ready")
    with ThreadPoolExecutor(6) as pool:
        responses = list(
            pool.map(
                lambda _: router.call("POST", "/v1/chat/x", b"{}", X_Fault="late"),
                range(6),
            )
        )
    statuses = [response.status for response in responses]
    assert set(statuses) == {200, 429}
    assert len(upstream.ledger.executions()) == statuses.count(200)


def test_request_without_an_active_upstream_is_refused_at_once(
    table, start_router, upstream
) -> None:
    table.put_row(
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
    response = router.call("POST", "/v1/chat/x", b"{}")
    assert (response.status, response.headers["Oleander-Run"]) == (503, "not-run")


def test_unparsable_request_gets_a_problem_document(router) -> None:
    with socket.create_connection(("127.0.0.1", router.port), timeout=30) as sock:
        sock.sendall(b"GET /v1/chat/x HTTP/1.1\r\nbad header\r\n\r\n")
        response = http.client.HTTPResponse(sock)
        response.begin()
        assert response.status == 400
        assert json.loads(response.read())["run"] == "not-run"
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200


def test_api_keys_are_not_logged(router) -> None:
    router.call("POST", "/v1/chat/x", b"{}")
    router.call("POST", "/v1/chat/x", b"{}", Authorization="Bearer wrong-key")
    log = router.log.read_text()
    assert KEY not in log
    assert "wrong-key" not in log


def test_stopping_router_finishes_accepted_requests_and_refuses_new_ones(
    table, start_router, upstream
) -> None:
    table.put_row(
        UpstreamRow(
            name="u1", service="chat", region="north", url=upstream.url, slots=2
        )
    )
    router = start_router(table, grace_seconds="0")
    wait_until(router.is_ready, "router ready")
    started = [open_stream(router, "late", f"r{number}") for number in range(6)]
    wait_until(lambda: count_events(router, "request-accepted") == 6, "all accepted")
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


def test_stopping_router_serves_during_its_grace_period(table, start_router) -> None:
    router = start_router(table, grace_seconds="30")
    wait_until(router.is_ready, "router ready")
    router.process.send_signal(signal.SIGTERM)
    wait_until(lambda: router.call("GET", "/readyz").status == 503, "not ready")
    assert router.call("POST", "/v1/chat/x", b"{}").status == 200


def test_router_stops_at_its_drain_deadline(table, start_router, upstream) -> None:
    router = start_router(table, drain_seconds="1", grace_seconds="0")
    wait_until(router.is_ready, "router ready")
    reader = threading.Thread(
        target=lambda: read_response(open_stream(router, "none", "x"))
    )
    reader.start()
    stuck_conn = http.client.HTTPConnection("127.0.0.1", router.port, timeout=30)
    headers = {"Authorization": f"Bearer {KEY}", "X-Fault": "hang"}
    stuck_conn.request("POST", "/v1/chat/x", b"{}", headers)
    wait_until(lambda: count_events(router, "request-sent") >= 1, "sent")
    router.process.send_signal(signal.SIGTERM)
    assert router.process.wait(30) == 0
    reader.join(30)


def test_drained_router_finishes_its_requests_and_stops(
    router, table, upstream
) -> None:
    running = open_stream(router, "late")
    wait_until(lambda: len(upstream.ledger.executions()) == 1, "request is running")
    table.drain_command = DrainCommand(time.time() + 60)
    wait_until(lambda: router.call("GET", "/readyz").status == 503, "not ready")
    assert running.getresponse().read().rstrip().endswith(b"[DONE]")
    assert router.process.wait(30) == 0


def read_response(conn: http.client.HTTPConnection) -> None:
    conn.getresponse().read()
