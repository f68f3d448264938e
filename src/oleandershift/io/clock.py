"""The clock of deadlines within a process."""

import time


def now() -> float:
    """Return seconds of a clock that never jumps and counts time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def remaining(deadline: float) -> float:
    """Return the seconds left until a deadline, 0 when it has passed."""
    return max(0.0, deadline - now())
