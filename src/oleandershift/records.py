"""Objects of the platform's store, independent of the platform's formats."""

from dataclasses import dataclass

import msgspec

MIN_INTEGER, MAX_INTEGER = -(1 << 63), (1 << 63) - 1
"""Smallest and largest integer that messages between VMs may contain."""


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
    """

    name: str
    revision: int
    spec: object


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at a store revision."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of objects up to a store revision.

    Parameters
    ----------
    revision : int
        Store revision of the last change.
    records : tuple of tuple
        Pairs of an object and whether the change removed it.
    """

    revision: int
    records: tuple[tuple[Record, bool], ...]
