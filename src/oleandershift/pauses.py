"""Detection of process pauses, to avoid decisions on stale state."""

PAUSE_THRESHOLD_SECONDS = 0.75
MAX_HOLD_SECONDS = 3.0


class PauseDetector:
    """Holds decisions back after a pause of the process.

    After a process was stopped or got no CPU time, its state is stale. It holds its
    decisions until it has received the changes it missed, or until `MAX_HOLD_SECONDS`
    have passed without an answer.

    Parameters
    ----------
    now : float
        Current time, seconds since the Unix epoch.
    """

    def __init__(self, now: float) -> None:
        self._last_active_at = now
        self._hold_until = 0.0

    def was_paused(self, now: float) -> bool:
        """Return whether the process was paused since activity was last recorded."""
        return now - self._last_active_at >= PAUSE_THRESHOLD_SECONDS

    def record_activity(self, now: float) -> None:
        """Record that the process is running; called many times per second."""
        if self.was_paused(now):
            self._hold_until = now + MAX_HOLD_SECONDS
        self._last_active_at = now

    def end_hold(self) -> None:
        """End the hold, as the process has received the changes it missed."""
        self._hold_until = 0.0

    def is_holding(self, now: float) -> bool:
        """Return whether decisions must wait."""
        return now < self._hold_until
