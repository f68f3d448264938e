"""Circuit breaker: stops asking a service that does not answer."""

FAILURES_TO_OPEN = 3
OPEN_SECONDS = 1.0


class CircuitBreaker:
    """Opens after consecutive failures, then lets one probe through at a time.

    Parameters
    ----------
    failures : int
        Consecutive failures that open it.
    open_seconds : float
        Time from one probe to the next while it is open.
    """

    def __init__(
        self, failures: int = FAILURES_TO_OPEN, open_seconds: float = OPEN_SECONDS
    ) -> None:
        self._limit = failures
        self._open_seconds = open_seconds
        self._failures = 0
        self._probe_at = 0.0

    def allows(self, now: float) -> bool:
        """Tell whether a call may be made."""
        return self._failures < self._limit or now >= self._probe_at

    def on_call(self, now: float) -> None:
        """Take note of a call; while open, the next probe is put off."""
        if self._failures >= self._limit:
            self._probe_at = now + self._open_seconds

    def on_success(self) -> None:
        """Take note of an answer, whatever it says."""
        self._failures = 0

    def on_failure(self, now: float) -> None:
        """Take note of a missing answer."""
        self._failures += 1
        self._probe_at = now + self._open_seconds
