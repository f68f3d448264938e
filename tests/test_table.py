"""Tests of table edits against the platform stand-in."""

import threading
import time

import msgspec
import pytest

from oleandershift.cells import cells_of
from oleandershift.edits import CellChange, EditType, RowEdit
from oleandershift.exceptions import ConflictError, PlatformUnavailableError, TableError
from oleandershift.history import History, make_entry
from oleandershift.ids import EditId, TeamId
from oleandershift.io.platform import PlatformClient
from oleandershift.objects import ObjectKind
from oleandershift.rows import RowKind, TeamRow
from oleandershift.table import TableClient
from standins.platform import Outage, Platform, PlatformFaults, ResponseLoss

TIMEOUT_SECONDS = 20.0
TEAM = TeamId("alpha")


def new_deadline() -> float:
    return time.time() + TIMEOUT_SECONDS


def add_edit(edit: str = "first", name: str = TEAM) -> RowEdit:
    row = TeamRow(name=TeamId(name))
    cells = {c: CellChange(None, v) for c, v in cells_of(RowKind.TEAMS, row).items()}
    return RowEdit(EditId(edit), EditType.ADD, RowKind.TEAMS, name, cells)


def set_edit(edit: str, **cells: tuple[object, object]) -> RowEdit:
    changes = {column: CellChange(*pair) for column, pair in cells.items()}
    return RowEdit(EditId(edit), EditType.SET, RowKind.TEAMS, TEAM, changes)


@pytest.fixture
def table(client: PlatformClient) -> TableClient:
    table_client = TableClient(client)
    table_client.apply(add_edit(), new_deadline())
    return table_client


def read_team(table: TableClient) -> TeamRow:
    row = table.read_row(RowKind.TEAMS, TEAM, new_deadline()).row
    assert isinstance(row, TeamRow)
    return row


def test_edits_of_different_cells_are_merged(table: TableClient) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, new_deadline())
    table.apply(set_edit("one", weight=(1.0, 2.0)), new_deadline(), seen)
    table.apply(set_edit("two", max_waiting=(1000, 50)), new_deadline(), seen)
    row = read_team(table)
    assert (row.weight, row.max_waiting) == (2.0, 50)


def test_conflict_on_same_cell_reports_both_values(table: TableClient) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, new_deadline())
    table.apply(set_edit("one", weight=(1.0, 2.0)), new_deadline(), seen)
    with pytest.raises(ConflictError) as caught:
        table.apply(set_edit("two", weight=(1.0, 3.0)), new_deadline(), seen)
    error = caught.value
    assert (error.place, error.requested, error.current) == (
        "teams/alpha weight",
        "3",
        "2",
    )
    assert read_team(table).weight == 2.0


