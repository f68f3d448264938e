"""Queues of the waiting requests of one service at one router, one for each team."""

from dataclasses import dataclass, field

from sortedcontainers import SortedList

from oleandershift.dispatch import QueuedRequest, RequestKind
from oleandershift.ids import RequestId, TeamId, UpstreamId

TARGET_WAIT_SECONDS = {
    RequestKind.CHEAP: 2.0,
    RequestKind.QUICK: 5.0,
    RequestKind.LONG: 60.0,
}
"""A request is due this long after its arrival, or at its deadline if earlier."""

FAILED_UPSTREAM_AVOIDANCE_SECONDS = 2.0
"""How long after queueing a request is not sent to an upstream that failed it."""


def due_at(req: QueuedRequest) -> float:
    """Return when a request should be served, seconds since the Unix epoch.

    It is fixed, so only requests that are due earlier can overtake a request, and no
    request starves.
    """
    target = req.arrived_at + TARGET_WAIT_SECONDS[req.kind]
    return target if req.deadline is None else min(target, req.deadline)


@dataclass
class TeamQueue:
    """Waiting requests of one team, ordered by due time.

    Attributes
    ----------
    cost : float
        Expected cost of all waiting requests, tokens.
    """

    due_times: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    arrivals: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    deadlines: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    cost: float = 0.0

    def oldest(self) -> float:
        """Return the earliest arrival time, or 0 if the queue is empty."""
        return float(self.arrivals[0][0]) if self.arrivals else 0.0

    def earliest_deadline(self) -> float:
        """Return the earliest deadline, or 0 if no request has one."""
        return float(self.deadlines[0][0]) if self.deadlines else 0.0

    def __len__(self) -> int:
        return len(self.due_times)


@dataclass(frozen=True)
class _QueuedEntry:
    req: QueuedRequest
    cost: float
    queued_at: float


class TeamQueues:
    """Waiting requests of all teams, with one queue for each team."""

    def __init__(self) -> None:
        self._entries: dict[RequestId, _QueuedEntry] = {}
        self._teams: dict[TeamId, TeamQueue] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request: object) -> bool:
        return request in self._entries

    def for_team(self, team: TeamId) -> TeamQueue:
        """Return a team's queue, empty if nothing waits."""
        return self._teams.get(team) or TeamQueue()

    def teams(self) -> tuple[TeamId, ...]:
        """Return the teams that have waiting requests."""
        return tuple(self._teams)

    def requests(self) -> tuple[RequestId, ...]:
        """Return all waiting requests."""
        return tuple(self._entries)

    def push(self, now: float, req: QueuedRequest, cost: float) -> None:
        """Queue a request with its expected cost, tokens."""
        self._entries[req.request] = _QueuedEntry(req, cost, now)
        queue = self._teams.setdefault(req.team, TeamQueue())
        queue.due_times.add((due_at(req), req.request))
        queue.arrivals.add((req.arrived_at, req.request))
        if req.deadline is not None:
            queue.deadlines.add((req.deadline, req.request))
        queue.cost += cost

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Remove and return a request, or None if it is not queued."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        req = entry.req
        queue = self._teams[req.team]
        queue.due_times.remove((due_at(req), request))
        queue.arrivals.remove((req.arrived_at, request))
        if req.deadline is not None:
            queue.deadlines.remove((req.deadline, request))
        queue.cost = max(0.0, queue.cost - entry.cost)
        if not queue.due_times:
            del self._teams[req.team]
        return req

    def next_request(
        self, now: float, team: TeamId, upstream: UpstreamId | None = None
    ) -> QueuedRequest | None:
        """Return a team's next request that may run on an upstream, or None."""
        for _, request in self.for_team(team).due_times:
            entry = self._entries[request]
            if upstream is None or upstream not in entry.req.failed_upstreams:
                return entry.req
            if now >= entry.queued_at + FAILED_UPSTREAM_AVOIDANCE_SECONDS:
                return entry.req
        return None

    def expired(self, now: float) -> tuple[QueuedRequest, ...]:
        """Return the requests that are past their deadline."""
        expired_requests = []
        for queue in self._teams.values():
            for deadline, request in queue.deadlines:
                if deadline > now:
                    break
                expired_requests.append(self._entries[request].req)
        return tuple(expired_requests)
