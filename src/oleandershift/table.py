"""The operators' table in the platform: reading it and applying edits."""

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
    """All rows of the platform at about one time.

    Parameters
    ----------
    rows : mapping of RowKey to RowState
        Every row, removed ones included.
    findings : tuple of Finding
        What is wrong with objects that are no rows.
    """

    rows: Mapping[RowKey, RowState] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()

    def get(self, kind: RowKind, name: str) -> RowState:
        """Return a row; an absent one has version 0."""
        return self.rows.get((kind, name), RowState(kind, name))

    def live_rows(self, kind: RowKind | None = None) -> list[RowState]:
        """Return the rows that are not removed, by kind and name."""
        found = [
            state
            for state in self.rows.values()
            if state.row is not None and kind in (None, state.kind)
        ]
        kinds = list(RowKind)
        return sorted(found, key=lambda state: (kinds.index(state.kind), state.name))


@dataclass(frozen=True)
class AcceptedEdit:
    """An edit that the platform has.

    Parameters
    ----------
    edit : RowEdit
        The edit.
    version : int
        Version of the row from which on it is in force.
    """

    edit: RowEdit
    version: int


def check_table(rows: Iterable[TableRow]) -> tuple[Finding, ...]:
    """Return what is wrong between rows: unknown services and shared keys."""
    listed = list(rows)
    services = {row.name for row in listed if isinstance(row, ServiceRow)}
    findings = []
    owners: dict[str, str] = {}
    for row in listed:
        if isinstance(row, UpstreamRow) and row.service not in services:
            where = f"upstreams/{row.name} service"
            findings.append(Finding(where, row.service, "a service of the table"))
        for key_hash in getattr(row, "key_hashes", ()):
            owner = owners.setdefault(key_hash, row.name)
            if owner != row.name:
                where = f"teams/{row.name} key_hashes"
                expected = f"keys of its own, not those of {owner}"
                findings.append(Finding(where, "(not shown)", expected))
    return tuple(findings)


class TableClient:
    """Reads and edits the table in the platform.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    clock : callable
        Returns the current instant.
    pause : callable
        Waits some seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._pause = sleep

    # Queries

    def read(self, deadline: float) -> TableState:
        """Return all rows.

        Raises
        ------
        PlatformAwayError
            When the platform did not answer by `deadline`.
        """
        rows: dict[RowKey, RowState] = {}
        bad: list[Finding] = []
        for kind in RowKind:
            for found in self._objects(kind, deadline):
                try:
                    state = decode_object(kind, found)
                except msgspec.DecodeError:
                    bad += check_row_json(kind, found.name, bytes(found.value))
                    continue
                rows[kind, found.name] = state
        return TableState(rows, tuple(bad))

    def read_row(self, kind: RowKind, name: str, deadline: float) -> RowState:
        """Return one row; an absent one has version 0.

        Raises
        ------
        PlatformAwayError
            When the platform did not answer by `deadline`.
        TableError
            When the object is no row.
        """
        while True:
            result = self._store.get(ObjectKind(kind.value), name, self._by(deadline))
            if isinstance(result, Success):
                return _checked_state(kind, result.unwrap())
            failure = result.failure()
            if failure.error is StoreError.NOT_FOUND:
                return RowState(kind, name)
            self._pause_before_retry(failure, deadline)

    # Commands

    def apply(
        self, edit: RowEdit, deadline: float, last_read: RowState | None = None
    ) -> AcceptedEdit:
        """Apply an edit exactly once and return when the platform has it.

        A call whose answer was lost is repeated under the same condition: the row's
        last edits tell whether the first one took effect.

        Parameters
        ----------
        edit : RowEdit
            The edit.
        deadline : float
            Instant by which the platform has to have it.
        last_read : RowState, optional
            The row as last read; it is read anew when absent or no longer so.

        Raises
        ------
        ConflictError
            When another operator changed the same cells.
        TableError
            When the merged row is not valid.
        PlatformAwayError
            When the platform did not answer by `deadline`; whether the edit has been
            applied is then not known.
        """
        state = last_read or self.read_row(edit.kind, edit.name, deadline)
        while not is_applied(edit, state):
            value = _merged(edit, state)
            state = self._write(edit, state, value, deadline)
        return AcceptedEdit(edit, state.version)

    def _write(
        self, edit: RowEdit, state: RowState, value: bytes, deadline: float
    ) -> RowState:
        """Try once to write; return the row as it then stands."""
        kind = ObjectKind(edit.kind.value)
        by = self._by(deadline)
        if state.version == 0:
            result = self._store.create(kind, edit.name, value, by)
        else:
            result = self._store.update(kind, edit.name, value, state.version, by)
        return self._settled(edit, state, result, deadline)

    def _settled(
        self, edit: RowEdit, state: RowState, result: ObjectResult, deadline: float
    ) -> RowState:
        if isinstance(result, Success):
            return _checked_state(edit.kind, result.unwrap())
        failure = result.failure()
        if failure.error is StoreError.TOO_LARGE:
            where = f"{edit.kind.value}/{edit.name}"
            raise TableError((Finding(where, "", "a smaller row"),))
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            return _checked_state(edit.kind, failure.current)
        if failure.error not in (StoreError.CONFLICT, StoreError.NOT_FOUND):
            self._pause_before_retry(failure, deadline)
        return self.read_row(edit.kind, edit.name, deadline)

    def _objects(self, kind: RowKind, deadline: float) -> Iterable[StoredObject]:
        after = ""
        while True:
            by = self._by(deadline)
            result = self._store.list(ObjectKind(kind.value), after, PAGE_SIZE_ROWS, by)
            if isinstance(result, Failure):
                self._pause_before_retry(result.failure(), deadline)
                continue
            page = result.unwrap()
            yield from page.items
            if page.next is None:
                return
            after = page.next

    def _by(self, deadline: float) -> float:
        return min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)

    def _pause_before_retry(self, failure: StoreFailure, deadline: float) -> None:
        if self._clock() >= deadline:
            raise PlatformUnavailableError(
                f"the platform did not answer in time ({failure.error.value}: "
                f"{failure.detail}); read the row to see whether the edit is there"
            )
        left = max(0.0, deadline - self._clock())
        self._pause(min(left, RETRY_PAUSE_SECONDS))


def decode_object(kind: RowKind, found: StoredObject) -> RowState:
    """Return the row in an object of the platform.

    Raises
    ------
    msgspec.DecodeError
        When it is no row.
    """
    return decode_row_state(kind, found.name, found.version, bytes(found.value))


def _checked_state(kind: RowKind, found: StoredObject) -> RowState:
    try:
        return decode_object(kind, found)
    except msgspec.DecodeError as exc:
        where = f"{kind.value}/{found.name}"
        raise TableError((Finding(where, str(exc), "a row of this kind"),)) from exc


def _merged(edit: RowEdit, state: RowState) -> bytes:
    result = merge_edit(edit, state)
    if isinstance(result, Failure):
        raise result.failure()
    value = result.unwrap()
    findings = check_edit(edit, value)
    if findings:
        raise TableError(findings)
    return value
