"""Log of which keys changed since a position."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from oleandershift.ids import Seq

K = TypeVar("K", bound=Hashable)


class ChangeLog(Generic[K]):
    """Remembers the newest position at which each key changed.

    Reading costs one step a key that changed, however many keys there are.
    """

    def __init__(self) -> None:
        self._positions: dict[K, Seq] = {}

    def record(self, key: K, position: Seq) -> None:
        """Note that a key changed; positions must not fall."""
        self._positions.pop(key, None)
        self._positions[key] = position

    def discard(self, key: K) -> None:
        """Drop a key."""
        self._positions.pop(key, None)

    def changed_since(self, base: Seq) -> Iterator[K]:
        """Return keys that changed after `base`, newest first."""
        for key in reversed(self._positions):
            if self._positions[key] <= base:
                return
            yield key

    def changed_until(self, position: Seq) -> Iterator[K]:
        """Return keys that last changed at or before `position`, oldest first."""
        for key, at in self._positions.items():
            if at > position:
                return
            yield key
