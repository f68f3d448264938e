"""Client that reads and edits the operators' table in the platform's store."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec
from returns.result import Failure, Success

from oleandershift.checks import check_row_json
from oleandershift.edits import (
    RowEdit,
    RowState,
    check_edit,
    decode_row_state,
    is_applied,
    merge_edit,
)
from oleandershift.exceptions import (
    Finding,
    PlatformUnavailableError,
    TableError,
)
from oleandershift.objects import (
    ObjectKind,
    ObjectResult,
    ObjectStore,
    StoredObject,
    StoreError,
    StoreFailure,
)
from oleandershift.rows import RowKind, ServiceRow, TableRow, UpstreamRow

CALL_TIMEOUT_SECONDS = 2.0
PAGE_SIZE_ROWS = 1000
RETRY_PAUSE_SECONDS = 0.2

RowKey: TypeAlias = tuple[RowKind, str]


@dataclass(frozen=True)
class TableState:
    """All rows of the table, read at about the same time.

    Parameters
    ----------
    rows : mapping of RowKey to RowState
        Every row, including removed ones.
    findings : tuple of Finding
        Errors in objects that aren't valid rows.
    """

    rows: Mapping[RowKey, RowState] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()

    def get(self, kind: RowKind, name: str) -> RowState:
        """Return a row; an absent one has version 0."""
        return self.rows.get((kind, name), RowState(kind, name))

    def live_rows(self, kind: RowKind | None = None) -> list[RowState]:
        """Return the rows that aren't removed, sorted by kind and name."""
        states = [
            state
            for state in self.rows.values()
            if state.row is not None and kind in (None, state.kind)
        ]
        kinds = list(RowKind)
        return sorted(states, key=lambda state: (kinds.index(state.kind), state.name))


@dataclass(frozen=True)
class AcceptedEdit:
    """An edit that the platform has stored.

    Parameters
    ----------
    edit : RowEdit
        The edit.
    version : int
        First version of the row that includes the edit.
    """

    edit: RowEdit
    version: int


def check_table(rows: Iterable[TableRow]) -> tuple[Finding, ...]:
    """Return errors between rows: unknown services, and keys shared by teams."""
    row_list = list(rows)
    services = {row.name for row in row_list if isinstance(row, ServiceRow)}
    findings = []
    owners: dict[str, str] = {}
    for row in row_list:
        if isinstance(row, UpstreamRow) and row.service not in services:
            location = f"upstreams/{row.name} service"
            findings.append(Finding(location, row.service, "a service of the table"))
        for key_hash in getattr(row, "key_hashes", ()):
            owner = owners.setdefault(key_hash, row.name)
            if owner != row.name:
                location = f"teams/{row.name} key_hashes"
                expected = f"keys that differ from those of {owner}"
                findings.append(Finding(location, "(not shown)", expected))
    return tuple(findings)


