"""Settings, edits and output shared by the `oleander table` commands."""

import argparse
import getpass
import secrets
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result

from oleandershift.cells import Cell, columns, expected_cell, parse_cell
from oleandershift.cli.options import FLEET, PLATFORM_URL, address, print_json
from oleandershift.edits import RowEdit
from oleandershift.exceptions import Finding, OleanderError, SettingsError, TableError
from oleandershift.history import History, HistoryEntry, make_entry
from oleandershift.ids import EditId, FleetId, VmId
from oleandershift.io.force import wait_until_in_force
from oleandershift.io.platform import PlatformClient
from oleandershift.io.query import FleetClient
from oleandershift.messages import RowVersion
from oleandershift.plan import EditPlanner
from oleandershift.ratelimit import RateLimiter
from oleandershift.rows import RowKind
from oleandershift.settings import Setting, non_empty_text, seconds_between
from oleandershift.table import TableClient, TableState

EDIT_ID_BYTES = 8
HISTORY_TIMEOUT_SECONDS = 5.0
QUERY_TIMEOUT_SECONDS = 1.0
MAX_EDITS_PER_SECOND = 50.0

TIMEOUT = Setting(
    "timeout_seconds",
    seconds_between(0.1, 600),
    "0.1 to 600",
    "longest wait for the platform to store or return one row, seconds",
    "10",
)


def _optional_address(value: str) -> str:
    return address(value) if value else ""


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


QUERY_SETTINGS = (PLATFORM_URL, TIMEOUT)
EDIT_SETTINGS = (
    *QUERY_SETTINGS,
    FLEET,
    Setting(
        "operator",
        non_empty_text,
        "a name",
        "operator who makes the edit",
        _login_name(),
    ),
    Setting(
        "query_address",
        _optional_address,
        "ip:port",
        "query socket of any agent of the fleet, for --wait",
        "",
    ),
)


class EditReport(msgspec.Struct, frozen=True):
    """Result of an edit command.

    Parameters
    ----------
    accepted : tuple of HistoryEntry
        Edits that the platform accepted.
    in_force : tuple of VmId
        With `--wait`: all live VMs, each of which has the edits in force.
    key : str
        Key that the command generated; it is printed only here.
    """

    accepted: tuple[HistoryEntry, ...]
    in_force: tuple[VmId, ...] = ()
    key: str = ""


