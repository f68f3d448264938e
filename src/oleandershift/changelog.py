"""Log of the keys that changed since a given position."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from oleandershift.ids import Seq

K = TypeVar("K", bound=Hashable)


class ChangeLog(Generic[K]):
    """Records the newest position at which each key changed.

    A read takes time proportional to the number of returned keys, not of all keys.
    """

    def __init__(self) -> None:
        self._positions: dict[K, Seq] = {}

    def record(self, key: K, position: Seq) -> None:
        """Record that a key changed; positions must not decrease."""
        self._positions.pop(key, None)
        self._positions[key] = position

    def discard(self, key: K) -> None:
        """Remove a key from the log, if it is there."""
        self._positions.pop(key, None)

    def changed_since(self, base: Seq) -> Iterator[K]:
        """Yield the keys that changed after `base`, newest first."""
        for key in reversed(self._positions):
            if self._positions[key] <= base:
                return
            yield key

    def changed_until(self, position: Seq) -> Iterator[K]:
        """Yield the keys that last changed at or before `position`, oldest first."""
        for key, changed_at in self._positions.items():
            if changed_at > position:
                return
            yield key