class TableClient:
    """Reads and edits the table in the platform's store.

    Parameters
    ----------
    store : ObjectStore
        The platform's object store.
    clock : callable
        Returns the current time, seconds.
    sleep : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._sleep = sleep

    # Queries

    def read(self, deadline: float) -> TableState:
        """Return all rows.

        Raises
        ------
        PlatformUnavailableError
            When the platform did not respond by `deadline`.
        """
        rows: dict[RowKey, RowState] = {}
        findings: list[Finding] = []
        for kind in RowKind:
            for stored in self._list_objects(kind, deadline):
                try:
                    state = decode_object(kind, stored)
                except msgspec.DecodeError:
                    findings += check_row_json(kind, stored.name, bytes(stored.value))
                    continue
                rows[kind, stored.name] = state
        return TableState(rows, tuple(findings))

    def read_row(self, kind: RowKind, name: str, deadline: float) -> RowState:
        """Return one row; an absent one has version 0.

        Raises
        ------
        PlatformUnavailableError
            When the platform did not respond by `deadline`.
        TableError
            When the object is not a valid row.
        """
        while True:
            result = self._store.get(
                ObjectKind(kind.value), name, self._call_deadline(deadline)
            )
            if isinstance(result, Success):
                return _decode_checked(kind, result.unwrap())
            failure = result.failure()
            if failure.error is StoreError.NOT_FOUND:
                return RowState(kind, name)
            self._wait_before_retry(failure, deadline)

    # Commands

    def apply(
        self, edit: RowEdit, deadline: float, last_read: RowState | None = None
    ) -> AcceptedEdit:
        """Apply an edit exactly once and return when the platform has stored it.

        A call whose response was lost is retried with the same version condition. The
        row's recent edit ids show whether the first call took effect.

        Parameters
        ----------
        edit : RowEdit
            The edit.
        deadline : float
            Time by which the platform must have stored the edit, seconds.
        last_read : RowState, optional
            The row as last read; it is read again when omitted or outdated.

        Raises
        ------
        ConflictError
            When another operator changed the same cells.
        TableError
            When the merged row is not valid.
        PlatformUnavailableError
            When the platform did not respond by `deadline`; it is then unknown whether
            the edit has been applied.
        """
        state = last_read or self.read_row(edit.kind, edit.name, deadline)
        while not is_applied(edit, state):
            value = _merge_and_check(edit, state)
            state = self._write(edit, state, value, deadline)
        return AcceptedEdit(edit, state.version)

    def _write(
        self, edit: RowEdit, state: RowState, value: bytes, deadline: float
    ) -> RowState:
        """Try to write once and return the resulting state of the row."""
        kind = ObjectKind(edit.kind.value)
        call_deadline = self._call_deadline(deadline)
        if state.version == 0:
            result = self._store.create(kind, edit.name, value, call_deadline)
        else:
            result = self._store.update(
                kind, edit.name, value, state.version, call_deadline
            )
        return self._state_after_write(edit, state, result, deadline)

    def _state_after_write(
        self, edit: RowEdit, state: RowState, result: ObjectResult, deadline: float
    ) -> RowState:
        if isinstance(result, Success):
            return _decode_checked(edit.kind, result.unwrap())
        failure = result.failure()
        if failure.error is StoreError.TOO_LARGE:
            location = f"{edit.kind.value}/{edit.name}"
            raise TableError((Finding(location, "", "a smaller row"),))
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            return _decode_checked(edit.kind, failure.current)
        if failure.error not in (StoreError.CONFLICT, StoreError.NOT_FOUND):
            self._wait_before_retry(failure, deadline)
        return self.read_row(edit.kind, edit.name, deadline)

    def _list_objects(self, kind: RowKind, deadline: float) -> Iterable[StoredObject]:
        after = ""
        while True:
            call_deadline = self._call_deadline(deadline)
            result = self._store.list(
                ObjectKind(kind.value), after, PAGE_SIZE_ROWS, call_deadline
            )
            if isinstance(result, Failure):
                self._wait_before_retry(result.failure(), deadline)
                continue
            page = result.unwrap()
            yield from page.items
            if page.next is None:
                return
            after = page.next

    def _call_deadline(self, deadline: float) -> float:
        return min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)

    def _wait_before_retry(self, failure: StoreFailure, deadline: float) -> None:
        if self._clock() >= deadline:
            raise PlatformUnavailableError(
                f"the platform did not respond in time ({failure.error.value}: "
                f"{failure.detail}); read the row to see whether the edit was applied"
            )
        remaining = max(0.0, deadline - self._clock())
        self._sleep(min(remaining, RETRY_PAUSE_SECONDS))


def decode_object(kind: RowKind, stored: StoredObject) -> RowState:
    """Decode a row from an object in the platform's store.

    Raises
    ------
    msgspec.DecodeError
        When the object is not a row.
    """
    return decode_row_state(kind, stored.name, stored.version, bytes(stored.value))


def _decode_checked(kind: RowKind, stored: StoredObject) -> RowState:
    try:
        return decode_object(kind, stored)
    except msgspec.DecodeError as exc:
        location = f"{kind.value}/{stored.name}"
        raise TableError((Finding(location, str(exc), "a row of this kind"),)) from exc


def _merge_and_check(edit: RowEdit, state: RowState) -> bytes:
    result = merge_edit(edit, state)
    if isinstance(result, Failure):
        raise result.failure()
    value = result.unwrap()
    findings = check_edit(edit, value)
    if findings:
        raise TableError(findings)
    return value
