"""Retry budget, and exponential backoff with jitter."""

import random
from dataclasses import dataclass

RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0
BACKOFF_BASE_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 1.0
MAX_ATTEMPTS = 4


@dataclass
class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    Each first attempt adds `ratio` retries to the budget, up to `reserve`; each retry
    spends one. While upstreams fail, retries therefore add at most `ratio` to the load.

    Parameters
    ----------
    ratio : float
        Retries added per first attempt.
    reserve : float
        Maximum number of saved retries, which is also the initial budget.
    """

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE

    def __post_init__(self) -> None:
        self._available = self.reserve

    @property
    def available(self) -> float:
        """Number of saved retries."""
        return self._available

    def deposit(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self._available = min(self.reserve, self._available + self.ratio)

    def allows(self) -> bool:
        """Return whether a retry is allowed."""
        return self._available >= 1.0

    def spend(self) -> None:
        """Remove one retry from the budget."""
        self._available -= 1.0


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    rng : random.Random
        Seeded source of the jitter.
    base, limit : float
        Maximum delay in seconds before the first retry, and before any retry.
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
        """Return the time of the next attempt after attempt number `attempt` failed."""
        max_delay = min(self._limit, self._base * 2 ** (attempt - 1))
        return now + self._rng.uniform(0.0, max_delay)
