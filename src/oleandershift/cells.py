"""Cells of the operators' table as text: columns, parsing and printing."""

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
"""Value of a cell, of the type that the row's struct gives it."""


@dataclass(frozen=True)
class CellFormat:
    """How the text of a cell is read.

    Parameters
    ----------
    parse : callable
        Turns text into the value; raises `ValueError`.
    expected : str
        What is allowed, for findings.
    """

    parse: Callable[[str], Cell]
    expected: str


def _items(value: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in value.split(LIST_SEPARATOR) if part.strip())


def _one_of(states: type[Enum]) -> CellFormat:
    words = [state.value for state in states]
    return CellFormat(lambda value: states(value.lower()), " or ".join(words))


def _integer(value: str) -> int:
    if not value.removeprefix("-").isascii() or not value.removeprefix("-").isdigit():
        raise ValueError(value)
    return int(value)


_TEXT = CellFormat(str, "text")
_INTEGER = CellFormat(_integer, "a whole number")
_NUMBER = CellFormat(float, "a number")
_LIST = CellFormat(_items, f"texts with '{LIST_SEPARATOR}' between")

_FORMS: dict[str, CellFormat] = {
    "name": _TEXT,
    "mode": _one_of(ServiceMode),
    "non_idempotent": _LIST,
    "max_body_bytes": _INTEGER,
    "service": _TEXT,
    "region": _TEXT,
    "url": _TEXT,
    "slots": _INTEGER,
    "state": _one_of(UpstreamState),
    "weight": _NUMBER,
    "key_hashes": _LIST,
    "max_waiting": _INTEGER,
    "max_running": _INTEGER,
    "max_rate": _NUMBER,
}

_HIDDEN = frozenset({"edit", "earlier_edits"})


def columns(kind: RowKind) -> tuple[str, ...]:
    """Return the columns of a kind, the name first."""
    fields = msgspec.structs.fields(ROW_TYPES[kind])
    return tuple(field.name for field in fields if field.name not in _HIDDEN)


def required_columns(kind: RowKind) -> tuple[str, ...]:
    """Return the columns without a default."""
    fields = msgspec.structs.fields(ROW_TYPES[kind])
    return tuple(field.name for field in fields if field.required)


def default_cell(kind: RowKind, column: str) -> Cell:
    """Return the default of a column that has one."""
    fields = {field.name: field for field in msgspec.structs.fields(ROW_TYPES[kind])}
    return fields[column].default


def expected_cell(column: str) -> str:
    """Return what a column allows, for findings."""
    return _FORMS[column].expected


def parse_cell(column: str, text: str) -> Result[Cell, str]:
    """Return the value of a cell, or what the column allows."""
    form = _FORMS[column]
    try:
        return Success(form.parse(text.strip()))
    except ValueError:
        return Failure(form.expected)


def format_cell(value: Cell) -> str:
    """Return the text of a cell, which `parse_cell` reads back."""
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return LIST_SEPARATOR.join(value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def display_cell(column: str, value: Cell) -> str:
    """Return a cell for people; of keys only the number."""
    if column == KEY_COLUMN:
        return f"{len(value)} keys" if len(value) != 1 else "1 key"
    return format_cell(value)


def cells_of(kind: RowKind, row: TableRow) -> dict[str, Cell]:
    """Return the cells of a row by column."""
    return {column: getattr(row, column) for column in columns(kind)}


def make_row(kind: RowKind, cells: Mapping[str, Cell]) -> TableRow:
    """Return a row of these cells; columns left out get their defaults."""
    return ROW_TYPES[kind](**cells)
