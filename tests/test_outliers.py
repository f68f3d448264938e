"""Tests of the ejection of failing upstreams, and of pauses."""

import random

import pytest

from oleandershift.breaker import FAILURES_TO_OPEN, OPEN_SECONDS, CircuitBreaker
from oleandershift.outliers import (
    CONSECUTIVE_FAILURES_TO_EJECT,
    EJECTION_BASE_SECONDS,
    SUCCESSES_TO_RESET,
    OutlierDetector,
)
from oleandershift.pauses import MAX_HOLD_SECONDS, PauseDetector


def fail(
    outliers: OutlierDetector, name: str, now: float, times: int, peers: int = 6
) -> None:
    for _ in range(times):
        outliers.record(now, "s", name, peers, healthy=False)


def succeed(outliers: OutlierDetector, name: str, now: float, times: int) -> None:
    for _ in range(times):
        outliers.record(now, "s", name, 6, healthy=True)


def test_consecutive_failures_eject_for_a_growing_time() -> None:
    outliers, now = OutlierDetector(), 0.0
    fail(outliers, "bad", now, CONSECUTIVE_FAILURES_TO_EJECT - 1)
    assert not outliers.ejected()
    fail(outliers, "bad", now, 1)
    for seconds in (
        EJECTION_BASE_SECONDS,
        2 * EJECTION_BASE_SECONDS,
        4 * EJECTION_BASE_SECONDS,
    ):
        outliers.on_tick(now + seconds - 0.01)
        assert outliers.ejected() == {"bad"}
        now += seconds
        outliers.on_tick(now)
        assert not outliers.ejected()
        fail(outliers, "bad", now, 1)


def test_one_that_came_back_for_good_is_forgiven() -> None:
    outliers = OutlierDetector()
    fail(outliers, "bad", 0.0, CONSECUTIVE_FAILURES_TO_EJECT)
    outliers.on_tick(EJECTION_BASE_SECONDS)
    succeed(outliers, "bad", EJECTION_BASE_SECONDS, SUCCESSES_TO_RESET)
    fail(outliers, "bad", EJECTION_BASE_SECONDS, 1)
    assert not outliers.ejected()


def test_half_failing_upstream_is_ejected_without_a_row_of_failures() -> None:
    outliers = OutlierDetector()
    for _ in range(20):
        fail(outliers, "bad", 0.0, 1)
        succeed(outliers, "bad", 0.0, 1)
    assert outliers.ejected() == {"bad"}


@pytest.mark.parametrize(("peers", "most"), [(1, 0), (2, 1), (3, 1), (6, 3)])
def test_most_upstreams_stay_when_all_fail(peers, most) -> None:
    outliers = OutlierDetector()
    for number in range(peers):
        fail(outliers, f"u{number}", 0.0, 50, peers)
    assert len(outliers.ejected()) == most


def attempts_on_bad_upstream(seed: int, eject: bool) -> int:
    rng = random.Random(seed)
    outliers = OutlierDetector()
    on_bad = 0
    for number in range(6000):
        now = number * 0.01
        outliers.on_tick(now)
        left = [n for n in range(6) if not eject or f"u{n}" not in outliers.ejected()]
        chosen = rng.choice(left)
        on_bad += chosen == 0
        outliers.record(now, "s", f"u{chosen}", 6, healthy=chosen != 0)
    return on_bad


@pytest.mark.parametrize("seed", range(3))
def test_one_bad_upstream_of_six_gets_few_attempts(seed) -> None:
    print("seed", seed)
    assert attempts_on_bad_upstream(seed, eject=False) > 900
    assert attempts_on_bad_upstream(seed, eject=True) < 20


def test_breaker_lets_one_probe_through_at_a_time() -> None:
    breaker = CircuitBreaker()
    for _ in range(FAILURES_TO_OPEN):
        assert breaker.allows(0.0)
        breaker.on_failure(0.0)
    assert not breaker.allows(OPEN_SECONDS / 2)
    assert breaker.allows(OPEN_SECONDS)
    breaker.on_call(OPEN_SECONDS)
    assert not breaker.allows(OPEN_SECONDS)
    breaker.on_success()
    assert breaker.allows(OPEN_SECONDS)


def test_pause_holds_decisions_for_a_moment() -> None:
    pause = PauseDetector(0.0)
    pause.record_activity(0.1)
    assert not pause.is_holding(0.1)
    pause.record_activity(5.0)
    assert pause.is_holding(5.0)
    assert not pause.is_holding(5.0 + MAX_HOLD_SECONDS)


def test_hold_ends_once_the_process_knows_what_it_missed() -> None:
    pause = PauseDetector(0.0)
    assert pause.was_paused(5.0)
    pause.record_activity(5.0)
    pause.end_hold()
    assert not pause.is_holding(5.0)
