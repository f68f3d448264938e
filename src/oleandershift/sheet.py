"""Import and export of the table as CSV files for spreadsheets."""

import csv
import io
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from oleandershift.cells import (
    Cell,
    cells_of,
    columns,
    expected_cell,
    format_cell,
    parse_cell,
)
from oleandershift.edits import RowState
from oleandershift.exceptions import Finding
from oleandershift.rows import RowKind

BYTE_ORDER_MARK = "\ufeff"
KIND_COLUMN = "kind"
VERSION_COLUMN = "version"
DELIMITERS = ";\t,"
FIRST_DATA_ROW = 2

_ALL_COLUMNS = dict.fromkeys(column for kind in RowKind for column in columns(kind))
_DECIMAL_COLUMNS = frozenset({"weight", "max_rate"})


@dataclass(frozen=True)
class SheetRow:
    """One row of a sheet.

    Parameters
    ----------
    place : str
        Row number as shown by the spreadsheet.
    kind : RowKind
        Kind of the row.
    name : str
        Name of the row.
    cells : dict of str to Cell
        Values by column, without empty cells and columns missing from the sheet.
    empty_columns : frozenset of str
        Columns whose cell is empty.
    version : int or None
        Version of the row when it was exported.
    """

    place: str
    kind: RowKind
    name: str
    cells: dict[str, Cell] = field(default_factory=dict)
    empty_columns: frozenset[str] = frozenset()
    version: int | None = None


SheetResult = Result[tuple[SheetRow, ...], tuple[Finding, ...]]


