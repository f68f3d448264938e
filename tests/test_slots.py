"""Tests of upstream slots."""

import pytest

from oleandershift.dispatch import UpstreamLoad
from oleandershift.ids import RegionId, ServiceId, UpstreamId
from oleandershift.rows import UpstreamRow, UpstreamState
from oleandershift.slots import SlotTable

ONE, OTHER = UpstreamId("u1"), UpstreamId("u2")


def row(name: UpstreamId, state: UpstreamState = UpstreamState.ACTIVE) -> UpstreamRow:
    return UpstreamRow(
        name=name,
        service=ServiceId("s"),
        region=RegionId("r"),
        url="http://127.0.0.1:1",
        slots=2,
        state=state,
    )


def load(running: int, at: float = 0.0) -> UpstreamLoad:
    return UpstreamLoad(ONE, at, running, 0)


@pytest.fixture
def table() -> SlotTable:
    made = SlotTable()
    made.configure([row(ONE), row(OTHER)], frozenset())
    made.set_recovering(False)
    return made


def test_the_most_free_is_chosen(table: SlotTable) -> None:
    table.acquire(ONE)
    assert table.best_upstream() == OTHER
    table.acquire(OTHER)
    table.acquire(OTHER)
    assert table.best_upstream() == ONE


def test_slower_upstream_comes_second(table: SlotTable) -> None:
    table.observe_speed(ONE, 10.0)
    table.observe_speed(OTHER, 100.0)
    table.acquire(OTHER)
    assert table.best_upstream() == OTHER


@pytest.mark.parametrize(
    ("rows", "leaving"),
    [
        ([row(ONE, UpstreamState.LEAVING), row(OTHER)], frozenset()),
        ([row(ONE), row(OTHER)], frozenset({ONE})),
        ([row(OTHER)], frozenset()),
    ],
    ids=["row", "list", "removed"],
)
def test_leaving_upstream_is_not_chosen(
    table: SlotTable, rows: list[UpstreamRow], leaving: frozenset[str]
) -> None:
    table.configure(rows, leaving)
    assert table.best_upstream(avoid={OTHER}) is None


def test_work_of_others_takes_slots(table: SlotTable) -> None:
    table.on_load(load(2))
    assert table.best_upstream(avoid={OTHER}) is None
    table.on_load(load(0))
    assert table.best_upstream(avoid={OTHER}) == ONE


def test_lagging_report_of_own_work_takes_nothing_more(table: SlotTable) -> None:
    table.acquire(ONE)
    table.release(ONE)
    table.on_load(load(1))
    assert table.best_upstream(avoid={OTHER}) == ONE


def test_unknown_slots_are_taken_while_recovering(table: SlotTable) -> None:
    table.set_recovering(True)
    assert table.best_upstream() is None
    table.on_load(load(1))
    assert table.best_upstream() == ONE
    table.acquire(ONE)
    assert table.best_upstream() is None
