"""Tests of outlier detection, the circuit breaker, and the detection of pauses."""

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


def record_failures(
    detector: OutlierDetector, name: str, now: float, times: int, peers: int = 6
) -> None:
    for _ in range(times):
        detector.record(now, "s", name, peers, healthy=False)


def record_successes(
    detector: OutlierDetector, name: str, now: float, times: int
) -> None:
    for _ in range(times):
        detector.record(now, "s", name, 6, healthy=True)


def test_ejection_time_doubles_after_consecutive_failures() -> None:
    detector, now = OutlierDetector(), 0.0
    record_failures(detector, "bad", now, CONSECUTIVE_FAILURES_TO_EJECT - 1)
    assert not detector.ejected()
    record_failures(detector, "bad", now, 1)
    for seconds in (
        EJECTION_BASE_SECONDS,
        2 * EJECTION_BASE_SECONDS,
        4 * EJECTION_BASE_SECONDS,
    ):
        detector.on_tick(now + seconds - 0.01)
        assert detector.ejected() == {"bad"}
        now += seconds
        detector.on_tick(now)
        assert not detector.ejected()
        record_failures(detector, "bad", now, 1)


def test_consecutive_successes_reset_the_ejections() -> None:
    detector = OutlierDetector()
    record_failures(detector, "bad", 0.0, CONSECUTIVE_FAILURES_TO_EJECT)
    detector.on_tick(EJECTION_BASE_SECONDS)
    record_successes(detector, "bad", EJECTION_BASE_SECONDS, SUCCESSES_TO_RESET)
    record_failures(detector, "bad", EJECTION_BASE_SECONDS, 1)
    assert not detector.ejected()


def test_high_failure_rate_ejects_without_consecutive_failures() -> None:
    detector = OutlierDetector()
    for _ in range(20):
        record_failures(detector, "bad", 0.0, 1)
        record_successes(detector, "bad", 0.0, 1)
    assert detector.ejected() == {"bad"}


@pytest.mark.parametrize(("peers", "max_ejected"), [(1, 0), (2, 1), (3, 1), (6, 3)])
def test_ejections_are_limited_when_all_upstreams_fail(peers, max_ejected) -> None:
    detector = OutlierDetector()
    for number in range(peers):
        record_failures(detector, f"u{number}", 0.0, 50, peers)
    assert len(detector.ejected()) == max_ejected


def attempts_on_bad_upstream(seed: int, eject: bool) -> int:
    rng = random.Random(seed)
    detector = OutlierDetector()
    attempts = 0
    for number in range(6000):
        now = number * 0.01
        detector.on_tick(now)
        candidates = [
            n for n in range(6) if not eject or f"u{n}" not in detector.ejected()
        ]
        chosen = rng.choice(candidates)
        attempts += chosen == 0
        detector.record(now, "s", f"u{chosen}", 6, healthy=chosen != 0)
    return attempts


@pytest.mark.parametrize("seed", range(3))
def test_one_bad_upstream_of_six_gets_few_attempts(seed) -> None:
    print("seed", seed)
    assert attempts_on_bad_upstream(seed, eject=False) > 900
    assert attempts_on_bad_upstream(seed, eject=True) < 20


def test_open_breaker_allows_one_probe_at_a_time() -> None:
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


def test_pause_holds_decisions_back_temporarily() -> None:
    pause = PauseDetector(0.0)
    pause.record_activity(0.1)
    assert not pause.is_holding(0.1)
    pause.record_activity(5.0)
    assert pause.is_holding(5.0)
    assert not pause.is_holding(5.0 + MAX_HOLD_SECONDS)


def test_hold_ends_when_the_process_has_caught_up() -> None:
    pause = PauseDetector(0.0)
    assert pause.was_paused(5.0)
    pause.record_activity(5.0)
    pause.end_hold()
    assert not pause.is_holding(5.0)
