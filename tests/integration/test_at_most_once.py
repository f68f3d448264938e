"""Tests that a non-idempotent call runs at most once, by the upstream's ledger."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import RouterProcess, wait_until

from standins.platform import Outage, Platform, PlatformFaults, ResponseLoss

CHARGE = "/v1/chat/charge"


@pytest.fixture
def platform() -> Iterator[Platform]:
    standin = Platform()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def claiming_router(
    table, platform, start_router: Callable[..., RouterProcess]
) -> RouterProcess:
    router = start_router(table, platform_url=platform.url, claim_seconds="2")
    wait_until(router.is_ready, "router ready")
    return router


def charge(router: RouterProcess, key: str, body: bytes = b"1", fault: str = "none"):
    return router.call("POST", CHARGE, body, Idempotency_Key=key, X_Fault=fault)


def test_repeated_call_gets_the_stored_response(claiming_router, upstream) -> None:
    first = charge(claiming_router, "k")
    assert first.status == 200
    wait_until(lambda: charge(claiming_router, "k").status == 200, "outcome stored")
    again = charge(claiming_router, "k")
    assert again.data == first.data
    assert again.headers["Oleander-Run"] == "ran"
    assert charge(claiming_router, "k", b"2").status == 422
    assert len(upstream.ledger.executions()) == 1


AFTER_SENDING = ["close-after", "wrong-id", "no-id", "crossed", "short", "bad-status"]


@pytest.mark.parametrize("fault", AFTER_SENDING)
def test_call_without_response_is_unknown_and_never_repeated(
    claiming_router, upstream, fault
) -> None:
    response = charge(claiming_router, "k", fault=fault)
    assert response.status == 502
    assert response.headers["Oleander-Run"] == "unknown"
    again = charge(claiming_router, "k")
    assert again.status == 409
    assert again.headers["Oleander-Run"] == "unknown"
    assert len(upstream.ledger.executions()) == 1


def test_lost_platform_responses_are_resolved_by_reading_back(
    claiming_router, upstream, platform
) -> None:
    platform.set_faults(PlatformFaults(lose=ResponseLoss.EVERY))
    assert charge(claiming_router, "k").status == 200
    assert charge(claiming_router, "k").status in (200, 409)
    assert len(upstream.ledger.executions()) == 1


PLATFORM_FAULTS = [
    PlatformFaults(outage=Outage.CLOSED),
    PlatformFaults(outage=Outage.UNAVAILABLE),
    PlatformFaults(outage=Outage.OVERLOADED),
    PlatformFaults(lose=ResponseLoss.EVERY, lose_writes_only=False),
    PlatformFaults(slow_seconds=4.0),
]


@pytest.mark.parametrize(
    "faults", PLATFORM_FAULTS, ids=["closed", "503", "429", "lost", "slow"]
)
def test_call_without_a_claim_is_refused_and_may_run_later(
    claiming_router, upstream, platform, faults
) -> None:
    platform.set_faults(faults)
    assert claiming_router.call("POST", "/v1/chat/x", b"{}").status == 200
    idempotent_executions = len(upstream.ledger.executions())
    response = charge(claiming_router, "k")
    assert response.status == 503
    assert response.headers["Oleander-Run"] == "not-run"
    assert int(response.headers["Retry-After"]) >= 1
    assert len(upstream.ledger.executions()) == idempotent_executions
    platform.set_faults(PlatformFaults())
    wait_until(lambda: charge(claiming_router, "k").status == 200, "claim withdrawn")
    assert len(upstream.ledger.executions()) == idempotent_executions + 1


def test_stopping_router_stores_the_outcome_before_it_exits(
    claiming_router, upstream, platform, table, start_router
) -> None:
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(charge, claiming_router, "k", b"1", "held")
        wait_until(lambda: bool(upstream.ledger.executions()), "call is running")
        platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
        upstream.release()
        claiming_router.process.terminate()
        assert pending.result().status == 200
    wait_until(
        lambda: claiming_router.call("POST", "/v1/chat/x").status == 503,
        "grace period over",
    )
    for _ in range(20):
        time.sleep(0.05)
        assert claiming_router.process.poll() is None
    platform.set_faults(PlatformFaults())
    assert claiming_router.process.wait(30) == 0
    other_router = start_router(table, platform_url=platform.url)
    wait_until(other_router.is_ready, "other router ready")
    assert charge(other_router, "k").status == 200
    paths = [execution.path for execution in upstream.ledger.executions()]
    assert paths.count("/charge") == 1


def test_concurrent_calls_with_one_key_run_once(claiming_router, upstream) -> None:
    with ThreadPoolExecutor(8) as pool:
        responses = list(
            pool.map(lambda _: charge(claiming_router, "k", fault="late"), range(8))
        )
    assert {response.status for response in responses} <= {200, 409}
    assert len(upstream.ledger.executions()) == 1


def test_refused_call_may_run_with_its_key_later(
    claiming_router, upstream, table
) -> None:
    expired_headers = {
        "Oleander_Deadline": "2020-01-01T00:00:00Z",
        "Idempotency_Key": "k",
    }
    response = claiming_router.call("POST", CHARGE, b"1", **expired_headers)
    assert response.status == 504
    assert response.headers["Oleander-Run"] == "not-run"
    wait_until(lambda: charge(claiming_router, "k").status == 200, "claim withdrawn")
    assert len(upstream.ledger.executions()) == 1
