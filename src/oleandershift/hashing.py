"""Hash weights for rendezvous hashing."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

_T = TypeVar("_T")


def weight_of(key: str, member: str) -> int:
    """Return the weight of a member for a key; the largest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def ranked(key: str, items: Iterable[_T], name: Callable[[_T], str]) -> list[_T]:
    """Return items from the first choice for a key to the last.

    Parameters
    ----------
    key : str
        What is placed.
    items : iterable
        Where it may go.
    name : callable
        Returns an item's name, by which it is weighed.
    """
    return sorted(items, key=lambda item: weight_of(key, name(item)), reverse=True)
