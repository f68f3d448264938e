"""Queue from which several groups are served in turn."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

_T = TypeVar("_T")


class TurnQueue(Generic[_T]):
    """Items of several groups, one of each group in turn.

    However many items of one group wait, an item of another group is next but for one
    of each group.

    Parameters
    ----------
    max_waiting : float
        Items of a group that may wait.
    """

    def __init__(self, max_waiting: float) -> None:
        self._max_waiting = max_waiting
        # In the order of their turns; no group is empty.
        self._groups: dict[Hashable, deque[_T]] = {}

    def __bool__(self) -> bool:
        return bool(self._groups)

    def put(self, group: Hashable, item: _T) -> bool:
        """Add an item behind those of its group; return False if too many wait."""
        items = self._groups.setdefault(group, deque())
        if len(items) >= self._max_waiting:
            return False
        items.append(item)
        return True

    def take(self) -> _T:
        """Remove and return the next item; an item must be waiting."""
        group = next(iter(self._groups))
        items = self._groups.pop(group)
        item = items.popleft()
        if items:
            self._groups[group] = items
        return item
