"""Tests of upstreams that leave or fail, with a real router process."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import wait_until

from oleandershift.rows import UpstreamRow, UpstreamState
from standins.faulty import FaultName, FaultyUpstream
from standins.ports import free_port

FROZEN_SECONDS = 2.0


def put(table, name: str, url: str, state: str = "active", slots: int = 8) -> None:
    table.put(
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
def second():
    made = FaultyUpstream()
    yield made
    made.close()


@pytest.mark.parametrize("answer_after_seconds", [0.0, 1.0])
def test_frozen_router_sends_nothing_to_an_upstream_that_left(
    router, table, upstream, second, answer_after_seconds
) -> None:
    put(table, "u2", second.url)
    wait_until(lambda: ran_on(router, second), "second upstream used")
    router.process.send_signal(signal.SIGSTOP)
    try:
        with ThreadPoolExecutor(8) as pool:
            waiting = [
                pool.submit(router.call, "POST", "/v1/chat/x", b"{}", X_Echo="late")
                for _ in range(8)
            ]
            put(table, "u1", upstream.url, "leaving")
            table.answer_after_seconds = answer_after_seconds
            time.sleep(FROZEN_SECONDS)
            router.process.send_signal(signal.SIGCONT)
            assert {call.result().status for call in waiting} == {200}
    finally:
        router.process.send_signal(signal.SIGCONT)
    marks = [execution.echo for execution in upstream.ledger.executions()]
    assert "late" not in marks


def ran_on(router, upstream) -> bool:
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(lambda _: router.call("POST", "/v1/chat/x", b"{}"), range(8)))
    return bool(upstream.ledger.executions())


def test_running_work_on_a_leaving_upstream_finishes(router, table, upstream) -> None:
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            router.call, "POST", "/v1/chat/x", b'{"stream": true}', X_Fault="late"
        )
        wait_until(lambda: bool(upstream.ledger.executions()), "running")
        put(table, "u1", upstream.url, "leaving")
        wait_until(
            lambda: router.call("POST", "/v1/chat/x", b"{}").status == 503, "left"
        )
        assert running.result().data.rstrip().endswith(b"[DONE]")


def test_upstream_that_the_list_calls_leaving_gets_no_work(
    router, table, upstream
) -> None:
    table.leaving = ("u1",)
    wait_until(lambda: router.call("POST", "/v1/chat/x", b"{}").status == 503, "left")
    before = len(upstream.ledger.executions())
    assert router.call("POST", "/v1/chat/x", b"{}").headers["Oleander-Run"] == "not-run"
    assert len(upstream.ledger.executions()) == before


def test_router_without_its_agent_serves_on(router, table) -> None:
    table.close()
    time.sleep(FROZEN_SECONDS)
    assert lose_answers(router, 40) == 0


def lose_answers(router, calls: int) -> int:
    """Return how many of some idempotent calls got no answer."""
    with ThreadPoolExecutor(8) as pool:
        answers = pool.map(
            lambda _: router.call("POST", "/v1/chat/x", b"{}"), range(calls)
        )
        return sum(answer.status != 200 for answer in answers)


BAD = [FaultName.CLOSE_AFTER, FaultName.WRONG_ID, FaultName.SHORT, None]


@pytest.mark.parametrize("fault", BAD)
def test_one_bad_upstream_of_six_costs_no_answer(
    router, table, upstream, fault
) -> None:
    good = [FaultyUpstream() for _ in range(4)]
    bad = FaultyUpstream(always=fault or FaultName.NONE)
    for number, one in enumerate(good):
        put(table, f"g{number}", one.url)
    url = f"http://127.0.0.1:{free_port()}" if fault is None else bad.url
    put(table, "a-bad", url)
    wait_until(lambda: ran_on(router, good[-1]), "table in force")
    lost = lose_answers(router, 300)
    on_bad = len(bad.ledger.executions())
    print(f"lost {lost}, attempts on the bad upstream {on_bad}")
    for one in (*good, bad):
        one.close()
    assert lost == 0
    assert on_bad < 40
    names = [event.get("name") for event in router.events()]
    assert "upstream-ejected" in names
