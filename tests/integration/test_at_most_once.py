"""Tests that a non-idempotent call runs at most once, judged by the ledger."""

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import RouterProcess, wait_until

from standins.platform import Loss, Outage, Platform, PlatformFaults

CHARGE = "/v1/chat/charge"


@pytest.fixture
def platform() -> Iterator[Platform]:
    made = Platform()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def claimed(
    table, platform, start_router: Callable[..., RouterProcess]
) -> RouterProcess:
    made = start_router(table, platform_url=platform.url, claim_seconds="2")
    wait_until(made.is_ready, "router ready")
    return made


def charge(router: RouterProcess, key: str, body: bytes = b"1", fault: str = "none"):
    return router.call("POST", CHARGE, body, Idempotency_Key=key, X_Fault=fault)


def test_answer_is_replayed(claimed, upstream) -> None:
    first = charge(claimed, "k")
    assert first.status == 200
    wait_until(lambda: charge(claimed, "k").status == 200, "outcome kept")
    again = charge(claimed, "k")
    assert again.data == first.data
    assert again.headers["Oleander-Run"] == "ran"
    assert charge(claimed, "k", b"2").status == 422
    assert len(upstream.ledger.executions()) == 1


AFTER_SENDING = ["close-after", "wrong-id", "no-id", "crossed", "short", "bad-status"]


@pytest.mark.parametrize("fault", AFTER_SENDING)
def test_lost_answer_is_unknown_and_never_repeated(claimed, upstream, fault) -> None:
    answer = charge(claimed, "k", fault=fault)
    assert answer.status == 502
    assert answer.headers["Oleander-Run"] == "unknown"
    again = charge(claimed, "k")
    assert again.status == 409
    assert again.headers["Oleander-Run"] == "unknown"
    assert len(upstream.ledger.executions()) == 1


def test_lost_platform_answers_are_settled_by_reading_back(
    claimed, upstream, platform
) -> None:
    platform.set_faults(PlatformFaults(lose=Loss.EACH))
    assert charge(claimed, "k").status == 200
    assert charge(claimed, "k").status in (200, 409)
    assert len(upstream.ledger.executions()) == 1


AWAY = [
    PlatformFaults(outage=Outage.CLOSED),
    PlatformFaults(outage=Outage.UNAVAILABLE),
    PlatformFaults(outage=Outage.OVERLOADED),
    PlatformFaults(lose=Loss.EACH, lose_writes_only=False),
    PlatformFaults(slow_seconds=4.0),
]


@pytest.mark.parametrize("faults", AWAY, ids=["closed", "503", "429", "lost", "slow"])
def test_without_proof_the_call_is_refused_and_may_run_later(
    claimed, upstream, platform, faults
) -> None:
    platform.set_faults(faults)
    assert claimed.call("POST", "/v1/chat/x", b"{}").status == 200
    idempotent = len(upstream.ledger.executions())
    answer = charge(claimed, "k")
    assert answer.status == 503
    assert answer.headers["Oleander-Run"] == "not-run"
    assert int(answer.headers["Retry-After"]) >= 1
    assert len(upstream.ledger.executions()) == idempotent
    platform.set_faults(PlatformFaults())
    wait_until(lambda: charge(claimed, "k").status == 200, "claim withdrawn")
    assert len(upstream.ledger.executions()) == idempotent + 1


def test_outcome_is_kept_before_a_stopping_router_ends(
    claimed, upstream, platform, table, start_router
) -> None:
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(charge, claimed, "k", b"1", "late")
        wait_until(lambda: bool(upstream.ledger.executions()), "running")
        platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
        claimed.process.terminate()
        assert running.result().status == 200
    assert claimed.process.poll() is None
    platform.set_faults(PlatformFaults())
    assert claimed.process.wait(30) == 0
    other = start_router(table, platform_url=platform.url)
    wait_until(other.is_ready, "other router ready")
    assert charge(other, "k").status == 200
    assert len(upstream.ledger.executions()) == 1


def test_concurrent_calls_with_one_key_run_once(claimed, upstream) -> None:
    with ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda _: charge(claimed, "k", fault="late"), range(8)))
    assert {answer.status for answer in answers} <= {200, 409}
    assert len(upstream.ledger.executions()) == 1


def test_refused_call_may_run_with_its_key_later(claimed, upstream, table) -> None:
    past = {"Oleander_Deadline": "2020-01-01T00:00:00Z", "Idempotency_Key": "k"}
    answer = claimed.call("POST", CHARGE, b"1", **past)
    assert answer.status == 504
    assert answer.headers["Oleander-Run"] == "not-run"
    wait_until(lambda: charge(claimed, "k").status == 200, "claim withdrawn")
    assert len(upstream.ledger.executions()) == 1
