"""Detection of an event loop that has more work than its VM's processor can do."""

OVERLOAD_DELAY_SECONDS = 0.04
"""Delay of a tick, or of the begin of a request, from which on the loop counts as
overloaded. A request needs several iterations, each about as long as this delay."""

OVERLOAD_SECONDS = 0.5
"""Time after such a delay for which the loop counts as overloaded."""


class LoopDelay:
    """Measures by how much the ticks of an event loop are delayed.

    Parameters
    ----------
    interval_s : float
        Planned time between two ticks, seconds.

    Attributes
    ----------
    last_s : float
        Delay of the latest tick, seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._ticked_at: float | None = None
        self._overloaded_until = float("-inf")
        self.last_s = 0.0

    def tick(self, now: float) -> None:
        """Record a tick at a time in seconds."""
        previous, self._ticked_at = self._ticked_at, now
        if previous is None:
            return
        self.last_s = max(0.0, now - previous - self._interval_s)
        if self.last_s >= OVERLOAD_DELAY_SECONDS:
            self._overloaded_until = now + OVERLOAD_SECONDS

    def on_wait(self, now: float, wait_s: float) -> None:
        """Record that a request waited for its turn, as the loop had others to begin.

        Where few requests are begun in an iteration, ticks are punctual in an overload.
        """
        if wait_s >= OVERLOAD_DELAY_SECONDS:
            self._overloaded_until = now + OVERLOAD_SECONDS

    def is_overloaded(self, now: float) -> bool:
        """Return whether a tick or a request was delayed in `OVERLOAD_SECONDS`."""
        return now < self._overloaded_until
