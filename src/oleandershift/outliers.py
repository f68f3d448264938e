"""Ejection of upstreams that fail far more often than they should."""

from collections import deque
from dataclasses import dataclass, field

from oleandershift.ids import ServiceId, UpstreamId

CONSECUTIVE_FAILURES_TO_EJECT = 5
WINDOW_SECONDS = 10.0
MIN_SAMPLES = 20
FAILURE_RATE_TO_EJECT = 0.5
EJECTION_BASE_SECONDS = 2.0
EJECTION_LIMIT_SECONDS = 60.0
UNREACHABLE_EJECTION_SECONDS = 0.5
"""First ejection of an upstream that takes no connection: a process restarts in about
that time."""

MAX_EJECTED_FRACTION = 0.5
SUCCESSES_TO_RESET = 10


@dataclass
class _Record:
    service: ServiceId
    recent: deque[tuple[float, bool]] = field(default_factory=deque)
    consecutive: int = 0
    successes: int = 0
    ejections: int = 0
    until: float | None = None

    def add(self, now: float, healthy: bool) -> None:
        self.recent.append((now, healthy))
        while self.recent[0][0] < now - WINDOW_SECONDS:
            self.recent.popleft()
        self.consecutive = 0 if healthy else self.consecutive + 1
        self.successes = self.successes + 1 if healthy else 0
        if self.successes >= SUCCESSES_TO_RESET:
            self.ejections = 0

    def is_failing(self) -> bool:
        if self.ejections and self.consecutive:
            return True
        if self.consecutive >= CONSECUTIVE_FAILURES_TO_EJECT:
            return True
        failures = sum(not healthy for _, healthy in self.recent)
        enough = len(self.recent) >= MIN_SAMPLES
        return enough and failures >= FAILURE_RATE_TO_EJECT * len(self.recent)

    def eject(self, now: float, base: float = EJECTION_BASE_SECONDS) -> None:
        seconds = min(EJECTION_LIMIT_SECONDS, base * 2.0**self.ejections)
        self.until = now + seconds
        self.ejections += 1
        self.recent.clear()
        self.consecutive = 0
        self.successes = 0


class OutlierDetector:
    """Decides which upstreams a router leaves out for a while.

    An upstream is ejected after consecutive failures, or at a high failure rate. It
    comes back after a time that doubles with each ejection; then one failure ejects
    it again, until enough successes in a row have made up for it. At most a share of
    a service's upstreams is ejected at once: when most fail, the fault lies elsewhere.
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}

    def record(
        self,
        now: float,
        service: ServiceId,
        upstream: UpstreamId,
        peers: int,
        healthy: bool,
    ) -> None:
        """Take the end of an attempt.

        Parameters
        ----------
        now : float
            The current instant.
        service : ServiceId
            What the upstream serves.
        upstream : UpstreamId
            Where the attempt ran.
        peers : int
            Number of upstreams of the service, this one included.
        healthy : bool
            Whether the upstream did its part.
        """
        record = self._records.setdefault(upstream, _Record(service))
        if record.until is not None:
            return
        record.add(now, healthy)
        room = int(MAX_EJECTED_FRACTION * peers) - self._ejected_of(service)
        if not healthy and record.is_failing() and room > 0:
            record.eject(now)

    def record_unreachable(
        self, now: float, service: ServiceId, upstream: UpstreamId, peers: int
    ) -> None:
        """Take a connection that could not be opened: one is enough to eject.

        Answers the load of an upstream that is down, where each further attempt
        costs a caller the time of a connect.
        """
        record = self._records.setdefault(upstream, _Record(service))
        if record.until is None and self._ejected_of(service) < peers - 1:
            record.eject(now, UNREACHABLE_EJECTION_SECONDS)

    def on_tick(self, now: float) -> None:
        """Let upstreams back whose time is over."""
        for record in self._records.values():
            if record.until is not None and record.until <= now:
                record.until = None

    def ejected(self) -> frozenset[UpstreamId]:
        """Return the upstreams that are left out."""
        return frozenset(
            name for name, record in self._records.items() if record.until is not None
        )

    def _ejected_of(self, service: ServiceId) -> int:
        return sum(
            record.service == service and record.until is not None
            for record in self._records.values()
        )
