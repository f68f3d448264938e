"""History of accepted edits, stored as objects in the platform's store."""

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
    """Change of one cell as display text, showing only the number of keys.

    Parameters
    ----------
    column : str
        Column of the cell.
    old, new : str
        Values before and after the edit; `old` is empty for an added row.
    """

    column: str
    old: str
    new: str


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted edit.

    Parameters
    ----------
    at : float
        Time of acceptance, seconds since the Unix epoch.
    operator : str
        Name of the operator.
    edit : EditId
        Id of the edit.
    type : str
        `add`, `set` or `remove`.
    kind, name : str
        Kind and name of the row.
    version : int
        First version of the row that includes the edit.
    cells : tuple of CellEntry
        Changed cells.
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

    def write(self, entry: HistoryEntry, deadline: float) -> bool:
        """Write an entry once and return whether the platform stored it by `deadline`.

        The object's name contains the edit's id, so that a retry after a lost response
        creates no duplicate.
        """
        name = f"{int(entry.at * MILLISECONDS_PER_SECOND):013d}-{entry.edit}"
        value = msgspec.json.encode(entry)
        while True:
            call_deadline = min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)
            result = self._store.create(ObjectKind.ACCEPTED, name, value, call_deadline)
            if not isinstance(result, Failure):
                return True
            if result.failure().error is StoreError.CONFLICT:
                return True
            if not isinstance(
                self._store.get(ObjectKind.ACCEPTED, name, call_deadline), Failure
            ):
                return True
            if self._clock() >= deadline:
                return False
            self._sleep(RETRY_PAUSE_SECONDS)

    def read(
        self, since: float, deadline: float, row: tuple[str, str] | None = None
    ) -> list[HistoryEntry]:
        """Return entries since a point in time, oldest first.

        Parameters
        ----------
        since : float
            Earliest time of an entry, seconds since the Unix epoch.
        deadline : float
            Time by which the platform must respond, seconds.
        row : tuple of str, optional
            Kind and name of a row; return only its entries.

        Raises
        ------
        PlatformUnavailableError
            When the platform did not respond by `deadline`.
        """
        after = f"{int(since * MILLISECONDS_PER_SECOND):013d}"
        entries = (
            _decode_entry(stored) for stored in self._list_objects(after, deadline)
        )
        return [
            entry
            for entry in entries
            if entry is not None and row in (None, (entry.kind, entry.name))
        ]

    def _list_objects(self, after: str, deadline: float) -> Iterable[StoredObject]:
        while True:
            call_deadline = min(deadline, self._clock() + CALL_TIMEOUT_SECONDS)
            result = self._store.list(
                ObjectKind.ACCEPTED, after, PAGE_SIZE_ROWS, call_deadline
            )
            if isinstance(result, Failure):
                if self._clock() >= deadline:
                    raise PlatformUnavailableError(
                        "the platform did not respond in time"
                    )
                self._sleep(RETRY_PAUSE_SECONDS)
                continue
            page = result.unwrap()
            yield from page.items
            if page.next is None:
                return
            after = page.next


def _decode_entry(stored: StoredObject) -> HistoryEntry | None:
    try:
        return msgspec.json.decode(bytes(stored.value), type=HistoryEntry)
    except msgspec.DecodeError:
        return None
