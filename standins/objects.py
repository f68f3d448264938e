"""Versioned object store of the platform stand-in."""

import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum

import msgspec

HISTORY_EVENTS = 10_000


class StoredObject(msgspec.Struct, frozen=True):
    """One object at one version.

    Parameters
    ----------
    kind, name : str
        Key of the object.
    version : int
        Number of changes of the object so far.
    revision : int
        Revision of the store that created this version.
    value : msgspec.Raw
        Value in JSON; `null` after deletion.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: msgspec.Raw


class ChangeType(Enum):
    """Type of a change."""

    PUT = "put"
    DELETE = "delete"


class Change(msgspec.Struct, frozen=True):
    """One change, with the object after it."""

    type: ChangeType
    object: StoredObject


class Page(msgspec.Struct, frozen=True):
    """Response to a list call."""

    items: tuple[StoredObject, ...]
    revision: int
    next: str | None


class Changes(msgspec.Struct, frozen=True):
    """Response to a watch."""

    events: tuple[Change, ...]
    revision: int


class VersionConflictError(Exception):
    """Raised when the condition of a write is not met.

    Parameters
    ----------
    current : StoredObject or None
        Stored object, if there is one.
    """

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__("version conflict")
        self.current = current


class RevisionGoneError(Exception):
    """Raised when the history does not reach back to the requested revision."""


class ObjectStore:
    """Store with versions, conditional writes and a bounded history.

    Parameters
    ----------
    history : int
        Number of changes kept for watches.
    """

    def __init__(self, history: int = HISTORY_EVENTS) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._history: deque[Change] = deque(maxlen=history)
        self._revision = 0
        self._changed = threading.Condition()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object; None if it does not exist."""
        with self._changed:
            return self._objects.get((kind, name))

    def put(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> StoredObject:
        """Create an object (`expected` None) or update one with the expected version.

        Raises
        ------
        VersionConflictError
            When the object exists already, or has another version.
        """
        with self._changed:
            current = self._objects.get((kind, name))
            if (current.version if current else None) != expected:
                raise VersionConflictError(current)
            stored = self._next_version(kind, name, value)
            self._objects[kind, name] = stored
            self._record(Change(ChangeType.PUT, stored))
            return stored

    def delete(self, kind: str, name: str, expected: int) -> StoredObject | None:
        """Delete an object with the expected version; return None if it does not exist.

        Raises
        ------
        VersionConflictError
            When the object has another version.
        """
        with self._changed:
            current = self._objects.get((kind, name))
            if current is None:
                return None
            if current.version != expected:
                raise VersionConflictError(current)
            stored = self._next_version(kind, name, b"null")
            del self._objects[kind, name]
            self._record(Change(ChangeType.DELETE, stored))
            return stored

    def list_page(self, kind: str, limit: int, after: str) -> Page:
        """Return a page of the objects of a kind, in the order of their names."""
        with self._changed:
            names = sorted(n for k, n in self._objects if k == kind and n > after)
            page_names = names[:limit]
            items = tuple(self._objects[kind, name] for name in page_names)
            next_after = page_names[-1] if page_names and len(names) > limit else None
            return Page(items, self._revision, next_after)

    def watch(
        self, kind: str, since: int, deadline: float, should_stop: Callable[[], bool]
    ) -> Changes:
        """Wait for changes after a revision.

        Parameters
        ----------
        kind : str
            Kind of objects.
        since : int
            Revision after which changes are returned.
        deadline : float
            Monotonic time at which the wait ends without changes.
        should_stop : callable
            Ends the wait early when it returns true; checked on `wake_watches`.

        Raises
        ------
        RevisionGoneError
            When the history does not reach back to `since`.
        """
        with self._changed:
            while True:
                changes = self._changes_since(kind, since)
                remaining = deadline - time.monotonic()
                if changes or remaining <= 0 or should_stop():
                    return Changes(changes, self._revision)
                self._changed.wait(remaining)

    def wake_watches(self) -> None:
        """Make every watch check `should_stop`."""
        with self._changed:
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the history, so that watches from earlier revisions fail."""
        with self._changed:
            self._history.clear()
            self._changed.notify_all()

    def _next_version(self, kind: str, name: str, value: bytes) -> StoredObject:
        self._revision += 1
        version = self._versions.get((kind, name), 0) + 1
        self._versions[kind, name] = version
        return StoredObject(kind, name, version, self._revision, msgspec.Raw(value))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        self._changed.notify_all()

    def _changes_since(self, kind: str, since: int) -> tuple[Change, ...]:
        oldest_revision = self._revision - len(self._history)
        if since < oldest_revision or since > self._revision:
            raise RevisionGoneError
        changes = []
        for change in reversed(self._history):
            if change.object.revision <= since:
                break
            if change.object.kind == kind:
                changes.append(change)
        return tuple(reversed(changes))
