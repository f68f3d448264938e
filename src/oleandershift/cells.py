"""Columns of the operators' table, and parsing and formatting of cells."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.rows import (
    ROW_TYPES,
    RowKind,
    ServiceMode,
    TableRow,
    UpstreamState,
)

LIST_SEPARATOR = "|"
KEY_COLUMN = "key_hashes"

Cell: TypeAlias = Any
"""Value of a cell, of the type declared by the field of the row's struct."""


@dataclass(frozen=True)
class CellFormat:
    """Text format of a column's cells.

    Parameters
    ----------
    parse : callable
        Converts text to a value; raises `ValueError`.
    expected : str
        Description of the allowed values, for findings.
    """

    parse: Callable[[str], Cell]
    expected: str


def _parse_list(value: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in value.split(LIST_SEPARATOR) if part.strip())


def _enum_format(enum_type: type[Enum]) -> CellFormat:
    choices = [member.value for member in enum_type]
    return CellFormat(lambda value: enum_type(value.lower()), " or ".join(choices))


def _parse_integer(value: str) -> int:
    if not value.removeprefix("-").isascii() or not value.removeprefix("-").isdigit():
        raise ValueError(value)
    return int(value)


_TEXT = CellFormat(str, "text")
_INTEGER = CellFormat(_parse_integer, "a whole number")
_NUMBER = CellFormat(float, "a number")
_LIST = CellFormat(_parse_list, f"values separated by '{LIST_SEPARATOR}'")

_FORMATS: dict[str, CellFormat] = {
    "name": _TEXT,
    "mode": _enum_format(ServiceMode),
    "non_idempotent": _LIST,
    "max_body_bytes": _INTEGER,
    "service": _TEXT,
    "region": _TEXT,
    "url": _TEXT,
    "slots": _INTEGER,
    "state": _enum_format(UpstreamState),
    "weight": _NUMBER,
    "key_hashes": _LIST,
    "max_waiting": _INTEGER,
    "max_running": _INTEGER,
    "max_rate": _NUMBER,
}

_HIDDEN_FIELDS = frozenset({"edit", "earlier_edits"})


def columns(kind: RowKind) -> tuple[str, ...]:
    """Return the columns of a kind of row, starting with `name`."""
    fields = msgspec.structs.fields(ROW_TYPES[kind])
    return tuple(field.name for field in fields if field.name not in _HIDDEN_FIELDS)


def required_columns(kind: RowKind) -> tuple[str, ...]:
    """Return the columns without a default."""
    fields = msgspec.structs.fields(ROW_TYPES[kind])
    return tuple(field.name for field in fields if field.required)


def default_cell(kind: RowKind, column: str) -> Cell:
    """Return the default value of an optional column."""
    fields = {field.name: field for field in msgspec.structs.fields(ROW_TYPES[kind])}
    return fields[column].default


def expected_cell(column: str) -> str:
    """Return a description of a column's allowed values, for findings."""
    return _FORMATS[column].expected


def parse_cell(column: str, text: str) -> Result[Cell, str]:
    """Parse a cell and return its value, or a description of the allowed values."""
    cell_format = _FORMATS[column]
    try:
        return Success(cell_format.parse(text.strip()))
    except ValueError:
        return Failure(cell_format.expected)


def format_cell(value: Cell) -> str:
    """Format a cell as text that `parse_cell` can read back."""
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return LIST_SEPARATOR.join(value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def display_cell(column: str, value: Cell) -> str:
    """Format a cell for display, showing only the number of keys."""
    if column == KEY_COLUMN:
        return f"{len(value)} keys" if len(value) != 1 else "1 key"
    return format_cell(value)


def cells_of(kind: RowKind, row: TableRow) -> dict[str, Cell]:
    """Return the cells of a row by column."""
    return {column: getattr(row, column) for column in columns(kind)}


def make_row(kind: RowKind, cells: Mapping[str, Cell]) -> TableRow:
    """Create a row from cells; omitted columns get their defaults."""
    return ROW_TYPES[kind](**cells)
