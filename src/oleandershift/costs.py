"""Estimates of request costs, learned from completed requests."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

DEFAULT_COST_TOKENS = 500.0
MEAN_WINDOW_REQUESTS = 50
MIN_TRUSTED_REQUESTS = 5


@dataclass
class _RunningMean:
    """Running mean that weighs about the last `MEAN_WINDOW_REQUESTS` samples."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += (sample - self.value) / min(self.count, MEAN_WINDOW_REQUESTS)


@dataclass
class _KeyStats:
    cost: _RunningMean
    hinted_cost: _RunningMean
    hint: _RunningMean


class CostModel(Generic[K]):
    """Estimates the cost of a request from the mean cost of requests with the same key.

    A hint is corrected by the ratio of cost to hint of earlier hinted requests, so that
    hints that are always wrong by the same factor are harmless.
    """

    def __init__(self) -> None:
        self._stats: dict[K, _KeyStats] = {}

    def observe(self, key: K, cost: float, hint: float | None = None) -> None:
        """Record the cost of a completed request, in tokens."""
        stats = self._stats.get(key)
        if stats is None:
            stats = self._stats[key] = _KeyStats(
                _RunningMean(), _RunningMean(), _RunningMean()
            )
        stats.cost.add(cost)
        if hint:
            stats.hinted_cost.add(cost)
            stats.hint.add(hint)

    def estimate(self, key: K, hint: float | None = None) -> float:
        """Return the expected cost of a request, in tokens."""
        stats = self._stats.get(key)
        if stats is None:
            return hint or DEFAULT_COST_TOKENS
        if hint and stats.hint.value > 0.0:
            return hint * stats.hinted_cost.value / stats.hint.value
        return stats.cost.value

    def clamp(self, key: K, estimate: float, factor: float) -> float:
        """Return the estimate, limited to a factor of the mean.

        There is no limit below `MIN_TRUSTED_REQUESTS` completed requests.
        """
        stats = self._stats.get(key)
        if stats is None or stats.cost.count < MIN_TRUSTED_REQUESTS:
            return estimate
        mean = stats.cost.value
        return min(max(estimate, mean / factor), mean * factor)
