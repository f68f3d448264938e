"""Objects of one kind as last read, and what changed after a place in history."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.records import START_OF_HISTORY, Record, StorePosition

MAX_REMOVALS = 1000
"""Removals that are remembered; a VM that missed more gets all objects."""


@dataclass(frozen=True, slots=True)
class _Removal:
    name: str
    position: StorePosition
    known_at: StorePosition


class RecordLog:
    """Objects and removals, from which VMs that are behind get what they miss."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._removals: deque[_Removal] = deque()
        self._complete_since = START_OF_HISTORY

    def replace(self, position: StorePosition, records: Iterable[Record]) -> None:
        """Apply a complete list, read at a place in the store's history."""
        self._records = {record.name: record for record in records}
        self._removals.clear()
        self._complete_since = position

    def put(self, record: Record) -> None:
        """Add or replace an object."""
        self._records[record.name] = record

    def remove(
        self, name: str, position: StorePosition, known_at: StorePosition
    ) -> None:
        """Remove an object, unless it was written again since.

        Parameters
        ----------
        name : str
            Name of the object.
        position : StorePosition
            Place that the store gives for the removal; it may be that of the object's
            last change.
        known_at : StorePosition
            Place at which the removal was read; not before the removal.
        """
        record = self._records.get(name)
        if record is not None and record.position > position:
            return
        self._records.pop(name, None)
        self._removals.append(_Removal(name, position, known_at))
        if len(self._removals) > MAX_REMOVALS:
            self._complete_since = self._removals.popleft().known_at

    def records(self) -> tuple[Record, ...]:
        """Return all objects."""
        return tuple(self._records.values())

    def is_complete_since(self, position: StorePosition) -> bool:
        """Return whether all changes after a place in history are known."""
        return START_OF_HISTORY < self._complete_since <= position

    def changed_since(self, position: StorePosition) -> tuple[Record, ...]:
        """Return the objects that changed after a place in history."""
        return tuple(
            record for record in self._records.values() if record.position > position
        )

    def removed_since(
        self, position: StorePosition
    ) -> tuple[tuple[str, StorePosition], ...]:
        """Return name and position of the removals after a place in history."""
        return tuple(
            (removal.name, removal.position)
            for removal in self._removals
            if removal.known_at > position
        )
