"""Objects of the platform's store as this project sees them."""

from dataclasses import dataclass

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One object, as the store or another VM tells it.

    Parameters
    ----------
    name : str
        Unique in its kind; empty when it can't be read.
    revision : int
        Revision of its last change.
    spec : object
        Decoded JSON; None when it can't be read.
    """

    name: str
    revision: int
    spec: object


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at a revision of the store."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision: each with whether it removed the object."""

    revision: int
    records: tuple[tuple[Record, bool], ...]
