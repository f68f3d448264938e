"""Arrival times of requests that were read after a pause of the process."""

PAUSE_THRESHOLD_SECONDS = 0.3
"""Time between two ticks that counts as a pause; three times their interval."""

CATCH_UP_SECONDS = 0.2
"""Time after a pause in which requests are read that arrived during it."""


class ArrivalClock:
    """Estimates when a request arrived.

    While a process stands still, requests wait in its sockets and their callers'
    deadlines approach. When they are read at last, their age is not known, so they
    count as received at the start of the pause.

    Parameters
    ----------
    now : float
        Current time, seconds.
    """

    def __init__(self, now: float) -> None:
        self.restart(now)

    def restart(self, now: float) -> None:
        """Record that the process starts to accept requests, so none is older."""
        self._ticked_at = now
        self._paused_at = now
        self._resumed_at = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the process is running; called at short intervals."""
        if now - self._ticked_at >= PAUSE_THRESHOLD_SECONDS:
            self._paused_at, self._resumed_at = self._ticked_at, now
        self._ticked_at = now

    def earliest_arrival(self, read_at: float) -> float:
        """Return the earliest time at which a request may have arrived.

        Parameters
        ----------
        read_at : float
            Time at which its last byte was read, seconds.
        """
        if read_at - self._ticked_at >= PAUSE_THRESHOLD_SECONDS:
            return self._ticked_at
        if self.is_catching_up(read_at):
            return self._paused_at
        return read_at

    def is_catching_up(self, now: float) -> bool:
        """Return whether the process has just resumed after a pause."""
        return (
            now - self._ticked_at >= PAUSE_THRESHOLD_SECONDS
            or now - self._resumed_at < CATCH_UP_SECONDS
        )
