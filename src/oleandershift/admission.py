"""Per-team limits of waiting requests and of the request rate at one router."""

from dataclasses import dataclass

from oleandershift.dispatch import QueuedRequest, RefusalReason, Refuse
from oleandershift.ids import TeamId
from oleandershift.rows import TeamRow

BURST_SECONDS = 1.0
RETRY_MIN_SECONDS = 1.0
RETRY_MAX_SECONDS = 60.0
DEPARTURE_SMOOTHING = 0.2


@dataclass
class _TokenBucket:
    """Token bucket of one team."""

    tokens: float
    refilled_at: float

    def refill(self, now: float, rate: float, burst: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.refilled_at = now


@dataclass
class _Departures:
    """Smoothed interval between departures from a team's queue."""

    last_at: float
    interval_seconds: float = RETRY_MIN_SECONDS

    def record(self, now: float) -> None:
        interval = max(0.0, now - self.last_at)
        self.interval_seconds += DEPARTURE_SMOOTHING * (
            interval - self.interval_seconds
        )
        self.last_at = now


class Admission:
    """Decides whether a request is admitted to its team's queue."""

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _TokenBucket] = {}
        self._departures: dict[TeamId, _Departures] = {}

    def record_departure(self, now: float, team: TeamId) -> None:
        """Record that a request has left its team's queue."""
        departures = self._departures.get(team)
        if departures is None:
            self._departures[team] = _Departures(now)
        else:
            departures.record(now)

    def admit(
        self, now: float, req: QueuedRequest, row: TeamRow | None, waiting: int
    ) -> Refuse | None:
        """Return the refusal of a request, or None if it is admitted.

        An admitted request counts against its team's rate limit.

        Parameters
        ----------
        now : float
            Current time, seconds since the Unix epoch.
        req : QueuedRequest
            The request; limits do not apply to its retries.
        row : TeamRow or None
            Row of the request's team.
        waiting : int
            The team's waiting requests at this router.
        """
        if req.deadline is not None and req.deadline <= now:
            return Refuse(req.request, RefusalReason.DEADLINE)
        if row is None or req.attempt > 1:
            return None
        if waiting >= row.max_waiting:
            retry_at = now + self._seconds_until_room(req.team)
            return Refuse(req.request, RefusalReason.TEAM_WAITING, retry_at)
        return self._limit_rate(now, req, row)

    def _limit_rate(
        self, now: float, req: QueuedRequest, row: TeamRow
    ) -> Refuse | None:
        if row.max_rate <= 0.0:
            return None
        burst = max(1.0, row.max_rate * BURST_SECONDS)
        bucket = self._buckets.setdefault(req.team, _TokenBucket(burst, now))
        bucket.refill(now, row.max_rate, burst)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        retry_at = now + (1.0 - bucket.tokens) / row.max_rate
        return Refuse(req.request, RefusalReason.TEAM_RATE, retry_at)

    def _seconds_until_room(self, team: TeamId) -> float:
        departures = self._departures.get(team)
        interval = departures.interval_seconds if departures else RETRY_MIN_SECONDS
        return min(max(interval, RETRY_MIN_SECONDS), RETRY_MAX_SECONDS)
