"""What requests cost, learnt from those that have ended."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

DEFAULT_COST_TOKENS = 500.0
MEAN_WINDOW_REQUESTS = 50
MIN_TRUSTED_REQUESTS = 5


@dataclass
class _Mean:
    """Running mean that forgets what is older than `MEAN_WINDOW_REQUESTS`."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += (sample - self.value) / min(self.count, MEAN_WINDOW_REQUESTS)


@dataclass
class _Learnt:
    cost: _Mean
    hinted_cost: _Mean
    hint: _Mean


class CostModel(Generic[K]):
    """Estimates the cost of a request from the mean of its like.

    A hint is corrected by the ratio of cost to hint of earlier hinted requests, so that
    hints that are always wrong by a factor do no harm.
    """

    def __init__(self) -> None:
        self._learnt: dict[K, _Learnt] = {}

    def observe(self, key: K, cost: float, hint: float | None = None) -> None:
        """Take the cost of an ended request, tokens."""
        learnt = self._learnt.get(key)
        if learnt is None:
            learnt = self._learnt[key] = _Learnt(_Mean(), _Mean(), _Mean())
        learnt.cost.add(cost)
        if hint:
            learnt.hinted_cost.add(cost)
            learnt.hint.add(hint)

    def estimate(self, key: K, hint: float | None = None) -> float:
        """Return the expected cost of a request, tokens."""
        learnt = self._learnt.get(key)
        if learnt is None:
            return hint or DEFAULT_COST_TOKENS
        if hint and learnt.hint.value > 0.0:
            return hint * learnt.hinted_cost.value / learnt.hint.value
        return learnt.cost.value

    def bounded(self, key: K, estimate: float, factor: float) -> float:
        """Return an estimate kept within a factor of the mean, once that is known."""
        learnt = self._learnt.get(key)
        if learnt is None or learnt.cost.count < MIN_TRUSTED_REQUESTS:
            return estimate
        mean = learnt.cost.value
        return min(max(estimate, mean / factor), mean * factor)
