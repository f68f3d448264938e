"""What the system needs of the platform's object API."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

import msgspec
from returns.result import Result


class ObjectKind(Enum):
    """Kinds of objects that the system keeps in the platform."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    TEAMS = "teams"
    CLAIMS = "claims"
    ACCEPTED = "accepted"


class StoreError(Enum):
    """Why a call did not do what was asked."""

    OUTCOME_UNKNOWN = "away"
    """No answer in time: a change may or may not have been applied."""

    REFUSED = "refused"
    """The change was surely not applied: no connection, or overload."""

    CONFLICT = "conflict"
    """The condition did not hold: another version, or it exists already."""

    NOT_FOUND = "not-found"
    """There is no such object."""

    GONE = "gone"
    """The revision to watch from is no longer kept; list again."""

    TOO_LARGE = "too-large"
    """The value exceeds the platform's limit."""


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object at one version.

    Parameters
    ----------
    kind, name : str
        Its key.
    version : int
        Counts the changes of this object from 1.
    revision : int
        Revision of the store at this change.
    value : msgspec.Raw
        JSON of the value.
    """

    kind: str
    name: str
    version: int
    revision: int
    value: msgspec.Raw


@dataclass(frozen=True)
class StoreFailure:
    """A call that failed.

    Parameters
    ----------
    error : StoreError
        Why.
    detail : str
        For logs.
    current : StoredObject or None
        With `CONFLICT`: the object as it stands, where there is one.
    """

    error: StoreError
    detail: str = ""
    current: StoredObject | None = None


class ChangeType(Enum):
    """What happened to a watched object."""

    PUT = "put"
    DELETE = "delete"


class ObjectChange(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a watch; `object` is the last state of a deleted one."""

    type: ChangeType
    object: StoredObject


class ObjectList(msgspec.Struct, frozen=True, kw_only=True):
    """One page of a list.

    Parameters
    ----------
    items : tuple of StoredObject
        By name.
    revision : int
        Revision of the store that the page shows.
    next : str or None
        Name to continue after; None on the last page.
    """

    items: tuple[StoredObject, ...]
    revision: int
    next: str | None = None


class ObjectChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a watch; `events` is empty when it timed out."""

    events: tuple[ObjectChange, ...]
    revision: int


ObjectResult: TypeAlias = Result[StoredObject, StoreFailure]


class ObjectStore(Protocol):
    """The platform's object API.

    Every call returns by its deadline (seconds since the Unix epoch) and raises
    nothing for a platform that is away.
    """

    def get(self, kind: ObjectKind, name: str, deadline: float) -> ObjectResult:
        """Read an object."""

    def create(
        self, kind: ObjectKind, name: str, value: bytes, deadline: float
    ) -> ObjectResult:
        """Create an object if it is absent.

        A failure with `CONFLICT` holds the existing object. After `AWAY` the object
        may exist.
        """

    def update(
        self, kind: ObjectKind, name: str, value: bytes, version: int, deadline: float
    ) -> ObjectResult:
        """Replace an object that still has `version`."""

    def delete(
        self, kind: ObjectKind, name: str, version: int, deadline: float
    ) -> Result[None, StoreFailure]:
        """Delete an object that still has `version`."""

    def list(
        self, kind: ObjectKind, after: str, limit: int, deadline: float
    ) -> Result[ObjectList, StoreFailure]:
        """Read a page of objects whose names follow `after`."""

    def watch(
        self, kind: ObjectKind, revision: int, deadline: float
    ) -> Result[ObjectChanges, StoreFailure]:
        """Wait until `deadline` for changes after `revision`."""
