"""Tests of edits against the platform stand-in."""

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
from standins.platform import Loss, Outage, Platform, PlatformFaults

WAIT_SECONDS = 20.0
TEAM = TeamId("alpha")


def soon() -> float:
    return time.time() + WAIT_SECONDS


def added(edit: str = "first", name: str = TEAM) -> RowEdit:
    row = TeamRow(name=TeamId(name))
    cells = {c: CellChange(None, v) for c, v in cells_of(RowKind.TEAMS, row).items()}
    return RowEdit(EditId(edit), EditType.ADD, RowKind.TEAMS, name, cells)


def changed(edit: str, **cells: tuple[object, object]) -> RowEdit:
    changes = {column: CellChange(*pair) for column, pair in cells.items()}
    return RowEdit(EditId(edit), EditType.SET, RowKind.TEAMS, TEAM, changes)


@pytest.fixture
def table(client: PlatformClient) -> TableClient:
    made = TableClient(client)
    made.apply(added(), soon())
    return made


def team(table: TableClient) -> TeamRow:
    row = table.read_row(RowKind.TEAMS, TEAM, soon()).row
    assert isinstance(row, TeamRow)
    return row


def test_edits_of_different_cells_both_hold(table: TableClient) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, soon())
    table.apply(changed("one", weight=(1.0, 2.0)), soon(), seen)
    table.apply(changed("two", max_waiting=(1000, 50)), soon(), seen)
    row = team(table)
    assert (row.weight, row.max_waiting) == (2.0, 50)


def test_edits_of_the_same_cell_conflict_with_both_values(table: TableClient) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, soon())
    table.apply(changed("one", weight=(1.0, 2.0)), soon(), seen)
    with pytest.raises(ConflictError) as caught:
        table.apply(changed("two", weight=(1.0, 3.0)), soon(), seen)
    error = caught.value
    assert (error.place, error.requested, error.current) == (
        "teams/alpha weight",
        "3",
        "2",
    )
    assert team(table).weight == 2.0


def test_many_operators_at_once_each_change_their_cell(table: TableClient) -> None:
    seen = table.read_row(RowKind.TEAMS, TEAM, soon())
    edits = [
        changed("a", weight=(1.0, 2.0)),
        changed("b", max_waiting=(1000, 50)),
        changed("c", max_running=(1000, 60)),
        changed("d", max_rate=(0.0, 70.0)),
    ]
    threads = [
        threading.Thread(target=table.apply, args=(edit, soon(), seen))
        for edit in edits
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    row = team(table)
    cells = (row.weight, row.max_waiting, row.max_running, row.max_rate)
    assert cells == (2.0, 50, 60, 70.0)


@pytest.mark.parametrize("lose", [Loss.SECOND, Loss.EACH])
def test_edit_is_applied_once_although_answers_are_lost(
    platform: Platform, table: TableClient, lose: Loss
) -> None:
    platform.set_faults(PlatformFaults(lose=lose))
    for i in range(10):
        edit = changed(f"edit{i}", weight=(1.0 + i, 2.0 + i))
        assert table.apply(edit, soon()).version == i + 2
    assert platform.counters().lost >= 5
    assert team(table).weight == 11.0


def test_lost_edit_is_not_repeated_over_a_later_one(
    platform: Platform, client: PlatformClient, table: TableClient
) -> None:
    """The first edit's answer is lost, and another operator sets the cell back."""
    seen = table.read_row(RowKind.TEAMS, TEAM, soon())
    first = changed("one", weight=(1.0, 2.0))
    table.apply(first, soon(), seen)
    table.apply(changed("two", weight=(2.0, 1.0)), soon())
    table.apply(first, soon(), seen)
    assert team(table).weight == 1.0


def test_row_added_twice_at_once_conflicts(table: TableClient) -> None:
    with pytest.raises(ConflictError):
        table.apply(added("second"), soon())


def test_removed_row_keeps_its_versions(table: TableClient) -> None:
    remove = RowEdit(EditId("r"), EditType.REMOVE, RowKind.TEAMS, TEAM, version=1)
    assert table.apply(remove, soon()).version == 2
    assert table.read(soon()).live_rows() == []
    assert table.apply(added("again"), soon()).version == 3


def test_row_changed_meanwhile_is_not_removed(table: TableClient) -> None:
    table.apply(changed("one", weight=(1.0, 2.0)), soon())
    remove = RowEdit(EditId("r"), EditType.REMOVE, RowKind.TEAMS, TEAM, version=1)
    with pytest.raises(ConflictError):
        table.apply(remove, soon())


def test_row_out_of_range_is_not_written(table: TableClient) -> None:
    with pytest.raises(TableError):
        table.apply(changed("one", weight=(1.0, -2.0)), soon())
    assert team(table).weight == 1.0


def test_platform_away_is_said_by_the_deadline(
    platform: Platform, table: TableClient
) -> None:
    platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
    with pytest.raises(PlatformUnavailableError):
        table.apply(changed("one", weight=(1.0, 2.0)), time.time() + 0.5)


def test_short_outage_is_waited_out(platform: Platform, table: TableClient) -> None:
    platform.set_faults(PlatformFaults(outage=Outage.UNAVAILABLE))
    timer = threading.Timer(0.5, platform.set_faults, (PlatformFaults(),))
    timer.start()
    assert table.apply(changed("one", weight=(1.0, 2.0)), soon()).version == 2
    timer.join()


def test_object_that_is_no_row_is_found(
    client: PlatformClient, table: TableClient
) -> None:
    client.create(ObjectKind.TEAMS, "bad", b'{"name":"bad","weight":"x"}', soon())
    state = table.read(soon())
    assert [found.place for found in state.findings] == ["teams/bad"]
    assert len(state.live_rows()) == 1


@pytest.mark.parametrize("lose", [Loss.NONE, Loss.SECOND, Loss.EACH])
def test_history_holds_each_edit_once(
    platform: Platform,
    client: PlatformClient,
    table: TableClient,
    lose: Loss,
) -> None:
    platform.set_faults(PlatformFaults(lose=lose))
    history = History(client)
    for i in range(4):
        edit = changed(f"edit{i}", weight=(1.0 + i, 2.0 + i))
        accepted = table.apply(edit, soon())
        assert history.write(make_entry(accepted, time.time(), "ann"), soon())
    entries = history.read(0.0, soon())
    assert [entry.version for entry in entries] == [2, 3, 4, 5]
    assert entries[0].cells[0].old == "1"


def test_history_never_holds_a_key_hash(client: PlatformClient) -> None:
    change = CellChange((), ("ab" * 32,))
    edit = RowEdit(
        EditId("k"), EditType.SET, RowKind.TEAMS, TEAM, {"key_hashes": change}
    )
    table = TableClient(client)
    table.apply(added(), soon())
    entry = make_entry(table.apply(edit, soon()), 1.0, "ann")
    assert b"abab" not in msgspec.json.encode(entry)
