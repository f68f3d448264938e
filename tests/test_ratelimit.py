"""Tests of the pace of edits."""

import pytest

from oleandershift.ratelimit import RateLimiter


def test_reservations_are_evenly_spaced() -> None:
    limiter = RateLimiter(50.0)
    instants = [limiter.reserve(10.0) for _ in range(101)]
    assert instants[0] == 10.0
    assert instants[-1] == pytest.approx(12.0)


def test_time_without_edits_saves_up_nothing() -> None:
    limiter = RateLimiter(50.0)
    limiter.reserve(10.0)
    assert limiter.reserve(20.0) == 20.0
    assert limiter.reserve(20.0) == pytest.approx(20.02)
