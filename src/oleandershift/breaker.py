"""Circuit breaker: stops calls to a service that does not respond."""

FAILURES_TO_OPEN = 3
OPEN_SECONDS = 1.0


class CircuitBreaker:
    """Opens after consecutive failures, then allows one probe at a time.

    Parameters
    ----------
    failures : int
        Consecutive failures after which the breaker opens.
    open_seconds : float
        Interval between probes while the breaker is open.
    """

    def __init__(
        self, failures: int = FAILURES_TO_OPEN, open_seconds: float = OPEN_SECONDS
    ) -> None:
        self._failures_to_open = failures
        self._open_seconds = open_seconds
        self._failures = 0
        self._probe_at = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a call is allowed."""
        return self._failures < self._failures_to_open or now >= self._probe_at

    def on_call(self, now: float) -> None:
        """Record the start of a call; while open, this delays the next probe."""
        if self._failures >= self._failures_to_open:
            self._probe_at = now + self._open_seconds

    def on_success(self) -> None:
        """Record a response with any status, and close the breaker."""
        self._failures = 0

    def on_failure(self, now: float) -> None:
        """Record a call without a response."""
        self._failures += 1
        self._probe_at = now + self._open_seconds