def read_sheet(data: bytes, kind: RowKind | None = None) -> SheetResult:
    """Return the rows of a CSV file, or all errors in it.

    Parameters
    ----------
    data : bytes
        UTF-8 text with or without a byte order mark, with `,`, `;` or tab as delimiter
        and any line endings. With `;` or tab, numbers may have a decimal comma.
    kind : RowKind, optional
        Kind of all rows; when omitted, the sheet must have a `kind` column.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        return Failure((Finding(f"byte {exc.start}", "", "text in UTF-8"),))
    delimiter = _detect_delimiter(text)
    lines = list(csv.reader(io.StringIO(text, newline=""), delimiter=delimiter))
    if not lines:
        return Failure((Finding("row 1", "", "a row of column names"),))
    reader = _SheetReader(kind, [cell.strip().lower() for cell in lines[0]], delimiter)
    return reader.read(lines[1:])


def write_sheet(
    states: Iterable[RowState], kind: RowKind | None = None, delimiter: str = ","
) -> bytes:
    """Write rows as a CSV file for spreadsheets, which `read_sheet` can read back.

    Parameters
    ----------
    states : iterable of RowState
        Rows that aren't removed.
    kind : RowKind, optional
        Kind of all rows; when omitted, the sheet gets a `kind` column.
    delimiter : str
        Delimiter between cells.
    """
    header = [*(columns(kind) if kind else (KIND_COLUMN, *_ALL_COLUMNS))]
    header.append(VERSION_COLUMN)
    buffer = io.StringIO(newline="")
    writer = csv.DictWriter(buffer, header, restval="", delimiter=delimiter)
    writer.writeheader()
    for state in states:
        writer.writerow(_format_line(state, kind is None))
    return (BYTE_ORDER_MARK + buffer.getvalue()).encode()


def _format_line(state: RowState, with_kind: bool) -> dict[str, str]:
    assert state.row is not None
    cells = cells_of(state.kind, state.row)
    line = {column: format_cell(value) for column, value in cells.items()}
    line[VERSION_COLUMN] = str(state.version)
    if with_kind:
        line[KIND_COLUMN] = state.kind.value
    return line


def _detect_delimiter(text: str) -> str:
    first_line = text.partition("\n")[0]
    return max(reversed(DELIMITERS), key=first_line.count)


class _SheetReader:
    """Parses the lines of one sheet and collects findings."""

    def __init__(self, kind: RowKind | None, header: list[str], delimiter: str) -> None:
        self._kind = kind
        self._header = header
        self._decimal_comma = delimiter != ","
        self._findings: list[Finding] = []
        self._first_places: dict[tuple[RowKind, str], str] = {}

    def read(self, lines: Sequence[Sequence[str]]) -> SheetResult:
        """Parse the lines and return the rows, or the findings if there are any."""
        self._check_header()
        if self._findings:
            return Failure(tuple(self._findings))
        rows = [
            row
            for number, line in enumerate(lines, FIRST_DATA_ROW)
            for row in self._parse_row(f"row {number}", line)
        ]
        if self._findings:
            return Failure(tuple(self._findings))
        return Success(tuple(rows))

    def _add_finding(self, place: str, value: str, expected: str) -> None:
        self._findings.append(Finding(place, value, expected))

    def _check_header(self) -> None:
        allowed = {*_ALL_COLUMNS, VERSION_COLUMN, KIND_COLUMN}
        if self._kind is not None:
            allowed = {*columns(self._kind), VERSION_COLUMN, KIND_COLUMN}
        for number, column in enumerate(self._header, 1):
            location = f"row 1, column {number}"
            if column not in allowed:
                self._add_finding(
                    location, column, "one of " + ", ".join(sorted(allowed))
                )
            elif column in self._header[: number - 1]:
                self._add_finding(location, column, "each column once")
        required = ["name"] if self._kind else ["name", KIND_COLUMN]
        for column in required:
            if column not in self._header:
                self._add_finding("row 1", "", f"a column {column}")

    def _parse_row(self, place: str, line: Sequence[str]) -> Iterator[SheetRow]:
        if not any(cell.strip() for cell in line):
            return
        if any(cell.strip() for cell in line[len(self._header) :]):
            self._add_finding(
                place, line[len(self._header)], "no cell after the last column"
            )
            return
        texts = dict(zip(self._header, (cell.strip() for cell in line), strict=False))
        kind = self._parse_kind(place, texts.pop(KIND_COLUMN, ""))
        version = self._parse_version(place, texts.pop(VERSION_COLUMN, ""))
        if kind is None:
            return
        self._check_name(place, kind, texts.get("name", ""))
        name = texts.get("name", "")
        cells = dict(self._parse_cells(place, kind, texts))
        empty = frozenset(c for c, t in texts.items() if not t and c in columns(kind))
        yield SheetRow(place, kind, name, cells, empty, version)

    def _parse_kind(self, place: str, text: str) -> RowKind | None:
        if self._kind is not None and text in ("", self._kind.value):
            return self._kind
        allowed = [self._kind] if self._kind else list(RowKind)
        for kind in allowed:
            if kind.value == text:
                return kind
        choices = ", ".join(kind.value for kind in allowed)
        self._add_finding(f"{place}, column {KIND_COLUMN}", text, choices)
        return None

    def _parse_version(self, place: str, text: str) -> int | None:
        if not text:
            return None
        if not text.isascii() or not text.isdigit():
            self._add_finding(
                f"{place}, column {VERSION_COLUMN}", text, "a whole number"
            )
            return None
        return int(text)

    def _check_name(self, place: str, kind: RowKind, name: str) -> None:
        if not name:
            self._add_finding(f"{place}, column name", name, "the name of the row")
            return
        first = self._first_places.setdefault((kind, name), place)
        if first != place:
            expected = f"each name once; it is also in {first}"
            self._add_finding(f"{place}, column name", name, expected)

    def _parse_cells(
        self, place: str, kind: RowKind, texts: dict[str, str]
    ) -> Iterator[tuple[str, Cell]]:
        for column, text in texts.items():
            if not text:
                continue
            location = f"{place}, column {column}"
            if column not in columns(kind):
                self._add_finding(
                    location, text, f"no value, as {kind.value} have no {column}"
                )
                continue
            if column in _DECIMAL_COLUMNS and self._decimal_comma:
                text = text.replace(",", ".")
            result = parse_cell(column, text)
            if isinstance(result, Failure):
                self._add_finding(location, text, expected_cell(column))
            else:
                yield column, result.unwrap()
