"""Per-team limits of waiting requests and of their rate at one router."""

from dataclasses import dataclass

from oleandershift.dispatch import QueuedRequest, RefusalReason, Refuse
from oleandershift.ids import TeamId
from oleandershift.rows import TeamRow

BURST_SECONDS = 1.0
RETRY_MIN_SECONDS = 1.0
RETRY_MAX_SECONDS = 60.0
DEPARTURE_SMOOTHING = 0.2


@dataclass
class _Bucket:
    """Token bucket of one team."""

    tokens: float
    filled_at: float

    def fill(self, now: float, rate: float, burst: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.filled_at = now


@dataclass
class _Departures:
    """Smoothed time between a team's requests leaving the queue."""

    last_at: float
    gap_seconds: float = RETRY_MIN_SECONDS

    def note(self, now: float) -> None:
        gap = max(0.0, now - self.last_at)
        self.gap_seconds += DEPARTURE_SMOOTHING * (gap - self.gap_seconds)
        self.last_at = now


class Admission:
    """Decides whether a request may join its team's queue."""

    def __init__(self) -> None:
        self._buckets: dict[TeamId, _Bucket] = {}
        self._departures: dict[TeamId, _Departures] = {}

    def record_departure(self, now: float, team: TeamId) -> None:
        """Note that one of a team's requests has left its queue."""
        held = self._departures.get(team)
        if held is None:
            self._departures[team] = _Departures(now)
        else:
            held.note(now)

    def admit(
        self, now: float, req: QueuedRequest, row: TeamRow | None, waiting: int
    ) -> Refuse | None:
        """Take a request into account; return the refusal where it may not wait.

        Parameters
        ----------
        now : float
            The current instant.
        req : QueuedRequest
            The request; a repeated attempt is not limited again.
        row : TeamRow or None
            Its team's row.
        waiting : int
            The team's requests that wait at this router.
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
        bucket = self._buckets.setdefault(req.team, _Bucket(burst, now))
        bucket.fill(now, row.max_rate, burst)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        retry_at = now + (1.0 - bucket.tokens) / row.max_rate
        return Refuse(req.request, RefusalReason.TEAM_RATE, retry_at)

    def _seconds_until_room(self, team: TeamId) -> float:
        held = self._departures.get(team)
        gap = held.gap_seconds if held else RETRY_MIN_SECONDS
        return min(max(gap, RETRY_MIN_SECONDS), RETRY_MAX_SECONDS)
