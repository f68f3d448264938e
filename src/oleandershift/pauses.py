"""Notices that a process was paused, so that it does not act on old knowledge."""

PAUSE_SECONDS = 0.75
HOLD_SECONDS = 0.5


class PauseDetector:
    """Holds decisions back for a moment after a pause.

    A process that was stopped, or starved of the processor, still believes what it
    knew before. Within the hold it can hear what changed meanwhile.

    Parameters
    ----------
    now : float
        The current instant.
    """

    def __init__(self, now: float) -> None:
        self._last = now
        self._hold_until = 0.0

    def active(self, now: float) -> None:
        """Take note that the process runs; it does so many times a second."""
        if now - self._last >= PAUSE_SECONDS:
            self._hold_until = now + HOLD_SECONDS
        self._last = now

    def holds(self, now: float) -> bool:
        """Tell whether decisions have to wait."""
        return now < self._hold_until
