"""Command `oleander table`: the operators' table."""

import argparse
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import TypeAlias

import msgspec

from oleandershift.cells import cells_of, columns, display_cell
from oleandershift.cli import edits, sheets
from oleandershift.cli.options import add_json_flag, add_settings, print_json
from oleandershift.cli.session import (
    EDIT_SETTINGS,
    QUERY_SETTINGS,
    Session,
    describe_entry,
    parse_row,
)
from oleandershift.edits import RowState
from oleandershift.rows import RowKind

SECONDS_PER_HOUR = 3600
DEFAULT_HISTORY_HOURS = 24

_Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"
_Action: TypeAlias = Callable[[argparse.Namespace], int]

_ROW_HELP = "KIND/NAME; KIND is services, upstreams or teams"


class RowView(msgspec.Struct, frozen=True):
    """One row for people and programs; of keys only the number."""

    kind: str
    name: str
    version: int
    cells: dict[str, str]


def add_parser(subparsers: _Subparsers) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "table",
        help="read and edit services, upstreams and teams",
        description="Read and edit the table of services, upstreams and teams.",
    )
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    _add_queries(actions)
    _add_edits(actions)
    _add_sheets(actions)
    _add_keys(actions)


def run(args: argparse.Namespace) -> int:
    """Run the command."""
    action: _Action = args.run_action
    return action(args)


def _add_queries(actions: _Subparsers) -> None:
    parser = _query(actions, "get", show_rows, "show rows")
    parser.add_argument("row", nargs="?", default="", help="KIND or KIND/NAME")
    parser = _query(
        actions, "history", show_history, "show accepted edits, oldest first"
    )
    parser.add_argument("row", nargs="?", default="", help=_ROW_HELP)
    parser.add_argument(
        "--hours",
        type=float,
        default=DEFAULT_HISTORY_HOURS,
        help=f"how far back ({DEFAULT_HISTORY_HOURS})",
    )


def _add_edits(actions: _Subparsers) -> None:
    parser = _edit(actions, "set", edits.set_cells, "set cells of a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("cells", nargs="+", metavar="COLUMN=VALUE")
    parser.add_argument(
        "--was",
        action="append",
        default=[],
        metavar="COLUMN=VALUE",
        help="refuse if the cell no longer has this value",
    )
    parser = _edit(actions, "add", edits.add_row, "add a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("cells", nargs="*", metavar="COLUMN=VALUE")
    parser = _edit(actions, "remove", edits.remove_row, "remove a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)


def _add_sheets(actions: _Subparsers) -> None:
    parser = _edit(actions, "import", sheets.import_sheet, "take rows from a CSV file")
    _add_sheet(parser)
    parser.add_argument(
        "--prune",
        action="store_true",
        help="remove the rows that the sheet lacks, of the kinds that it has",
    )
    parser = _query(actions, "diff", sheets.diff_sheet, "show what import would do")
    _add_sheet(parser)
    parser.add_argument("--prune", action="store_true", help="as for import")
    parser = _query(actions, "check", sheets.check, "check the table, or a CSV file")
    _add_sheet(parser, nargs="?")
    parser = actions.add_parser("export", help="write rows to a CSV file")
    parser.add_argument("file", nargs="?", default="-", help="- for standard output")
    _add_kind(parser)
    parser.add_argument(
        "--semicolon", action="store_true", help="put ; between cells, not a comma"
    )
    add_settings(parser, QUERY_SETTINGS)
    parser.set_defaults(run_action=sheets.export_sheet)


def _add_keys(actions: _Subparsers) -> None:
    parser = actions.add_parser("key", help="make and remove callers' keys")
    keys = parser.add_subparsers(dest="key_action", metavar="ACTION", required=True)
    parser = _edit(keys, "add", edits.add_key, "make a key and print it once")
    parser.add_argument("team")
    parser = _edit(keys, "remove", edits.remove_key, "remove the older key")
    parser.add_argument("team")
    parser.add_argument(
        "--newest", action="store_true", help="remove the newest key instead"
    )


def _add_sheet(parser: argparse.ArgumentParser, nargs: str | None = None) -> None:
    parser.add_argument("file", nargs=nargs, help="CSV file, or - for standard input")
    _add_kind(parser)


def _add_kind(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--kind",
        choices=[kind.value for kind in RowKind],
        help="kind of all rows; else a column or the file's name tells",
    )


def _query(
    actions: _Subparsers, name: str, action: _Action, text: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text, description=text.capitalize() + ".")
    add_json_flag(parser)
    add_settings(parser, QUERY_SETTINGS)
    parser.set_defaults(run_action=action)
    return parser


def _edit(
    actions: _Subparsers, name: str, action: _Action, text: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text, description=text.capitalize() + ".")
    parser.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="wait until it is in force on every live VM; name those where it is not",
    )
    add_json_flag(parser)
    add_settings(parser, EDIT_SETTINGS)
    parser.set_defaults(run_action=action)
    return parser


def show_rows(args: argparse.Namespace) -> int:
    """Show rows."""
    state = Session.open(args).read_table()
    kind, name = _wanted(args.row)
    found = [row for row in state.live_rows(kind) if name in ("", row.name)]
    if args.json:
        print_json([_view(row) for row in found])
        return 0
    for shown in RowKind:
        rows = [row for row in found if row.kind is shown]
        if rows:
            _print_rows(shown, rows)
    return 0


def show_history(args: argparse.Namespace) -> int:
    """Show accepted edits."""
    session = Session.open(args)
    row = None
    if args.row:
        kind, name = parse_row(args.row)
        row = (kind.value, name)
    since = max(0.0, time.time() - args.hours * SECONDS_PER_HOUR)
    entries = session.history.read(since, session.deadline(), row)
    if args.json:
        print_json(entries)
        return 0
    for entry in entries:
        at = datetime.fromtimestamp(entry.at, UTC).isoformat(timespec="seconds")
        print(f"{at} {entry.operator}: {describe_entry(entry)}")
    return 0


def _wanted(row: str) -> tuple[RowKind | None, str]:
    if not row:
        return None, ""
    if "/" in row:
        return parse_row(row)
    kind, _ = parse_row(f"{row}/any")
    return kind, ""


def _view(state: RowState) -> RowView:
    assert state.row is not None
    cells = cells_of(state.kind, state.row)
    shown = {column: display_cell(column, value) for column, value in cells.items()}
    return RowView(state.kind.value, state.name, state.version, shown)


def _print_rows(kind: RowKind, rows: Sequence[RowState]) -> None:
    header = [*columns(kind), "version"]
    lines = [header]
    for row in rows:
        view = _view(row)
        lines.append([*view.cells.values(), str(view.version)])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    print(kind.value)
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  " + "  ".join(cells).rstrip())
