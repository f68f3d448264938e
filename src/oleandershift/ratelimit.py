"""Pace of edits, so that a large import leaves the platform to others as well."""


class RateLimiter:
    """Places at a steady rate.

    Parameters
    ----------
    per_second : float
        Places a second.
    """

    def __init__(self, rate_per_second: float) -> None:
        self._interval = 1.0 / rate_per_second
        self._next = 0.0

    def reserve(self, now: float) -> float:
        """Take the next place and return the instant from which it may be used."""
        at = max(now, self._next)
        self._next = at + self._interval
        return at
