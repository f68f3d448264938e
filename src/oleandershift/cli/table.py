"""Command `oleander table`: read and edit the operators' table."""

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
    """One row as text for display, with the number of keys in place of the keys."""

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
    _add_query_actions(actions)
    _add_edit_actions(actions)
    _add_sheet_actions(actions)
    _add_key_actions(actions)


def run(args: argparse.Namespace) -> int:
    """Run the chosen action and return the exit code."""
    action: _Action = args.run_action
    return action(args)


def _add_query_actions(actions: _Subparsers) -> None:
    parser = _add_query_parser(actions, "get", show_rows, "show rows")
    parser.add_argument("row", nargs="?", default="", help="KIND or KIND/NAME")
    parser = _add_query_parser(
        actions, "history", show_history, "show accepted edits, oldest first"
    )
    parser.add_argument("row", nargs="?", default="", help=_ROW_HELP)
    parser.add_argument(
        "--hours",
        type=float,
        default=DEFAULT_HISTORY_HOURS,
        help=f"hours of history to show (default: {DEFAULT_HISTORY_HOURS})",
    )


def _add_edit_actions(actions: _Subparsers) -> None:
    parser = _add_edit_parser(actions, "set", edits.set_cells, "set cells of a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("cells", nargs="+", metavar="COLUMN=VALUE")
    parser.add_argument(
        "--was",
        action="append",
        default=[],
        metavar="COLUMN=VALUE",
        help="refuse if the cell no longer has this value",
    )
    parser = _add_edit_parser(actions, "add", edits.add_row, "add a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)
    parser.add_argument("cells", nargs="*", metavar="COLUMN=VALUE")
    parser = _add_edit_parser(actions, "remove", edits.remove_row, "remove a row")
    parser.add_argument("row", metavar="ROW", help=_ROW_HELP)


def _add_sheet_actions(actions: _Subparsers) -> None:
    parser = _add_edit_parser(
        actions, "import", sheets.import_sheet, "import rows from a CSV file"
    )
    _add_sheet_arguments(parser)
    parser.add_argument(
        "--prune",
        action="store_true",
        help="also remove rows that are not in the sheet, of the kinds in the sheet",
    )
    parser = _add_query_parser(
        actions, "diff", sheets.diff_sheet, "show what an import would change"
    )
    _add_sheet_arguments(parser)
    parser.add_argument("--prune", action="store_true", help="as for import")
    parser = _add_query_parser(
        actions, "check", sheets.check, "check the table, or a CSV file"
    )
    _add_sheet_arguments(parser, nargs="?")
    parser = actions.add_parser("export", help="write rows to a CSV file")
    parser.add_argument("file", nargs="?", default="-", help="- for standard output")
    _add_kind_flag(parser)
    parser.add_argument(
        "--semicolon",
        action="store_true",
        help="separate cells with semicolons, not commas",
    )
    add_settings(parser, QUERY_SETTINGS)
    parser.set_defaults(run_action=sheets.export_sheet)


def _add_key_actions(actions: _Subparsers) -> None:
    parser = actions.add_parser("key", help="create and remove callers' keys")
    keys = parser.add_subparsers(dest="key_action", metavar="ACTION", required=True)
    parser = _add_edit_parser(
        keys, "add", edits.add_key, "create a key and print it once"
    )
    parser.add_argument("team")
    parser = _add_edit_parser(keys, "remove", edits.remove_key, "remove the older key")
    parser.add_argument("team")
    parser.add_argument(
        "--newest", action="store_true", help="remove the newest key instead"
    )


def _add_sheet_arguments(
    parser: argparse.ArgumentParser, nargs: str | None = None
) -> None:
    parser.add_argument("file", nargs=nargs, help="CSV file, or - for standard input")
    _add_kind_flag(parser)


def _add_kind_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--kind",
        choices=[kind.value for kind in RowKind],
        help="kind of all rows; by default from a column or the file name",
    )


def _add_query_parser(
    actions: _Subparsers, name: str, action: _Action, help_text: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(
        name, help=help_text, description=help_text.capitalize() + "."
    )
    add_json_flag(parser)
    add_settings(parser, QUERY_SETTINGS)
    parser.set_defaults(run_action=action)
    return parser


def _add_edit_parser(
    actions: _Subparsers, name: str, action: _Action, help_text: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(
        name, help=help_text, description=help_text.capitalize() + "."
    )
    parser.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="wait until the edit is in force on all live VMs; list the VMs without it",
    )
    add_json_flag(parser)
    add_settings(parser, EDIT_SETTINGS)
    parser.set_defaults(run_action=action)
    return parser


def show_rows(args: argparse.Namespace) -> int:
    """Print rows of the table."""
    state = Session.open(args).read_table()
    kind, name = _parse_row_filter(args.row)
    matches = [row for row in state.live_rows(kind) if name in ("", row.name)]
    if args.json:
        print_json([_make_view(row) for row in matches])
        return 0
    for row_kind in RowKind:
        rows = [row for row in matches if row.kind is row_kind]
        if rows:
            _print_rows(row_kind, rows)
    return 0


def show_history(args: argparse.Namespace) -> int:
    """Print accepted edits, oldest first."""
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


def _parse_row_filter(row: str) -> tuple[RowKind | None, str]:
    if not row:
        return None, ""
    if "/" in row:
        return parse_row(row)
    kind, _ = parse_row(f"{row}/any")
    return kind, ""


def _make_view(state: RowState) -> RowView:
    assert state.row is not None
    cells = cells_of(state.kind, state.row)
    texts = {column: display_cell(column, value) for column, value in cells.items()}
    return RowView(state.kind.value, state.name, state.version, texts)


def _print_rows(kind: RowKind, rows: Sequence[RowState]) -> None:
    header = [*columns(kind), "version"]
    lines = [header]
    for row in rows:
        view = _make_view(row)
        lines.append([*view.cells.values(), str(view.version)])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    print(kind.value)
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  " + "  ".join(cells).rstrip())
