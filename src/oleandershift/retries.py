"""Retry budget and backoff with jitter."""

import random
from dataclasses import dataclass

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
BACKOFF_BASE_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 1.0
MAX_ATTEMPTS = 4


@dataclass
class RetryBudget:
    """Lets retries be at most a share of first attempts.

    Each first attempt adds `ratio` of a retry, up to `reserve`; each retry takes one.
    While upstreams fail, retries therefore add at most `ratio` to the load.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    reserve : float
        Retries that can be saved up, with which a router also starts.
    """

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE

    def __post_init__(self) -> None:
        self._left = self.reserve

    @property
    def available(self) -> float:
        """Return the retries that are saved up."""
        return self._left

    def deposit(self) -> None:
        """Take note of a first attempt."""
        self._left = min(self.reserve, self._left + self.ratio)

    def allows(self) -> bool:
        """Tell whether a retry may be made."""
        return self._left >= 1.0

    def spend(self) -> None:
        """Take note of a retry."""
        self._left -= 1.0


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    rng : random.Random
        Seeded source of the jitter.
    base, limit : float
        Seconds before the first retry, and at most.
    """

    def __init__(
        self,
        rng: random.Random,
        base: float = BACKOFF_BASE_SECONDS,
        limit: float = BACKOFF_LIMIT_SECONDS,
    ) -> None:
        self._rng = rng
        self._base = base
        self._limit = limit

    def next_attempt_at(self, now: float, attempt: int) -> float:
        """Return when to try again after attempt number `attempt` failed."""
        longest = min(self._limit, self._base * 2 ** (attempt - 1))
        return now + self._rng.uniform(0.0, longest)
