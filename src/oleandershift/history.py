"""History of accepted edits, kept as objects of the platform."""

import time
from collections.abc import Callable, Iterable

import msgspec
from returns.result import Failure

from oleandershift.cells import display_cell
from oleandershift.exceptions import PlatformUnavailableError
from oleandershift.ids import EditId
from oleandershift.objects import (
    ObjectKind,
    ObjectStore,
    StoredObject,
    StoreError,
)
from oleandershift.table import (
    CALL_TIMEOUT_SECONDS,
    PAGE_SIZE_ROWS,
    RETRY_PAUSE_SECONDS,
    AcceptedEdit,
)

MILLISECONDS_PER_SECOND = 1000


class CellEntry(msgspec.Struct, frozen=True):
    """Change of one cell, as text; of keys only the number.

    Parameters
    ----------
    column : str
        Its column.
    old, new : str
        Before and after; `old` is empty for an added row.
    """

    column: str
    old: str
    new: str


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted edit.

    Parameters
    ----------
    at : float
        Instant of acceptance.
    operator : str
        Who made it.
    edit : EditId
        Its id.
    type : str
        `add`, `set` or `remove`.
    kind, name : str
        The row.
    version : int
        Version of the row from which on it is in force.
    cells : tuple of CellEntry
        What it changed.
    """

    at: float
    operator: str
    edit: EditId
    type: str
    kind: str
    name: str
    version: int
    cells: tuple[CellEntry, ...] = ()


def make_entry(accepted: AcceptedEdit, at: float, operator: str) -> HistoryEntry:
    """Return the history entry of an accepted edit."""
    edit = accepted.edit
    return HistoryEntry(
        at=at,
        operator=operator,
        edit=edit.edit_id,
        type=edit.type.value,
        kind=edit.kind.value,
        name=edit.name,
        version=accepted.version,
        cells=tuple(
            CellEntry(
                column,
                "" if change.old is None else display_cell(column, change.old),
                display_cell(column, change.new),
            )
            for column, change in edit.cells.items()
        ),
    )


class History:
    """Writes and reads the history.

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

    def write(self, entry: HistoryEntry, deadline: float) -> bool:
        """Write an entry once; return False when the platform did not take it.

        Its name holds the edit's id, so that a repeat after a lost answer does no
        harm.
        """
        name = f"{int(entry.at * MILLISECONDS_PER_SECOND):013d}-{entry.edit}"
        value = msgspec.json.encode(entry)
        while True:
            by = min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)
            result = self._store.create(ObjectKind.ACCEPTED, name, value, by)
            if not isinstance(result, Failure):
                return True
            if result.failure().error is StoreError.CONFLICT:
                return True
            if not isinstance(self._store.get(ObjectKind.ACCEPTED, name, by), Failure):
                return True
            if self._clock() >= deadline:
                return False
            self._pause(RETRY_PAUSE_SECONDS)

    def read(
        self, since: float, deadline: float, row: tuple[str, str] | None = None
    ) -> list[HistoryEntry]:
        """Return entries from an instant on, oldest first.

        Parameters
        ----------
        since : float
            Earliest instant.
        deadline : float
            Instant by which the platform has to answer.
        row : tuple of str, optional
            Kind and name of the only row wanted.

        Raises
        ------
        PlatformAwayError
            When the platform did not answer by `deadline`.
        """
        after = f"{int(since * MILLISECONDS_PER_SECOND):013d}"
        entries = (_entry(found) for found in self._objects(after, deadline))
        return [
            entry
            for entry in entries
            if entry is not None and row in (None, (entry.kind, entry.name))
        ]

    def _objects(self, after: str, deadline: float) -> Iterable[StoredObject]:
        while True:
            by = min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)
            result = self._store.list(ObjectKind.ACCEPTED, after, PAGE_SIZE_ROWS, by)
            if isinstance(result, Failure):
                if self._clock() >= deadline:
                    raise PlatformUnavailableError(
                        "the platform did not answer in time"
                    )
                self._pause(RETRY_PAUSE_SECONDS)
                continue
            page = result.unwrap()
            yield from page.items
            if page.next is None:
                return
            after = page.next


def _entry(found: StoredObject) -> HistoryEntry | None:
    try:
        return msgspec.json.decode(bytes(found.value), type=HistoryEntry)
    except msgspec.DecodeError:
        return None
