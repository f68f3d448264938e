"""Commands of `oleander table` that import, export, compare and check sheets."""

import argparse
import sys
from pathlib import Path

from returns.result import Failure

from oleandershift.checks import check_row
from oleandershift.cli.options import print_json
from oleandershift.cli.session import Session
from oleandershift.edits import EditType, RowEdit
from oleandershift.exceptions import Finding, OleanderError, TableError
from oleandershift.history import CellEntry, HistoryEntry, make_entry
from oleandershift.plan import EditPlanner
from oleandershift.rows import RowKind
from oleandershift.sheet import read_sheet, write_sheet
from oleandershift.table import AcceptedEdit, TableState, check_table

STDIO_PATH = "-"


def import_sheet(args: argparse.Namespace) -> int:
    """Change the table to match a sheet; a sheet with findings changes nothing."""
    session = Session.open(args)
    state = session.read_table()
    session.apply_plan(state, _plan_import(session, state).result())
    return 0


def export_sheet(args: argparse.Namespace) -> int:
    """Write the rows of the table to a sheet."""
    kind = RowKind(args.kind) if args.kind else None
    state = Session.open(args).read_table()
    data = write_sheet(state.live_rows(kind), kind, ";" if args.semicolon else ",")
    if args.file == STDIO_PATH:
        sys.stdout.buffer.write(data)
        return 0
    try:
        Path(args.file).write_bytes(data)
    except OSError as exc:
        raise OleanderError(f"{args.file}: {exc.strerror}") from exc
    return 0


def diff_sheet(args: argparse.Namespace) -> int:
    """Print the edits that an import of the sheet would make."""
    session = Session.open(args)
    state = session.read_table()
    result = _plan_import(session, state).result()
    if isinstance(result, Failure):
        raise TableError(result.failure())
    entries = [_diff_entry(edit) for edit in result.unwrap()]
    if args.json:
        print_json(entries)
        return 0
    for entry in entries:
        print(f"{entry.type} {entry.kind}/{entry.name}")
        for cell in entry.cells:
            print(f"    {cell.column}: {cell.old!r} -> {cell.new!r}")
    if not entries:
        print("no difference")
    return 0


def check(args: argparse.Namespace) -> int:
    """Check the table, or the import of a sheet into it."""
    session = Session.open(args)
    state = session.read_table()
    findings = _check_table_state(state)
    if args.file:
        result = _plan_import(session, state).result()
        findings = result.failure() if isinstance(result, Failure) else ()
    if args.json:
        print_json(findings)
    if findings:
        raise TableError(findings)
    if not args.json:
        print("no findings")
    return 0


def _check_table_state(state: TableState) -> tuple[Finding, ...]:
    rows = [(live.kind, live.row) for live in state.live_rows() if live.row]
    findings = list(state.findings)
    for kind, row in rows:
        findings += check_row(kind, row)
    return (*findings, *check_table(row for _, row in rows))


def _plan_import(session: Session, state: TableState) -> EditPlanner:
    args = session.args
    kind = _sheet_kind(args)
    result = read_sheet(_read_file(args.file), kind)
    if isinstance(result, Failure):
        raise TableError(result.failure())
    rows = result.unwrap()
    planner = session.planner(state)
    prune = {row.kind for row in rows} if getattr(args, "prune", False) else set()
    planner.import_sheet(rows, prune)
    return planner


def _sheet_kind(args: argparse.Namespace) -> RowKind | None:
    """Return the kind from `--kind` or from a file name such as `teams.csv`."""
    if args.kind:
        return RowKind(args.kind)
    stem = Path(args.file).stem
    return next((kind for kind in RowKind if kind.value == stem), None)


def _read_file(path: str) -> bytes:
    if path == STDIO_PATH:
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise OleanderError(f"{path}: {exc.strerror}") from exc


def _diff_entry(edit: RowEdit) -> HistoryEntry:
    entry = make_entry(AcceptedEdit(edit, edit.version), 0.0, "")
    if edit.type is not EditType.REMOVE:
        return entry
    cells = (CellEntry("name", edit.name, ""),)
    return HistoryEntry(
        at=0.0,
        operator="",
        edit=edit.edit_id,
        type=entry.type,
        kind=entry.kind,
        name=entry.name,
        version=entry.version,
        cells=cells,
    )
