"""Rate limiter for edits, so that large imports leave platform capacity to others."""


class RateLimiter:
    """Limits operations to a steady rate, without bursts.

    Parameters
    ----------
    per_second : float
        Operations per second.
    """

    def __init__(self, per_second: float) -> None:
        self._interval = 1.0 / per_second
        self._next = 0.0

    def reserve(self, now: float) -> float:
        """Reserve the next operation and return the earliest time to start it."""
        at = max(now, self._next)
        self._next = at + self._interval
        return at
