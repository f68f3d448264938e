"""Waiting requests of one service at one router, by team."""

from dataclasses import dataclass, field

from sortedcontainers import SortedList

from oleandershift.dispatch import QueuedRequest, RequestKind
from oleandershift.ids import RequestId, TeamId, UpstreamId

TARGET_WAIT_SECONDS = {
    RequestKind.CHEAP: 2.0,
    RequestKind.QUICK: 5.0,
    RequestKind.LONG: 60.0,
}
"""Seconds after its arrival at which a request without a deadline is due."""

FAILED_UPSTREAM_AVOIDANCE_SECONDS = 2.0
"""How long a request waits for another upstream than one that failed it."""


def due_at(req: QueuedRequest) -> float:
    """Return the instant by which a request should be served.

    It never moves, so that a request is overtaken only by those that are due earlier;
    nothing starves.
    """
    due = req.arrived_at + TARGET_WAIT_SECONDS[req.kind]
    return due if req.deadline is None else min(due, req.deadline)


@dataclass
class TeamQueue:
    """One team's waiting requests, the one that is due first in front."""

    due_times: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    arrivals: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    deadlines: SortedList[tuple[float, RequestId]] = field(default_factory=SortedList)
    cost: float = 0.0

    def oldest(self) -> float:
        """Return the earliest arrival; 0 when empty."""
        return float(self.arrivals[0][0]) if self.arrivals else 0.0

    def earliest_deadline(self) -> float:
        """Return the earliest deadline; 0 when there is none."""
        return float(self.deadlines[0][0]) if self.deadlines else 0.0

    def __len__(self) -> int:
        return len(self.due_times)


@dataclass(frozen=True)
class _Held:
    req: QueuedRequest
    cost: float
    queued_at: float


class TeamQueues:
    """Waiting requests of every team, each team's in the order of due instants."""

    def __init__(self) -> None:
        self._held: dict[RequestId, _Held] = {}
        self._teams: dict[TeamId, TeamQueue] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, request: object) -> bool:
        return request in self._held

    def for_team(self, team: TeamId) -> TeamQueue:
        """Return a team's queue."""
        return self._teams.get(team) or TeamQueue()

    def teams(self) -> tuple[TeamId, ...]:
        """Return the teams that have requests waiting."""
        return tuple(self._teams)

    def requests(self) -> tuple[RequestId, ...]:
        """Return all waiting requests."""
        return tuple(self._held)

    def push(self, now: float, req: QueuedRequest, cost: float) -> None:
        """Add a request with its expected cost, tokens."""
        self._held[req.request] = _Held(req, cost, now)
        queue = self._teams.setdefault(req.team, TeamQueue())
        queue.due_times.add((due_at(req), req.request))
        queue.arrivals.add((req.arrived_at, req.request))
        if req.deadline is not None:
            queue.deadlines.add((req.deadline, req.request))
        queue.cost += cost

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Take a request out; None when it does not wait here."""
        held = self._held.pop(request, None)
        if held is None:
            return None
        req = held.req
        queue = self._teams[req.team]
        queue.due_times.remove((due_at(req), request))
        queue.arrivals.remove((req.arrived_at, request))
        if req.deadline is not None:
            queue.deadlines.remove((req.deadline, request))
        queue.cost = max(0.0, queue.cost - held.cost)
        if not queue.due_times:
            del self._teams[req.team]
        return req

    def next_request(
        self, now: float, team: TeamId, upstream: UpstreamId | None = None
    ) -> QueuedRequest | None:
        """Return the team's next request that may run on an upstream."""
        for _, request in self.for_team(team).due_times:
            held = self._held[request]
            if upstream is None or upstream not in held.req.failed_upstreams:
                return held.req
            if now >= held.queued_at + FAILED_UPSTREAM_AVOIDANCE_SECONDS:
                return held.req
        return None

    def expired(self, now: float) -> tuple[QueuedRequest, ...]:
        """Return the requests whose deadline has passed."""
        found = []
        for queue in self._teams.values():
            for deadline, request in queue.deadlines:
                if deadline > now:
                    break
                found.append(self._held[request].req)
        return tuple(found)
