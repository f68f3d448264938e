"""Clock for deadlines within one process."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> float:
    """Return the Unix time in milliseconds, as upstreams name their start."""
    return time.time() * 1000.0


def remaining(deadline: float) -> float:
    """Return the seconds until a deadline; 0 when it has passed."""
    return max(0.0, deadline - now())
