"""What it takes to bring the table to what a sheet or an operator asks for."""

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
    """Collects edits against one state of the table, and their findings.

    Parameters
    ----------
    state : TableState
        The table as it stands.
    new_edit : callable
        Makes ids of edits.
    """

    def __init__(self, state: TableState, new_edit_id: Callable[[], EditId]) -> None:
        self._state = state
        self._new_edit = new_edit_id
        self._edits: list[RowEdit] = []
        self._findings: list[Finding] = []
        self._after: dict[tuple[RowKind, str], TableRow] = {
            (found.kind, found.name): found.row
            for found in state.live_rows()
            if found.row is not None
        }
        self._places: dict[str, str] = {}

    def import_sheet(
        self, rows: Iterable[SheetRow], prune: Iterable[RowKind] = ()
    ) -> None:
        """Ask for the rows of a sheet.

        Parameters
        ----------
        rows : iterable of SheetRow
            The rows; an empty cell asks for the default, a missing column for no
            change.
        prune : iterable of Kind
            Kinds of which rows that the sheet lacks are removed.
        """
        listed = list(rows)
        for row in listed:
            self._put(row)
        names = {(row.kind, row.name) for row in listed}
        for kind in prune:
            for found in self._state.live_rows(kind):
                if (kind, found.name) not in names:
                    self.remove(kind, found.name)

    def add(self, kind: RowKind, name: str, cells: Mapping[str, Cell]) -> None:
        """Ask for a new row."""
        found = self._state.get(kind, name)
        where = f"{kind.value}/{name}"
        if found.row is not None:
            self._findings.append(Finding(where, name, "a name not yet in the table"))
            return
        self._add(found, where, {**cells, "name": name})

    def set(self, kind: RowKind, name: str, cells: Mapping[str, Cell]) -> None:
        """Ask for other values in a row's cells."""
        found = self._state.get(kind, name)
        if found.row is None:
            where = f"{kind.value}/{name}"
            self._findings.append(Finding(where, name, "a row of the table"))
            return
        self._set(found, found.row, f"{kind.value}/{name}", cells)

    def remove(self, kind: RowKind, name: str) -> None:
        """Ask for a row's removal."""
        found = self._state.get(kind, name)
        if found.row is None:
            where = f"{kind.value}/{name}"
            self._findings.append(Finding(where, name, "a row of the table"))
            return
        del self._after[kind, name]
        self._edits.append(
            RowEdit(
                self._new_edit(), EditType.REMOVE, kind, name, version=found.version
            )
        )

    def result(self) -> Result[tuple[RowEdit, ...], tuple[Finding, ...]]:
        """Return the edits in the order to apply them, or everything that is wrong.

        Services come before the upstreams that need them, and are removed after.
        """
        findings = [
            *self._findings,
            *(self._placed(found) for found in check_table(self._after.values())),
        ]
        if findings:
            return Failure(tuple(findings))
        return Success(tuple(sorted(self._edits, key=_order)))

    # Parts

    def _put(self, sheet: SheetRow) -> None:
        found = self._state.get(sheet.kind, sheet.name)
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
            where = f"{sheet.place}, column {column}"
            self._findings.append(Finding(where, "", "a value"))
        if missing:
            return
        if found.row is None:
            self._add(found, sheet.place, cells)
        elif self._is_current(sheet, found, found.row, cells):
            self._set(found, found.row, sheet.place, cells)

    def _is_current(
        self, sheet: SheetRow, found: RowState, row: TableRow, cells: Mapping[str, Cell]
    ) -> bool:
        """Find cells that another operator may have changed since the export."""
        if sheet.version in (None, found.version):
            return True
        held = cells_of(sheet.kind, row)
        changed = [c for c, value in cells.items() if held[c] != value]
        for column in changed:
            now = display_cell(column, held[column])
            self._findings.append(
                Finding(
                    f"{sheet.place}, column {column}",
                    display_cell(column, cells[column]),
                    f"a sheet not older than the row: version {found.version} of "
                    f"{sheet.kind.value}/{sheet.name} has {now!r}, the sheet was "
                    f"exported at version {sheet.version}",
                )
            )
        return not changed

    def _add(self, found: RowState, where: str, cells: Mapping[str, Cell]) -> None:
        missing = [c for c in required_columns(found.kind) if c not in cells]
        for column in missing:
            self._findings.append(Finding(f"{where}, column {column}", "", "a value"))
        if missing:
            return
        row = make_row(found.kind, cells)
        self._check(where, found, row)
        changes = {
            column: CellChange(None, value)
            for column, value in cells_of(found.kind, row).items()
        }
        self._edit(EditType.ADD, found, changes)

    def _set(
        self, found: RowState, row: TableRow, where: str, cells: Mapping[str, Cell]
    ) -> None:
        held = cells_of(found.kind, row)
        if cells.get("name", found.name) != found.name:
            expected = "the name that the row has"
            self._findings.append(Finding(where, str(cells["name"]), expected))
            return
        changes = {
            column: CellChange(held[column], value)
            for column, value in cells.items()
            if held[column] != value
        }
        if not changes:
            return
        self._check(where, found, make_row(found.kind, {**held, **cells}))
        self._edit(EditType.SET, found, changes)

    def _edit(
        self, type_: EditType, found: RowState, changes: dict[str, CellChange]
    ) -> None:
        self._edits.append(
            RowEdit(
                self._new_edit(),
                type_,
                found.kind,
                found.name,
                changes,
                found.version,
            )
        )

    def _check(self, where: str, found: RowState, row: TableRow) -> None:
        self._places[f"{found.kind.value}/{found.name}"] = where
        self._after[found.kind, found.name] = row
        self._findings += [self._placed(f) for f in check_row(found.kind, row)]

    def _placed(self, finding: Finding) -> Finding:
        """Return a finding with its row in the sheet in place of the row's name."""
        name, _, column = finding.place.partition(" ")
        where = self._places.get(name, name)
        return Finding(f"{where}, column {column}", finding.value, finding.expected)


def _order(edit: RowEdit) -> tuple[bool, int]:
    index = _ADD_ORDER.index(edit.kind)
    if edit.type is EditType.REMOVE:
        return True, -index
    return False, index
