"""Notices that a process was paused, so that it does not act on old knowledge."""

PAUSE_THRESHOLD_SECONDS = 0.75
MAX_HOLD_SECONDS = 3.0


class PauseDetector:
    """Holds decisions back for a moment after a pause.

    A process that was stopped, or starved of the processor, still believes what it
    knew before. It holds its decisions until it has heard what changed meanwhile, or
    `MAX_HOLD_SECONDS` have passed without an answer.

    Parameters
    ----------
    now : float
        The current instant.
    """

    def __init__(self, now: float) -> None:
        self._last = now
        self._hold_until = 0.0

    def was_paused(self, now: float) -> bool:
        """Tell whether the process was paused since the last call of `active`."""
        return now - self._last >= PAUSE_THRESHOLD_SECONDS

    def record_activity(self, now: float) -> None:
        """Take note that the process runs; it does so many times a second."""
        if self.was_paused(now):
            self._hold_until = now + MAX_HOLD_SECONDS
        self._last = now

    def end_hold(self) -> None:
        """End the hold: the process knows what it missed."""
        self._hold_until = 0.0

    def is_holding(self, now: float) -> bool:
        """Tell whether decisions have to wait."""
        return now < self._hold_until
