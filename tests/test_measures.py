"""Tests of the bench's figures."""

import pytest

from standins.calls import CallRecord, Verdict
from standins.ledger import Execution
from standins.measures import (
    MeasuredCall,
    ServiceCurves,
    Window,
    join_executions,
    utilisation,
    wait_percentiles,
)

WINDOW = Window(100.0, 110.0)


def record(team: str, number: int, sent: float, finished: float) -> CallRecord:
    return CallRecord(
        team,
        "s",
        "quick",
        f"1/{team}/{number}",
        100,
        "r",
        sent,
        finished,
        finished,
        200,
        "ran",
        "",
        Verdict.WHOLE,
    )


def execution(echo: str, start: float, end: float, tokens: int) -> Execution:
    return Execution(
        1, "r", "1", "POST", "/", "", echo, "quick", tokens, start, start, end, tokens
    )


def jobs(*spans: tuple[str, float, float, float, int]) -> tuple[MeasuredCall, ...]:
    """Return jobs of (team, sent, started, finished, tokens)."""
    calls = [record(s[0], n, s[1], s[3]) for n, s in enumerate(spans)]
    ledger = [execution(f"1/{s[0]}/{n}", s[2], s[3], s[4]) for n, s in enumerate(spans)]
    return join_executions(calls, [ledger])


def test_gap_counts_only_while_both_wait() -> None:
    served = jobs(
        ("a", 90.0, 100.0, 110.0, 1000),
        ("a", 90.0, 120.0, 121.0, 1),
        ("b", 90.0, 105.0, 106.0, 1),
    )
    [gap] = ServiceCurves(served, {"a": 2.0, "b": 1.0}, WINDOW).largest_gaps()
    assert gap.tokens == pytest.approx(250, rel=0.02)
    assert (gap.ahead, gap.behind) == ("a", "b")


def test_gap_is_the_range_not_the_end() -> None:
    served = jobs(
        ("a", 90.0, 100.0, 105.0, 500),
        ("b", 90.0, 105.0, 110.0, 500),
        ("a", 90.0, 120.0, 121.0, 1),
        ("b", 90.0, 120.0, 121.0, 1),
    )
    curves = ServiceCurves(served, {"a": 1.0, "b": 1.0}, WINDOW)
    assert curves.largest_gaps()[0].tokens == pytest.approx(500, rel=0.01)
    assert [one.tokens for one in curves.services()] == pytest.approx([500, 500])


def test_service_outside_the_window_is_left_out() -> None:
    served = jobs(("a", 80.0, 95.0, 105.0, 1000))
    [service] = ServiceCurves(served, {"a": 1.0}, WINDOW).services()
    assert service.tokens == pytest.approx(500, rel=0.02)


def test_utilisation_counts_only_while_something_waits() -> None:
    served = jobs(("a", 100.0, 100.0, 105.0, 1), ("a", 100.0, 105.0, 106.0, 1))
    assert utilisation(served, 1, WINDOW) == pytest.approx(1.0)
    assert utilisation(served, 2, WINDOW) == pytest.approx(0.5)


def test_waits_by_kind_and_size() -> None:
    served = jobs(("a", 101.0, 103.0, 105.0, 1), ("b", 99.0, 103.0, 105.0, 1))
    [row] = wait_percentiles(served, {"a": 8.0, "b": 1.0}, WINDOW)
    assert (row.size, row.count) == ("large", 1)
    assert row.p50_ms == pytest.approx(2000, rel=0.01)
