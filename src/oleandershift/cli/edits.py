"""Commands of `oleander table` that change a single row."""

import argparse

from oleandershift.cells import KEY_COLUMN, Cell, cells_of, display_cell
from oleandershift.checks import cell_location
from oleandershift.cli.session import Session, parse_cells, parse_row
from oleandershift.edits import RowState
from oleandershift.exceptions import ConflictError, Finding, TableError
from oleandershift.ids import TeamId
from oleandershift.keys import add_key_hash, generate_key, hash_key, remove_key_hash
from oleandershift.rows import RowKind, TeamRow
from oleandershift.table import TableState


def add_row(args: argparse.Namespace) -> int:
    """Add a row."""
    kind, name = parse_row(args.row)
    cells = parse_cells(kind, args.cells)
    session = Session.open(args)
    state = session.read_table()
    planner = session.planner(state)
    planner.add(kind, name, cells)
    session.apply_plan(state, planner.result())
    return 0


def set_cells(args: argparse.Namespace) -> int:
    """Set cells of a row."""
    kind, name = parse_row(args.row)
    cells = parse_cells(kind, args.cells)
    expected = parse_cells(kind, args.was)
    session = Session.open(args)
    state = session.read_table()
    _check_expected(state.get(kind, name), expected, cells)
    planner = session.planner(state)
    planner.set(kind, name, cells)
    session.apply_plan(state, planner.result())
    return 0


def remove_row(args: argparse.Namespace) -> int:
    """Remove a row."""
    kind, name = parse_row(args.row)
    session = Session.open(args)
    state = session.read_table()
    planner = session.planner(state)
    planner.remove(kind, name)
    session.apply_plan(state, planner.result())
    return 0


def add_key(args: argparse.Namespace) -> int:
    """Generate a key for a team and print it after the platform accepts it."""
    session = Session.open(args)
    state = session.read_table()
    team = _find_team(state, args.team)
    key = generate_key()
    hashes = add_key_hash(team.name, team.key_hashes, hash_key(key))
    planner = session.planner(state)
    planner.set(RowKind.TEAMS, team.name, {KEY_COLUMN: hashes})
    session.apply_plan(state, planner.result(), key)
    return 0


def remove_key(args: argparse.Namespace) -> int:
    """Remove a team's older key, or its newest key with `--newest`."""
    session = Session.open(args)
    state = session.read_table()
    team = _find_team(state, args.team)
    hashes = remove_key_hash(team.name, team.key_hashes, args.newest)
    planner = session.planner(state)
    planner.set(RowKind.TEAMS, team.name, {KEY_COLUMN: hashes})
    session.apply_plan(state, planner.result())
    return 0


def _find_team(state: TableState, name: str) -> TeamRow:
    row = state.get(RowKind.TEAMS, TeamId(name)).row
    if not isinstance(row, TeamRow):
        raise TableError((Finding(f"teams/{name}", name, "a team of the table"),))
    return row


def _check_expected(
    row_state: RowState, expected: dict[str, Cell], requested: dict[str, Cell]
) -> None:
    """Raise `ConflictError` when a cell no longer has its value from `--was`."""
    if row_state.row is None:
        return
    current = cells_of(row_state.kind, row_state.row)
    for column, value in expected.items():
        if current[column] != value:
            raise ConflictError(
                cell_location(row_state.kind, row_state.name, column),
                display_cell(column, requested.get(column, value)),
                display_cell(column, current[column]),
            )
