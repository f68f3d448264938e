"""Versioned objects of the platform stand-in."""

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
        Key.
    version : int
        Changes of this object so far.
    revision : int
        Revision of the store at which it got this version.
    value : msgspec.Raw
        JSON; `null` once deleted.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: msgspec.Raw


class ChangeType(Enum):
    """What a change did."""

    PUT = "put"
    DELETE = "delete"


class Change(msgspec.Struct, frozen=True):
    """One change of the store."""

    type: ChangeType
    object: StoredObject


class Page(msgspec.Struct, frozen=True):
    """Answer to a list call."""

    items: tuple[StoredObject, ...]
    revision: int
    next: str | None


class Changes(msgspec.Struct, frozen=True):
    """Answer to a watch."""

    events: tuple[Change, ...]
    revision: int


class VersionConflictError(Exception):
    """The condition of a write does not hold.

    Parameters
    ----------
    current : StoredObject or None
        What stands in the store.
    """

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__("version conflict")
        self.current = current


class RevisionGoneError(Exception):
    """The history does not reach back to the revision asked for."""


class ObjectStore:
    """Objects with versions, conditional writes and a bounded history.

    Parameters
    ----------
    history : int
        Changes kept for watches.
    """

    def __init__(self, history: int = HISTORY_EVENTS) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._history: deque[Change] = deque(maxlen=history)
        self._revision = 0
        self._changed = threading.Condition()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None."""
        with self._changed:
            return self._objects.get((kind, name))

    def put(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> StoredObject:
        """Create (`expected` None) or update an object at its expected version.

        Raises
        ------
        VersionConflictError
            When it exists already, or has another version.
        """
        with self._changed:
            current = self._objects.get((kind, name))
            if (current.version if current else None) != expected:
                raise VersionConflictError(current)
            stored = self._next(kind, name, value)
            self._objects[kind, name] = stored
            self._record(Change(ChangeType.PUT, stored))
            return stored

    def delete(self, kind: str, name: str, expected: int) -> StoredObject | None:
        """Delete an object; return None when there is none.

        Raises
        ------
        VersionConflictError
            When it has another version.
        """
        with self._changed:
            current = self._objects.get((kind, name))
            if current is None:
                return None
            if current.version != expected:
                raise VersionConflictError(current)
            stored = self._next(kind, name, b"null")
            del self._objects[kind, name]
            self._record(Change(ChangeType.DELETE, stored))
            return stored

    def list_page(self, kind: str, limit: int, after: str) -> Page:
        """Return objects of a kind by name."""
        with self._changed:
            names = sorted(n for k, n in self._objects if k == kind and n > after)
            chosen = names[:limit]
            items = tuple(self._objects[kind, name] for name in chosen)
            more = chosen[-1] if chosen and len(names) > limit else None
            return Page(items, self._revision, more)

    def watch(
        self, kind: str, since: int, deadline: float, should_stop: Callable[[], bool]
    ) -> Changes:
        """Wait for changes past a revision.

        Parameters
        ----------
        kind : str
            Kind of objects.
        since : int
            Revision after which changes are wanted.
        deadline : float
            Instant on the monotonic clock at which to give up.
        should_stop : callable
            Ends the wait early when it returns true.

        Raises
        ------
        RevisionGoneError
            When the history does not reach back to `since`.
        """
        with self._changed:
            while True:
                found = self._since(kind, since)
                left = deadline - time.monotonic()
                if found or left <= 0 or should_stop():
                    return Changes(found, self._revision)
                self._changed.wait(left)

    def wake_watches(self) -> None:
        """Let every watch look at its end condition."""
        with self._changed:
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the history, so that watches from earlier revisions fail."""
        with self._changed:
            self._history.clear()
            self._changed.notify_all()

    def _next(self, kind: str, name: str, value: bytes) -> StoredObject:
        self._revision += 1
        version = self._versions.get((kind, name), 0) + 1
        self._versions[kind, name] = version
        return StoredObject(kind, name, version, self._revision, msgspec.Raw(value))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        self._changed.notify_all()

    def _since(self, kind: str, since: int) -> tuple[Change, ...]:
        oldest = self._revision - len(self._history)
        if since < oldest or since > self._revision:
            raise RevisionGoneError
        found = []
        for change in reversed(self._history):
            if change.object.revision <= since:
                break
            if change.object.kind == kind:
                found.append(change)
        return tuple(reversed(found))
