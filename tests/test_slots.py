"""Tests of the slot table."""

import pytest

from oleandershift.dispatch import UpstreamLoad
from oleandershift.ids import RegionId, ServiceId, UpstreamId
from oleandershift.rows import UpstreamRow, UpstreamState
from oleandershift.slots import SlotTable

FIRST, SECOND = UpstreamId("u1"), UpstreamId("u2")


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
    return UpstreamLoad(FIRST, at, running, 0)


@pytest.fixture
def table() -> SlotTable:
    slot_table = SlotTable()
    slot_table.configure([row(FIRST), row(SECOND)], frozenset())
    slot_table.set_recovering(False)
    return slot_table


def test_upstream_with_most_free_slots_is_chosen(table: SlotTable) -> None:
    table.acquire(FIRST)
    assert table.best_upstream() == SECOND
    table.acquire(SECOND)
    table.acquire(SECOND)
    assert table.best_upstream() == FIRST


def test_faster_upstream_is_chosen_with_fewer_free_slots(table: SlotTable) -> None:
    table.observe_speed(FIRST, 10.0)
    table.observe_speed(SECOND, 100.0)
    table.acquire(SECOND)
    assert table.best_upstream() == SECOND


@pytest.mark.parametrize(
    ("rows", "leaving"),
    [
        ([row(FIRST, UpstreamState.LEAVING), row(SECOND)], frozenset()),
        ([row(FIRST), row(SECOND)], frozenset({FIRST})),
        ([row(SECOND)], frozenset()),
    ],
    ids=["row", "list", "removed"],
)
def test_leaving_upstream_is_not_chosen(
    table: SlotTable, rows: list[UpstreamRow], leaving: frozenset[str]
) -> None:
    table.configure(rows, leaving)
    assert table.best_upstream(avoid={SECOND}) is None


def test_reported_requests_from_elsewhere_use_slots(table: SlotTable) -> None:
    table.on_load(load(2))
    assert table.best_upstream(avoid={SECOND}) is None
    table.on_load(load(0))
    assert table.best_upstream(avoid={SECOND}) == FIRST


def test_lagging_report_of_a_closed_grant_uses_no_slot(table: SlotTable) -> None:
    table.acquire(FIRST)
    table.release(FIRST)
    table.on_load(load(1))
    assert table.best_upstream(avoid={SECOND}) == FIRST


def test_slots_count_as_free_only_if_reported_while_recovering(
    table: SlotTable,
) -> None:
    table.set_recovering(True)
    assert table.best_upstream() is None
    table.on_load(load(1))
    assert table.best_upstream() == FIRST
    table.acquire(FIRST)
    assert table.best_upstream() is None
