"""Planning of the edits that a sheet or an operator's command requires."""

from collections.abc import Callable, Iterable, Mapping

from returns.result import Failure, Result, Success

from oleandershift.cells import (
    Cell,
    cells_of,
    default_cell,
    display_cell,
    make_row,
    required_columns,
)
from oleandershift.checks import check_row
from oleandershift.edits import CellChange, EditType, RowEdit, RowState
from oleandershift.exceptions import Finding
from oleandershift.ids import EditId
from oleandershift.rows import RowKind, TableRow
from oleandershift.sheet import SheetRow
from oleandershift.table import TableState, check_table

_ADD_ORDER = (RowKind.SERVICES, RowKind.UPSTREAMS, RowKind.TEAMS)


class EditPlanner:
    """Plans edits against one state of the table, and collects findings.

    Parameters
    ----------
    state : TableState
        Current state of the table.
    new_edit_id : callable
        Returns a new edit id.
    """

    def __init__(self, state: TableState, new_edit_id: Callable[[], EditId]) -> None:
        self._state = state
        self._new_edit_id = new_edit_id
        self._edits: list[RowEdit] = []
        self._findings: list[Finding] = []
        self._planned_rows: dict[tuple[RowKind, str], TableRow] = {
            (row_state.kind, row_state.name): row_state.row
            for row_state in state.live_rows()
            if row_state.row is not None
        }
        self._places: dict[str, str] = {}

    def import_sheet(
        self, rows: Iterable[SheetRow], prune: Iterable[RowKind] = ()
    ) -> None:
        """Plan the edits that make the table match a sheet.

        Parameters
        ----------
        rows : iterable of SheetRow
            Rows of the sheet. An empty cell sets the default; a missing column leaves
            the cell unchanged.
        prune : iterable of RowKind
            Kinds whose rows are removed when the sheet doesn't contain them.
        """
        sheet_rows = list(rows)
        for row in sheet_rows:
            self._plan_sheet_row(row)
        names = {(row.kind, row.name) for row in sheet_rows}
        for kind in prune:
            for row_state in self._state.live_rows(kind):
                if (kind, row_state.name) not in names:
                    self.remove(kind, row_state.name)

    def add(self, kind: RowKind, name: str, cells: Mapping[str, Cell]) -> None:
        """Plan the addition of a row."""
        row_state = self._state.get(kind, name)
        place = f"{kind.value}/{name}"
        if row_state.row is not None:
            self._findings.append(Finding(place, name, "a name not yet in the table"))
            return
        self._plan_add(row_state, place, {**cells, "name": name})

    def set(self, kind: RowKind, name: str, cells: Mapping[str, Cell]) -> None:
        """Plan a change of a row's cells."""
        row_state = self._state.get(kind, name)
        if row_state.row is None:
            place = f"{kind.value}/{name}"
            self._findings.append(Finding(place, name, "a row of the table"))
            return
        self._plan_set(row_state, row_state.row, f"{kind.value}/{name}", cells)

    def remove(self, kind: RowKind, name: str) -> None:
        """Plan the removal of a row."""
        row_state = self._state.get(kind, name)
        if row_state.row is None:
            place = f"{kind.value}/{name}"
            self._findings.append(Finding(place, name, "a row of the table"))
            return
        del self._planned_rows[kind, name]
        self._edits.append(
            RowEdit(
                self._new_edit_id(),
                EditType.REMOVE,
                kind,
                name,
                version=row_state.version,
            )
        )

    def result(self) -> Result[tuple[RowEdit, ...], tuple[Finding, ...]]:
        """Return the edits in the order to apply them, or all findings.

        Services are added before the upstreams that refer to them and removed after
        them.
        """
        findings = [
            *self._findings,
            *(
                self._with_sheet_place(finding)
                for finding in check_table(self._planned_rows.values())
            ),
        ]
        if findings:
            return Failure(tuple(findings))
        return Success(tuple(sorted(self._edits, key=_sort_key)))

    # Internals

    def _plan_sheet_row(self, sheet: SheetRow) -> None:
        row_state = self._state.get(sheet.kind, sheet.name)
        self._places[f"{sheet.kind.value}/{sheet.name}"] = sheet.place
        required = required_columns(sheet.kind)
        defaults = {
            column: default_cell(sheet.kind, column)
            for column in sheet.empty_columns
            if column not in required
        }
        cells = {**defaults, **sheet.cells}
        missing = [column for column in required if column in sheet.empty_columns]
        for column in missing:
            place = f"{sheet.place}, column {column}"
            self._findings.append(Finding(place, "", "a value"))
        if missing:
            return
        if row_state.row is None:
            self._plan_add(row_state, sheet.place, cells)
        elif self._check_not_stale(sheet, row_state, row_state.row, cells):
            self._plan_set(row_state, row_state.row, sheet.place, cells)

    def _check_not_stale(
        self,
        sheet: SheetRow,
        row_state: RowState,
        row: TableRow,
        cells: Mapping[str, Cell],
    ) -> bool:
        """Add findings for cells that may have changed since the sheet was exported.

        Returns
        -------
        bool
            Whether the sheet has the row's current version or agrees with its cells.
        """
        if sheet.version in (None, row_state.version):
            return True
        current_cells = cells_of(sheet.kind, row)
        changed = [c for c, value in cells.items() if current_cells[c] != value]
        for column in changed:
            current_text = display_cell(column, current_cells[column])
            self._findings.append(
                Finding(
                    f"{sheet.place}, column {column}",
                    display_cell(column, cells[column]),
                    f"a sheet not older than the row: version {row_state.version} of "
                    f"{sheet.kind.value}/{sheet.name} has {current_text!r}, but the "
                    f"sheet was exported at version {sheet.version}",
                )
            )
        return not changed

    def _plan_add(
        self, row_state: RowState, place: str, cells: Mapping[str, Cell]
    ) -> None:
        missing = [c for c in required_columns(row_state.kind) if c not in cells]
        for column in missing:
            self._findings.append(Finding(f"{place}, column {column}", "", "a value"))
        if missing:
            return
        row = make_row(row_state.kind, cells)
        self._check_planned_row(place, row_state, row)
        changes = {
            column: CellChange(None, value)
            for column, value in cells_of(row_state.kind, row).items()
        }
        self._append_edit(EditType.ADD, row_state, changes)

    def _plan_set(
        self, row_state: RowState, row: TableRow, place: str, cells: Mapping[str, Cell]
    ) -> None:
        current_cells = cells_of(row_state.kind, row)
        if cells.get("name", row_state.name) != row_state.name:
            expected = "the current name of the row"
            self._findings.append(Finding(place, str(cells["name"]), expected))
            return
        changes = {
            column: CellChange(current_cells[column], value)
            for column, value in cells.items()
            if current_cells[column] != value
        }
        if not changes:
            return
        self._check_planned_row(
            place, row_state, make_row(row_state.kind, {**current_cells, **cells})
        )
        self._append_edit(EditType.SET, row_state, changes)

    def _append_edit(
        self, type_: EditType, row_state: RowState, changes: dict[str, CellChange]
    ) -> None:
        self._edits.append(
            RowEdit(
                self._new_edit_id(),
                type_,
                row_state.kind,
                row_state.name,
                changes,
                row_state.version,
            )
        )

    def _check_planned_row(
        self, place: str, row_state: RowState, row: TableRow
    ) -> None:
        self._places[f"{row_state.kind.value}/{row_state.name}"] = place
        self._planned_rows[row_state.kind, row_state.name] = row
        self._findings += [
            self._with_sheet_place(finding)
            for finding in check_row(row_state.kind, row)
        ]

    def _with_sheet_place(self, finding: Finding) -> Finding:
        """Return a finding with the row's name replaced by its place in the sheet."""
        name, _, column = finding.place.partition(" ")
        place = self._places.get(name, name)
        return Finding(f"{place}, column {column}", finding.value, finding.expected)


def _sort_key(edit: RowEdit) -> tuple[bool, int]:
    index = _ADD_ORDER.index(edit.kind)
    if edit.type is EditType.REMOVE:
        return True, -index
    return False, index