def test_concurrent_edits_of_different_cells_are_all_applied(
    table: TableClient,
) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, new_deadline())
    edits = [
        set_edit("a", weight=(1.0, 2.0)),
        set_edit("b", max_waiting=(1000, 50)),
        set_edit("c", max_running=(1000, 60)),
        set_edit("d", max_rate=(0.0, 70.0)),
    ]
    threads = [
        threading.Thread(target=table.apply, args=(edit, new_deadline(), seen))
        for edit in edits
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    row = read_team(table)
    cells = (row.weight, row.max_waiting, row.max_running, row.max_rate)
    assert cells == (2.0, 50, 60, 70.0)


@pytest.mark.parametrize("lose", [ResponseLoss.EVERY_SECOND, ResponseLoss.EVERY])
def test_edit_is_applied_once_when_responses_are_lost(
    platform: Platform, table: TableClient, lose: ResponseLoss
) -> None:
    platform.set_faults(PlatformFaults(lose=lose))
    for i in range(10):
        edit = set_edit(f"edit{i}", weight=(1.0 + i, 2.0 + i))
        assert table.apply(edit, new_deadline()).version == i + 2
    assert platform.counters().lost >= 5
    assert read_team(table).weight == 11.0


def test_retry_does_not_overwrite_later_edit(
    platform: Platform, client: PlatformClient, table: TableClient
) -> None:
    """The response to the first edit is lost and another operator reverts the cell.

    The retry must find the first edit's id in the row and not apply it again.
    """
    seen = table.read_row(RowKind.TEAMS, TEAM, new_deadline())
    first = set_edit("one", weight=(1.0, 2.0))
    table.apply(first, new_deadline(), seen)
    table.apply(set_edit("two", weight=(2.0, 1.0)), new_deadline())
    table.apply(first, new_deadline(), seen)
    assert read_team(table).weight == 1.0


def test_adding_existing_row_conflicts(table: TableClient) -> None:
    with pytest.raises(ConflictError):
        table.apply(add_edit("second"), new_deadline())


def test_removed_row_keeps_its_versions(table: TableClient) -> None:
    remove = RowEdit(EditId("r"), EditType.REMOVE, RowKind.TEAMS, TEAM, version=1)
    assert table.apply(remove, new_deadline()).version == 2
    assert table.read(new_deadline()).live_rows() == []
    assert table.apply(add_edit("again"), new_deadline()).version == 3


def test_removing_changed_row_conflicts(table: TableClient) -> None:
    table.apply(set_edit("one", weight=(1.0, 2.0)), new_deadline())
    remove = RowEdit(EditId("r"), EditType.REMOVE, RowKind.TEAMS, TEAM, version=1)
    with pytest.raises(ConflictError):
        table.apply(remove, new_deadline())


def test_out_of_range_row_is_not_written(table: TableClient) -> None:
    with pytest.raises(TableError):
        table.apply(set_edit("one", weight=(1.0, -2.0)), new_deadline())
    assert read_team(table).weight == 1.0


def test_outage_raises_platform_unavailable_at_deadline(
    platform: Platform, table: TableClient
) -> None:
    platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
    with pytest.raises(PlatformUnavailableError):
        table.apply(set_edit("one", weight=(1.0, 2.0)), time.time() + 0.5)


def test_edit_is_retried_through_short_outage(
    platform: Platform, table: TableClient
) -> None:
    platform.set_faults(PlatformFaults(outage=Outage.UNAVAILABLE))
    timer = threading.Timer(0.5, platform.set_faults, (PlatformFaults(),))
    timer.start()
    assert table.apply(set_edit("one", weight=(1.0, 2.0)), new_deadline()).version == 2
    timer.join()


def test_invalid_object_is_reported(client: PlatformClient, table: TableClient) -> None:
    client.create(
        ObjectKind.TEAMS, "bad", b'{"name":"bad","weight":"x"}', new_deadline()
    )
    state = table.read(new_deadline())
    assert [finding.place for finding in state.findings] == ["teams/bad"]
    assert len(state.live_rows()) == 1


@pytest.mark.parametrize(
    "lose", [ResponseLoss.NONE, ResponseLoss.EVERY_SECOND, ResponseLoss.EVERY]
)
def test_history_records_each_edit_once(
    platform: Platform,
    client: PlatformClient,
    table: TableClient,
    lose: ResponseLoss,
) -> None:
    platform.set_faults(PlatformFaults(lose=lose))
    history = History(client)
    for i in range(4):
        edit = set_edit(f"edit{i}", weight=(1.0 + i, 2.0 + i))
        accepted = table.apply(edit, new_deadline())
        assert history.write(make_entry(accepted, time.time(), "ann"), new_deadline())
    entries = history.read(0.0, new_deadline())
    assert [entry.version for entry in entries] == [2, 3, 4, 5]
    assert entries[0].cells[0].old == "1"


def test_history_never_contains_key_hash(client: PlatformClient) -> None:
    change = CellChange((), ("ab" * 32,))
    edit = RowEdit(
        EditId("k"), EditType.SET, RowKind.TEAMS, TEAM, {"key_hashes": change}
    )
    table = TableClient(client)
    table.apply(add_edit(), new_deadline())
    entry = make_entry(table.apply(edit, new_deadline()), 1.0, "ann")
    assert b"abab" not in msgspec.json.encode(entry)