@dataclass(frozen=True)
class Session:
    """One run of a command, with its access to the platform.

    Parameters
    ----------
    args : argparse.Namespace
        Parsed and checked arguments.
    table : TableClient
        Client of the table.
    history : History
        History of accepted edits.
    """

    args: argparse.Namespace
    table: TableClient
    history: History

    @classmethod
    def open(cls, args: argparse.Namespace) -> "Session":
        """Return a session that uses the platform at `args.platform_url`."""
        store = PlatformClient(args.platform_url)
        return cls(args, TableClient(store), History(store))

    def deadline(self) -> float:
        """Return the deadline of a platform call that starts now, Unix seconds."""
        return time.time() + float(self.args.timeout_seconds)

    def read_table(self) -> TableState:
        """Return the current state of the whole table."""
        return self.table.read(self.deadline())

    def planner(self, state: TableState) -> EditPlanner:
        """Return a planner of edits that are based on `state`."""
        return EditPlanner(state, lambda: EditId(secrets.token_hex(EDIT_ID_BYTES)))

    def apply_plan(
        self,
        state: TableState,
        plan: Result[tuple[RowEdit, ...], tuple[Finding, ...]],
        key: str = "",
    ) -> None:
        """Apply planned edits, record them in the history, and wait if `--wait` is set.

        Parameters
        ----------
        state : TableState
            State of the table that the plan is based on.
        plan : Result
            Edits in the order to apply them, or the findings.
        key : str
            Key to print after the edit that stores its hash is accepted.

        Raises
        ------
        TableError
            When the plan has findings; no edit is applied in this case.
        OleanderError
            When an edit failed; the edits before it are printed and stay applied.
        """
        if isinstance(plan, Failure):
            raise TableError(plan.failure())
        self._check_wait_flags()
        entries: list[HistoryEntry] = []
        rate_limiter = RateLimiter(MAX_EDITS_PER_SECOND)
        try:
            for edit in plan.unwrap():
                now = time.time()
                time.sleep(rate_limiter.reserve(now) - now)
                entries.append(self._apply_edit(state, edit))
        except OleanderError:
            self._print_report(EditReport(tuple(entries)))
            raise
        self._print_report(
            EditReport(tuple(entries), self._wait_until_in_force(entries, key), key)
        )

    def _apply_edit(self, state: TableState, edit: RowEdit) -> HistoryEntry:
        row_state = state.get(edit.kind, edit.name)
        accepted = self.table.apply(edit, self.deadline(), row_state)
        entry = make_entry(accepted, time.time(), self.args.operator)
        if not self.history.write(entry, time.time() + HISTORY_TIMEOUT_SECONDS):
            warning = (
                f"warning: {describe_entry(entry)} is accepted but not in the history"
            )
            print(warning, file=sys.stderr)
        return entry

    def _check_wait_flags(self) -> None:
        if self.args.wait is not None and not self.args.query_address:
            place = "--query-address (OLEANDER_QUERY_ADDRESS)"
            raise SettingsError((Finding(place, "", "ip:port, which --wait requires"),))

    def _wait_until_in_force(
        self, entries: Sequence[HistoryEntry], key: str
    ) -> tuple[VmId, ...]:
        if self.args.wait is None or not entries:
            return ()
        client = FleetClient(
            FleetId(self.args.fleet), self.args.query_address, QUERY_TIMEOUT_SECONDS
        )
        versions = [RowVersion(e.kind, e.name, e.version) for e in entries]
        try:
            return wait_until_in_force(client, versions, time.time() + self.args.wait)
        except OleanderError:
            self._print_report(EditReport(tuple(entries), key=key))
            raise

    def _print_report(self, report: EditReport) -> None:
        if self.args.json:
            print_json(report)
            return
        for entry in report.accepted:
            print(f"accepted: {describe_entry(entry)}")
        if not report.accepted:
            print("nothing to change")
        if report.in_force:
            print(f"in force on {len(report.in_force)} VMs: ", end="")
            print(", ".join(report.in_force))
        if report.key:
            print(f"key (shown only once): {report.key}")


def describe_entry(entry: HistoryEntry) -> str:
    """Return a one-line description of a history entry."""
    cells = ", ".join(f"{c.column} {c.old!r} -> {c.new!r}" for c in entry.cells)
    row = f"{entry.type} {entry.kind}/{entry.name} (version {entry.version})"
    return f"{row}: {cells}" if cells else row


def parse_row(value: str) -> tuple[RowKind, str]:
    """Return the kind and name in `KIND/NAME`.

    Raises
    ------
    TableError
        When the text does not have this form.
    """
    kind, slash, name = value.partition("/")
    kinds = {row_kind.value: row_kind for row_kind in RowKind}
    if kind not in kinds or not slash or not name:
        expected = f"KIND/NAME, with KIND one of {', '.join(kinds)}"
        raise TableError((Finding("row", value, expected),))
    return kinds[kind], name


def parse_cells(kind: RowKind, assignments: Sequence[str]) -> dict[str, Cell]:
    """Return the cells given as arguments `COLUMN=VALUE`.

    Raises
    ------
    TableError
        With a finding for each invalid argument.
    """
    cells: dict[str, Cell] = {}
    findings: list[Finding] = []
    for assignment in assignments:
        column, equals, value = assignment.partition("=")
        if not equals or column not in columns(kind):
            expected = f"COLUMN=VALUE, with COLUMN one of {', '.join(columns(kind))}"
            findings.append(Finding("cell", assignment, expected))
            continue
        result = parse_cell(column, value)
        if isinstance(result, Failure):
            findings.append(Finding(f"cell {column}", value, expected_cell(column)))
        else:
            cells[column] = result.unwrap()
    if findings:
        raise TableError(tuple(findings))
    return cells
