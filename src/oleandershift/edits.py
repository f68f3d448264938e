"""Edits of rows, and merging them with other operators' edits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.cells import Cell, cells_of, display_cell, make_row
from oleandershift.checks import cell_location, check_row
from oleandershift.exceptions import ConflictError, Finding
from oleandershift.ids import EditId
from oleandershift.rows import RowKind, TableRow, decode_row

MAX_EARLIER_EDITS = 8


class EditType(Enum):
    """Type of an edit."""

    ADD = "add"
    SET = "set"
    REMOVE = "remove"


@dataclass(frozen=True)
class CellChange:
    """Change of one cell.

    Parameters
    ----------
    old : Cell
        Value that the operator saw.
    new : Cell
        Value to set.
    """

    old: Cell
    new: Cell


@dataclass(frozen=True)
class RowState:
    """State of a row in the platform's store.

    Parameters
    ----------
    kind : RowKind
        Kind of the row.
    name : str
        Name of the row.
    version : int
        Version of the stored object; 0 when there is none.
    row : TableRow or None
        The row; None when it is absent or removed.
    recent_edits : tuple of EditId
        The row's last edits, newest first.
    """

    kind: RowKind
    name: str
    version: int = 0
    row: TableRow | None = None
    recent_edits: tuple[EditId, ...] = ()


@dataclass(frozen=True)
class RowEdit:
    """One operator's edit of one row.

    Parameters
    ----------
    edit_id : EditId
        Id of the edit.
    type : EditType
        Whether it adds, changes or removes the row.
    kind : RowKind
        Kind of the row.
    name : str
        Name of the row.
    cells : mapping of str to CellChange
        Changed cells by column; all cells for an added row.
    version : int
        Version of the row that the operator saw.
    """

    edit_id: EditId
    type: EditType
    kind: RowKind
    name: str
    cells: Mapping[str, CellChange] = field(default_factory=dict)
    version: int = 0


class _RowMetadata(msgspec.Struct):
    deleted: bool = False
    edit: EditId = EditId("")
    earlier_edits: tuple[EditId, ...] = ()


def decode_row_state(kind: RowKind, name: str, version: int, value: bytes) -> RowState:
    """Decode a row's state from the platform's JSON.

    Raises
    ------
    msgspec.DecodeError
        When the JSON is not a row.
    """
    metadata = msgspec.json.decode(value, type=_RowMetadata)
    edits = (metadata.edit, *metadata.earlier_edits)
    row = None if metadata.deleted else decode_row(kind, value)
    return RowState(kind, name, version, row, edits)


def is_applied(edit: RowEdit, state: RowState) -> bool:
    """Return whether the edit is among the row's recent edits."""
    return edit.edit_id in state.recent_edits


def merge_edit(edit: RowEdit, state: RowState) -> Result[bytes, ConflictError]:
    """Merge an edit into the current state of its row.

    Parameters
    ----------
    edit : RowEdit
        The edit.
    state : RowState
        Current state of the row; cells that the edit doesn't touch may have changed
        since the operator saw it.

    Returns
    -------
    Result
        JSON of the new row, or the conflict with another operator's edit.
    """
    if edit.type is EditType.ADD:
        return _merge_add(edit, state)
    if state.row is None:
        requested = "removed" if edit.type is EditType.REMOVE else "changed"
        return Failure(ConflictError(_row_location(edit), requested, "no such row"))
    if edit.type is EditType.REMOVE:
        return _merge_remove(edit, state, state.row)
    return _merge_cells(edit, state, state.row)


def check_edit(edit: RowEdit, value: bytes) -> tuple[Finding, ...]:
    """Return the errors in the row that results from an edit."""
    if edit.type is EditType.REMOVE:
        return ()
    return check_row(edit.kind, decode_row(edit.kind, value))


def _row_location(edit: RowEdit) -> str:
    return f"{edit.kind.value}/{edit.name}"


def _merge_add(edit: RowEdit, state: RowState) -> Result[bytes, ConflictError]:
    if state.row is not None:
        current = "a row added in the meantime"
        return Failure(ConflictError(_row_location(edit), "a new row", current))
    cells = {column: change.new for column, change in edit.cells.items()}
    row = make_row(edit.kind, cells)
    return Success(msgspec.json.encode(_with_edit_ids(row, edit, state)))


def _merge_remove(
    edit: RowEdit, state: RowState, row: TableRow
) -> Result[bytes, ConflictError]:
    if state.version != edit.version:
        current = f"version {state.version}"
        requested = f"version {edit.version} removed"
        return Failure(ConflictError(_row_location(edit), requested, current))
    value = msgspec.to_builtins(_with_edit_ids(row, edit, state))
    return Success(msgspec.json.encode({**value, "deleted": True}))


def _merge_cells(
    edit: RowEdit, state: RowState, row: TableRow
) -> Result[bytes, ConflictError]:
    current = cells_of(edit.kind, row)
    for column, change in edit.cells.items():
        if current[column] not in (change.old, change.new):
            return Failure(
                ConflictError(
                    cell_location(edit.kind, edit.name, column),
                    display_cell(column, change.new),
                    display_cell(column, current[column]),
                )
            )
    new_cells = {column: change.new for column, change in edit.cells.items()}
    merged = make_row(edit.kind, {**current, **new_cells})
    return Success(msgspec.json.encode(_with_edit_ids(merged, edit, state)))


def _with_edit_ids(row: TableRow, edit: RowEdit, state: RowState) -> TableRow:
    earlier = tuple(edit_id for edit_id in state.recent_edits if edit_id)[
        :MAX_EARLIER_EDITS
    ]
    return msgspec.structs.replace(row, edit=edit.edit_id, earlier_edits=earlier)
