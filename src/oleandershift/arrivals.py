"""Arrival times of requests that were read after a pause of the process."""

PAUSE_THRESHOLD_SECONDS = 0.3
"""Time between two ticks that counts as a pause."""

CATCH_UP_SECONDS = 0.2
"""Time after a pause in which requests are read that arrived during it."""

SETTLE_SECONDS = 0.02
"""Time after a pause in which a VM that was frozen with its kernel gets the packets
that waited outside of it."""


class ArrivalClock:
    """Estimates when a request arrived.

    While a process stands still, requests wait in its sockets and their callers'
    deadlines approach. When they are read at last, their age is not known, so they
    count as received at the start of the pause, until all that waited has been read.

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
        self._all_read_at = float("-inf")

    def tick(self, now: float) -> bool:
        """Record that the process is running; return whether a pause has ended.

        Called at short intervals.
        """
        has_paused = now - self._ticked_at >= PAUSE_THRESHOLD_SECONDS
        if has_paused:
            self._paused_at, self._resumed_at = self._ticked_at, now
            self._all_read_at = now + CATCH_UP_SECONDS
        self._ticked_at = now
        return has_paused

    def on_all_read(self, now: float) -> None:
        """Record that everything was read that waited in the sockets in a pause."""
        settled_at = max(now, self._resumed_at + SETTLE_SECONDS)
        self._all_read_at = min(self._all_read_at, settled_at)

    def earliest_arrival(self, read_at: float) -> float:
        """Return the earliest time at which a request may have arrived.

        Parameters
        ----------
        read_at : float
            Time at which its last byte was read, seconds.
        """
        if read_at - self._ticked_at >= PAUSE_THRESHOLD_SECONDS:
            return self._ticked_at
        if read_at < self._all_read_at:
            return min(read_at, self._paused_at)
        return read_at

    def is_catching_up(self, now: float) -> bool:
        """Return whether the process has just resumed after a pause."""
        return (
            now - self._ticked_at >= PAUSE_THRESHOLD_SECONDS
            or now - self._resumed_at < CATCH_UP_SECONDS
        )
