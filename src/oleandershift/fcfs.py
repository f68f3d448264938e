"""First come, first served, on this router's own counts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sortedcontainers import SortedKeyList

from oleandershift.dispatch import (
    Action,
    QueuedRequest,
    RefusalReason,
    Refuse,
    Start,
)
from oleandershift.ids import RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import Envelope, Member, TeamStatus
from oleandershift.replica import Table
from oleandershift.rows import UpstreamRow, UpstreamState

START_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_SECONDS = 2.0


@dataclass
class _Figures:
    waiting: int = 0
    running: int = 0
    served_cost: float = 0.0
    served: int = 0
    refused: int = 0


@dataclass
class _Running:
    req: QueuedRequest
    upstream: UpstreamId


def _arrival(req: QueuedRequest) -> float:
    return req.arrived_at


@dataclass
class _Queue:
    waiting: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=_arrival))


class FirstComePolicy:
    """Runs requests in the order of arrival, each on the least loaded upstream.

    Each router counts only its own requests against an upstream's slots, so that
    several routers together may ask more of an upstream than it has slots.
    """

    def __init__(self) -> None:
        self._table = Table()
        self._rows: dict[ServiceId, list[UpstreamRow]] = {}
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._queues: dict[ServiceId, _Queue] = {}
        self._waiting: dict[RequestId, QueuedRequest] = {}
        self._running: dict[RequestId, _Running] = {}
        self._upstreams: dict[UpstreamId, int] = {}
        self._figures: dict[tuple[TeamId, ServiceId], _Figures] = {}

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Take the table and members now in force."""
        self._table = table
        self._rows = {}
        for row in table.upstreams.values():
            if row.state is UpstreamState.ACTIVE and row.name not in leaving:
                self._rows.setdefault(row.service, []).append(row)
        return self._dispatch_all(now)

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""
        figures = self._figure(req)
        team = self._table.teams.get(req.team)
        if team is not None and figures.waiting >= team.max_waiting:
            return [self._refuse(now, req, RefusalReason.TEAM_WAITING)]
        if not self._serving(req.service):
            return [self._refuse(now, req, RefusalReason.NO_UPSTREAM)]
        figures.waiting += 1
        self._waiting[req.request] = req
        self._queue(req.service).waiting.add(req)
        return self._dispatch(now, req.service)

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Forget a waiting request."""
        req = self._waiting.get(request)
        if req is not None:
            self._take(req)
        return []

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Take the cost so far; of no use here."""
        return []

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """Take the end of a running request."""
        ended = self._running.pop(request, None)
        if ended is None:
            return []
        self._upstreams[ended.upstream] -= 1
        figures = self._figure(ended.req)
        figures.running -= 1
        if used:
            figures.served += 1
            figures.served_cost += cost
        return self._dispatch(now, ended.req.service)

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Take the set of upstreams that this router currently finds failing."""
        self._ejected = frozenset(upstreams)
        return self._dispatch_all(now)

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Take a message; there is none for this policy."""
        return []

    def on_tick(self, now: float) -> list[Action]:
        """Refuse what has passed its deadline, or has nowhere to run."""
        actions: list[Action] = []
        for req in list(self._waiting.values()):
            reason = self._given_up(now, req)
            if reason is not None:
                self._take(req)
                actions.append(self._refuse(now, req, reason))
        return actions

    def drain(self, now: float) -> list[Action]:
        """Finish what is queued."""
        return []

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return each team's figures."""
        return tuple(
            TeamStatus(
                team,
                service,
                figures.waiting,
                figures.running,
                figures.served_cost,
                figures.served,
                figures.refused,
            )
            for (team, service), figures in sorted(self._figures.items())
        )

    def _given_up(self, now: float, req: QueuedRequest) -> RefusalReason | None:
        if req.deadline is not None and req.deadline <= now:
            return RefusalReason.DEADLINE
        if not self._serving(req.service):
            return RefusalReason.NO_UPSTREAM
        return None

    def _refuse(self, now: float, req: QueuedRequest, reason: RefusalReason) -> Refuse:
        self._figure(req).refused += 1
        if reason is RefusalReason.DEADLINE:
            return Refuse(req.request, reason)
        return Refuse(req.request, reason, now + RETRY_AFTER_SECONDS)

    def _figure(self, req: QueuedRequest) -> _Figures:
        return self._figures.setdefault((req.team, req.service), _Figures())

    def _queue(self, service: ServiceId) -> _Queue:
        return self._queues.setdefault(service, _Queue())

    def _take(self, req: QueuedRequest) -> None:
        del self._waiting[req.request]
        self._queue(req.service).waiting.remove(req)
        self._figure(req).waiting -= 1

    def _serving(self, service: ServiceId) -> list[UpstreamRow]:
        return self._rows.get(service, [])

    def _dispatch_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for service in self._queues:
            actions += self._dispatch(now, service)
        return actions

    def _dispatch(self, now: float, service: ServiceId) -> list[Action]:
        actions: list[Action] = []
        waiting = self._queue(service).waiting
        while waiting:
            req = waiting[0]
            upstream = self._choose(req)
            if upstream is None:
                break
            self._take(req)
            self._run(req, upstream)
            actions.append(
                Start(req.request, upstream, "", now + START_TIMEOUT_SECONDS)
            )
        return actions

    def _choose(self, req: QueuedRequest) -> UpstreamId | None:
        rows = self._serving(req.service)
        healthy = [row for row in rows if row.name not in self._ejected] or rows
        fresh = [
            row for row in healthy if row.name not in req.failed_upstreams
        ] or healthy
        free = [row for row in fresh if self._load(row) < 1.0]
        if not free:
            return None
        return min(free, key=lambda row: (self._load(row), row.name)).name

    def _load(self, row: UpstreamRow) -> float:
        return self._upstreams.get(row.name, 0) / max(1, row.slots)

    def _run(self, req: QueuedRequest, upstream: UpstreamId) -> None:
        self._running[req.request] = _Running(req, upstream)
        self._upstreams[upstream] = self._upstreams.get(upstream, 0) + 1
        self._figure(req).running += 1
