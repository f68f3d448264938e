"""Objects of the platform's store, independent of the platform's formats."""

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

MIN_INTEGER, MAX_INTEGER = -(1 << 63), (1 << 63) - 1
"""Smallest and largest integer that messages between VMs may contain."""


class StorePosition(NamedTuple):
    """Place in the store's history; positions are ordered.

    A store that comes back from an older copy gives revisions out again, in a later
    era.

    Parameters
    ----------
    era : int
        How often the store has come back from a copy, as it says itself.
    revision : int
        Number of the store's latest change in that era.
    """

    era: int
    revision: int


START_OF_HISTORY = StorePosition(0, 0)
"""Position before everything that the store has answered."""


class Record(msgspec.Struct, array_like=True, frozen=True):
    """An object from the store or from another VM's snapshot.

    Parameters
    ----------
    name : str
        Unique among objects of its kind; empty if it can't be read.
    revision : int
        Store revision of the object's last change.
    spec : object
        Decoded JSON; None if it can't be read.
    era : int
        Era of the store in which the object was read. VMs of an earlier version do not
        send it.
    """

    name: str
    revision: int
    spec: object
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the place of the last change, as read, in the store's history."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at a store revision, in an era of the store."""

    revision: int
    records: tuple[Record, ...]
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the place in the store's history at which the objects were read."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of objects up to a store revision.

    Parameters
    ----------
    revision : int
        Store revision of the last change.
    records : tuple of tuple
        Pairs of an object and whether the change removed it.
    era : int
        Era of the store.
    """

    revision: int
    records: tuple[tuple[Record, bool], ...]
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the place of the last change in the store's history."""
        return StorePosition(self.era, self.revision)
