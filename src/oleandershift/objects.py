"""Interface of the platform's object API."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

import msgspec
from returns.result import Result


class ObjectKind(Enum):
    """Kinds of objects stored in the platform."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    TEAMS = "teams"
    CLAIMS = "claims"
    ACCEPTED = "accepted"


class StoreError(Enum):
    """Why a call to the object API failed."""

    OUTCOME_UNKNOWN = "away"
    """No valid response in time; a change may or may not have been applied."""

    REFUSED = "refused"
    """The change was definitely not applied: no connection, or overload."""

    CONFLICT = "conflict"
    """The precondition failed: the version differs or the object already exists."""

    NOT_FOUND = "not-found"
    """The object does not exist."""

    GONE = "gone"
    """The revision to watch from is no longer available; list the objects again."""

    TOO_LARGE = "too-large"
    """The value exceeds the platform's limit."""


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object at one version.

    Parameters
    ----------
    kind, name : str
        Key of the object.
    version : int
        Number of changes of this object, counted from 1.
    revision : int
        Revision of the store at this version.
    value : msgspec.Raw
        Value as JSON.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: msgspec.Raw


@dataclass(frozen=True)
class StoreFailure:
    """Failure of a call to the object API.

    Parameters
    ----------
    error : StoreError
        Why the call failed.
    detail : str
        Text for logs.
    current : StoredObject or None
        The stored object, if known after a `CONFLICT`.
    """

    error: StoreError
    detail: str = ""
    current: StoredObject | None = None


class ChangeType(Enum):
    """Type of a change to a watched object."""

    PUT = "put"
    DELETE = "delete"


class ObjectChange(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a watch; after a deletion, `object` is the last state."""

    type: ChangeType
    object: StoredObject


class ObjectList(msgspec.Struct, frozen=True, kw_only=True):
    """One page of a listing.

    Parameters
    ----------
    items : tuple of StoredObject
        Objects sorted by name.
    revision : int
        Revision of the store that the page reflects.
    next : str or None
        Name to continue after; None on the last page.
    """

    items: tuple[StoredObject, ...]
    revision: int
    next: str | None = None


class ObjectChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a watch; `events` is empty after a timeout."""

    events: tuple[ObjectChange, ...]
    revision: int


ObjectResult: TypeAlias = Result[StoredObject, StoreFailure]


class ObjectStore(Protocol):
    """The platform's object API.

    Every call returns by its deadline (seconds since the Unix epoch). An unavailable
    platform raises no exception.
    """

    def get(self, kind: ObjectKind, name: str, deadline: float) -> ObjectResult:
        """Read an object."""

    def create(
        self, kind: ObjectKind, name: str, value: bytes, deadline: float
    ) -> ObjectResult:
        """Create an object if it does not exist.

        A `CONFLICT` failure contains the existing object. After `OUTCOME_UNKNOWN` the
        object may exist.
        """

    def update(
        self, kind: ObjectKind, name: str, value: bytes, version: int, deadline: float
    ) -> ObjectResult:
        """Replace an object if it still has `version`."""

    def delete(
        self, kind: ObjectKind, name: str, version: int, deadline: float
    ) -> Result[None, StoreFailure]:
        """Delete an object if it still has `version`."""

    def list(
        self, kind: ObjectKind, after: str, limit: int, deadline: float
    ) -> Result[ObjectList, StoreFailure]:
        """Read a page of objects with names after `after`."""

    def watch(
        self, kind: ObjectKind, revision: int, deadline: float
    ) -> Result[ObjectChanges, StoreFailure]:
        """Wait until `deadline` for changes after `revision`."""
