"""Tests of the figures that the bench computes from calls and ledgers."""

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


def make_record(team: str, number: int, sent: float, finished: float) -> CallRecord:
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


def make_execution(echo: str, start: float, end: float, tokens: int) -> Execution:
    return Execution(
        1, "r", "1", "POST", "/", "", echo, "quick", tokens, start, start, end, tokens
    )


def make_calls(
    *timings: tuple[str, float, float, float, int],
) -> tuple[MeasuredCall, ...]:
    """Return calls of (team, sent, started, finished, tokens)."""
    records = [
        make_record(timing[0], n, timing[1], timing[3])
        for n, timing in enumerate(timings)
    ]
    ledger = [
        make_execution(f"1/{timing[0]}/{n}", timing[2], timing[3], timing[4])
        for n, timing in enumerate(timings)
    ]
    return join_executions(records, [ledger])


def test_gap_grows_only_while_both_teams_wait() -> None:
    measured_calls = make_calls(
        ("a", 90.0, 100.0, 110.0, 1000),
        ("a", 90.0, 120.0, 121.0, 1),
        ("b", 90.0, 105.0, 106.0, 1),
    )
    [gap] = ServiceCurves(measured_calls, {"a": 2.0, "b": 1.0}, WINDOW).largest_gaps()
    assert gap.tokens == pytest.approx(250, rel=0.02)
    assert (gap.ahead, gap.behind) == ("a", "b")


def test_gap_is_the_range_of_the_lead_within_the_window() -> None:
    measured_calls = make_calls(
        ("a", 90.0, 100.0, 105.0, 500),
        ("b", 90.0, 105.0, 110.0, 500),
        ("a", 90.0, 120.0, 121.0, 1),
        ("b", 90.0, 120.0, 121.0, 1),
    )
    curves = ServiceCurves(measured_calls, {"a": 1.0, "b": 1.0}, WINDOW)
    assert curves.largest_gaps()[0].tokens == pytest.approx(500, rel=0.01)
    assert [service.tokens for service in curves.services()] == pytest.approx(
        [500, 500]
    )


def test_service_outside_the_window_is_excluded() -> None:
    measured_calls = make_calls(("a", 80.0, 95.0, 105.0, 1000))
    [service] = ServiceCurves(measured_calls, {"a": 1.0}, WINDOW).services()
    assert service.tokens == pytest.approx(500, rel=0.02)


def test_utilisation_counts_only_time_with_waiting_requests() -> None:
    measured_calls = make_calls(
        ("a", 100.0, 100.0, 105.0, 1), ("a", 100.0, 105.0, 106.0, 1)
    )
    assert utilisation(measured_calls, 1, WINDOW) == pytest.approx(1.0)
    assert utilisation(measured_calls, 2, WINDOW) == pytest.approx(0.5)


def test_waits_are_grouped_by_team_size_and_limited_to_the_window() -> None:
    measured_calls = make_calls(
        ("a", 101.0, 103.0, 105.0, 1), ("b", 99.0, 103.0, 105.0, 1)
    )
    [row] = wait_percentiles(measured_calls, {"a": 8.0, "b": 1.0}, WINDOW)
    assert (row.size, row.count) == ("large", 1)
    assert row.p50_ms == pytest.approx(2000, rel=0.01)
