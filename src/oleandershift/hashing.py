"""Weights and rankings of rendezvous hashing."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

_T = TypeVar("_T")


def weight_of(key: str, member: str) -> int:
    """Return the weight of a member for a key; the largest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def ranked(key: str, items: Iterable[_T], name: Callable[[_T], str]) -> list[_T]:
    """Return the items in order of preference for a key.

    Parameters
    ----------
    key : str
        Key to assign.
    items : iterable
        Candidates.
    name : callable
        Returns the name of an item, from which its weight is computed.
    """
    return sorted(items, key=lambda item: weight_of(key, name(item)), reverse=True)
