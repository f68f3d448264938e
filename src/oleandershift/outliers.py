"""Outlier detection: ejects upstreams that fail too often."""

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
"""First ejection time of an upstream that refuses connections: a process restarts in
about that time."""

MAX_EJECTED_FRACTION = 0.5
SUCCESSES_TO_RESET = 10


@dataclass
class _UpstreamRecord:
    service: ServiceId
    samples: deque[tuple[float, bool]] = field(default_factory=deque)
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    ejections: int = 0
    ejected_until: float | None = None

    def add(self, now: float, healthy: bool) -> None:
        self.samples.append((now, healthy))
        while self.samples[0][0] < now - WINDOW_SECONDS:
            self.samples.popleft()
        self.consecutive_failures = 0 if healthy else self.consecutive_failures + 1
        self.consecutive_successes = self.consecutive_successes + 1 if healthy else 0
        if self.consecutive_successes >= SUCCESSES_TO_RESET:
            self.ejections = 0

    def is_failing(self) -> bool:
        if self.ejections and self.consecutive_failures:
            return True
        if self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            return True
        failures = sum(not healthy for _, healthy in self.samples)
        has_enough_samples = len(self.samples) >= MIN_SAMPLES
        return has_enough_samples and failures >= FAILURE_RATE_TO_EJECT * len(
            self.samples
        )

    def eject(self, now: float, base: float = EJECTION_BASE_SECONDS) -> None:
        seconds = min(EJECTION_LIMIT_SECONDS, base * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1
        self.samples.clear()
        self.consecutive_failures = 0
        self.consecutive_successes = 0


class OutlierDetector:
    """Decides which upstreams a router temporarily ejects.

    An upstream is ejected after consecutive failures, or at a high failure rate. It
    returns after a time that doubles with each ejection. A single failure then ejects
    it again, until enough consecutive successes reset its ejections. At most a fraction
    of a service's upstreams is ejected at a time: if most of them fail, the cause is
    elsewhere.
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _UpstreamRecord] = {}

    def record(
        self,
        now: float,
        service: ServiceId,
        upstream: UpstreamId,
        upstream_count: int,
        healthy: bool,
    ) -> None:
        """Record the result of an attempt, which may eject its upstream.

        Parameters
        ----------
        now : float
            Current time, seconds.
        service : ServiceId
            Service of the upstream.
        upstream : UpstreamId
            Upstream of the attempt.
        upstream_count : int
            Number of upstreams of the service, this one included.
        healthy : bool
            Whether the upstream worked correctly.
        """
        record = self._records.setdefault(upstream, _UpstreamRecord(service))
        if record.ejected_until is not None:
            return
        record.add(now, healthy)
        remaining_ejections = int(
            MAX_EJECTED_FRACTION * upstream_count
        ) - self._ejected_count(service)
        if not healthy and record.is_failing() and remaining_ejections > 0:
            record.eject(now)

    def record_unreachable(
        self, now: float, service: ServiceId, upstream: UpstreamId, upstream_count: int
    ) -> None:
        """Record a connection that could not be opened, and eject the upstream.

        A single failure is enough: while an upstream is down, each further attempt
        costs a caller the time of a connect.
        """
        record = self._records.setdefault(upstream, _UpstreamRecord(service))
        if (
            record.ejected_until is None
            and self._ejected_count(service) < upstream_count - 1
        ):
            record.eject(now, UNREACHABLE_EJECTION_SECONDS)

    def on_tick(self, now: float) -> None:
        """End the ejections that have expired."""
        for record in self._records.values():
            if record.ejected_until is not None and record.ejected_until <= now:
                record.ejected_until = None

    def ejected(self) -> frozenset[UpstreamId]:
        """Return the ejected upstreams."""
        return frozenset(
            name
            for name, record in self._records.items()
            if record.ejected_until is not None
        )

    def _ejected_count(self, service: ServiceId) -> int:
        return sum(
            record.service == service and record.ejected_until is not None
            for record in self._records.values()
        )
