"""Tests of a router process whose upstreams leave or fail."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import wait_until

from oleandershift.rows import UpstreamRow, UpstreamState
from standins.faulty import FaultName, FaultyUpstream
from standins.ports import free_port
from standins.processes import suspend

FROZEN_SECONDS = 2.0


def put_upstream(
    table, name: str, url: str, state: str = "active", slots: int = 8
) -> None:
    table.put_row(
        UpstreamRow(
            name=name,
            service="chat",
            region="north",
            url=url,
            slots=slots,
            state=UpstreamState(state),
        )
    )


@pytest.fixture
def second_upstream():
    upstream = FaultyUpstream()
    yield upstream
    upstream.close()


@pytest.mark.parametrize("answer_after_seconds", [0.0, 1.0])
def test_resumed_router_sends_nothing_to_an_upstream_that_left(
    router, table, upstream, second_upstream, answer_after_seconds
) -> None:
    put_upstream(table, "u2", second_upstream.url)
    wait_until(lambda: has_run_on(router, second_upstream), "second upstream is used")
    assert suspend(router.process.pid)
    try:
        with ThreadPoolExecutor(8) as pool:
            waiting = [
                pool.submit(router.call, "POST", "/v1/chat/x", b"{}", X_Echo="late")
                for _ in range(8)
            ]
            put_upstream(table, "u1", upstream.url, "leaving")
            table.answer_after_seconds = answer_after_seconds
            time.sleep(FROZEN_SECONDS)
            router.process.send_signal(signal.SIGCONT)
            assert {call.result().status for call in waiting} == {200}
    finally:
        router.process.send_signal(signal.SIGCONT)
    echoes = [execution.echo for execution in upstream.ledger.executions()]
    assert "late" not in echoes


def test_resumed_router_starts_no_waiting_request_on_stale_rows(
    router, table, upstream, second_upstream
) -> None:
    put_upstream(table, "u1", upstream.url, slots=1)
    table.push_rows()
    with ThreadPoolExecutor(2) as pool:
        body = b'{"stream": true}'
        running = pool.submit(router.call, "POST", "/v1/chat/x", body, X_Fault="late")
        wait_until(lambda: bool(upstream.ledger.executions()), "request is running")
        waiting = pool.submit(router.call, "POST", "/v1/chat/x", b"{}")
        wait_until(lambda: waiting_count(router) == 1, "request is waiting")
        assert suspend(router.process.pid)
        try:
            put_upstream(table, "u2", second_upstream.url)
            table.push_rows()
            put_upstream(table, "u2", second_upstream.url, "leaving")
            time.sleep(FROZEN_SECONDS)
        finally:
            router.process.send_signal(signal.SIGCONT)
        assert {call.result().status for call in (running, waiting)} == {200}
    assert not second_upstream.ledger.executions()


def waiting_count(router) -> int:
    names = [event.get("name") for event in router.events()]
    return names.count("request-accepted") - names.count("request-granted")


def has_run_on(router, upstream) -> bool:
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(lambda _: router.call("POST", "/v1/chat/x", b"{}"), range(8)))
    return bool(upstream.ledger.executions())


def test_running_request_on_a_leaving_upstream_finishes(
    router, table, upstream
) -> None:
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            router.call, "POST", "/v1/chat/x", b'{"stream": true}', X_Fault="late"
        )
        wait_until(lambda: bool(upstream.ledger.executions()), "request is running")
        put_upstream(table, "u1", upstream.url, "leaving")
        wait_until(
            lambda: router.call("POST", "/v1/chat/x", b"{}").status == 503,
            "upstream left",
        )
        assert running.result().data.rstrip().endswith(b"[DONE]")


def test_upstream_listed_as_leaving_gets_no_requests(router, table, upstream) -> None:
    table.leaving = ("u1",)
    wait_until(
        lambda: router.call("POST", "/v1/chat/x", b"{}").status == 503, "upstream left"
    )
    before = len(upstream.ledger.executions())
    assert router.call("POST", "/v1/chat/x", b"{}").headers["Oleander-Run"] == "not-run"
    assert len(upstream.ledger.executions()) == before


def test_router_keeps_serving_without_its_agent(router, table) -> None:
    table.close()
    time.sleep(FROZEN_SECONDS)
    assert count_failures(router, 40) == 0


def count_failures(router, calls: int) -> int:
    """Make idempotent calls and return how many did not get status 200."""
    with ThreadPoolExecutor(8) as pool:
        responses = pool.map(
            lambda _: router.call("POST", "/v1/chat/x", b"{}"), range(calls)
        )
        return sum(response.status != 200 for response in responses)


FAULTS = [FaultName.CLOSE_AFTER, FaultName.WRONG_ID, FaultName.SHORT, None]


@pytest.mark.parametrize("fault", FAULTS)
def test_one_bad_upstream_of_six_fails_no_request(
    router, table, upstream, fault
) -> None:
    good = [FaultyUpstream() for _ in range(4)]
    bad = FaultyUpstream(default_fault=fault or FaultName.NONE)
    for number, standin in enumerate(good):
        put_upstream(table, f"g{number}", standin.url)
    url = f"http://127.0.0.1:{free_port()}" if fault is None else bad.url
    put_upstream(table, "a-bad", url)
    wait_until(lambda: has_run_on(router, good[-1]), "table in force")
    failures = count_failures(router, 300)
    bad_attempts = len(bad.ledger.executions())
    print(f"failed calls: {failures}, attempts on the bad upstream: {bad_attempts}")
    for standin in (*good, bad):
        standin.close()
    assert failures == 0
    assert bad_attempts < 40
    event_names = [event.get("name") for event in router.events()]
    assert "upstream-ejected" in event_names
