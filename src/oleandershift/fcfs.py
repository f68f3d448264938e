"""First-come, first-served policy that uses only this router's own counts."""

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
class _Counters:
    waiting: int = 0
    running: int = 0
    served_cost: float = 0.0
    served: int = 0
    refused: int = 0


@dataclass
class _RunningRequest:
    req: QueuedRequest
    upstream: UpstreamId


def _arrival(req: QueuedRequest) -> float:
    return req.arrived_at


@dataclass
class _ServiceQueue:
    waiting: SortedKeyList = field(default_factory=lambda: SortedKeyList(key=_arrival))


class FirstComePolicy:
    """Runs requests in order of arrival, each on the least loaded upstream.

    Each router counts only its own requests against an upstream's slots, so several
    routers together can send an upstream more requests than it has slots.
    """

    def __init__(self) -> None:
        self._table = Table()
        self._active_rows: dict[ServiceId, list[UpstreamRow]] = {}
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._queues: dict[ServiceId, _ServiceQueue] = {}
        self._waiting: dict[RequestId, QueuedRequest] = {}
        self._running: dict[RequestId, _RunningRequest] = {}
        self._running_per_upstream: dict[UpstreamId, int] = {}
        self._counters: dict[tuple[TeamId, ServiceId], _Counters] = {}

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Apply the current table."""
        self._table = table
        self._active_rows = {}
        for row in table.upstreams.values():
            if row.state is UpstreamState.ACTIVE and row.name not in leaving:
                self._active_rows.setdefault(row.service, []).append(row)
        return self._dispatch_all(now)

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""
        counters = self._counters_of(req)
        team = self._table.teams.get(req.team)
        if team is not None and counters.waiting >= team.max_waiting:
            return [self._refuse(now, req, RefusalReason.TEAM_WAITING)]
        if not self._rows_of(req.service):
            return [self._refuse(now, req, RefusalReason.NO_UPSTREAM)]
        counters.waiting += 1
        self._waiting[req.request] = req
        self._queue(req.service).waiting.add(req)
        return self._dispatch(now, req.service)

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Remove a waiting request."""
        req = self._waiting.get(request)
        if req is not None:
            self._dequeue(req)
        return []

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Ignore the cost so far: this policy does not use it."""
        return []

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """End a running request."""
        running = self._running.pop(request, None)
        if running is None:
            return []
        self._running_per_upstream[running.upstream] -= 1
        counters = self._counters_of(running.req)
        counters.running -= 1
        if used:
            counters.served += 1
            counters.served_cost += cost
        return self._dispatch(now, running.req.service)

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Set the upstreams that this router has ejected as failing."""
        self._ejected = frozenset(upstreams)
        return self._dispatch_all(now)

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Ignore the message: this policy uses none."""
        return []

    def on_tick(self, now: float) -> list[Action]:
        """Refuse requests past their deadline or without an upstream."""
        actions: list[Action] = []
        for req in list(self._waiting.values()):
            reason = self._refusal_reason(now, req)
            if reason is not None:
                self._dequeue(req)
                actions.append(self._refuse(now, req, reason))
        return actions

    def drain(self, now: float) -> list[Action]:
        """Do nothing: queued requests still run."""
        return []

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return the status of each team and service."""
        return tuple(
            TeamStatus(
                team,
                service,
                counters.waiting,
                counters.running,
                counters.served_cost,
                counters.served,
                counters.refused,
            )
            for (team, service), counters in sorted(self._counters.items())
        )

    def _refusal_reason(self, now: float, req: QueuedRequest) -> RefusalReason | None:
        if req.deadline is not None and req.deadline <= now:
            return RefusalReason.DEADLINE
        if not self._rows_of(req.service):
            return RefusalReason.NO_UPSTREAM
        return None

    def _refuse(self, now: float, req: QueuedRequest, reason: RefusalReason) -> Refuse:
        self._counters_of(req).refused += 1
        if reason is RefusalReason.DEADLINE:
            return Refuse(req.request, reason)
        return Refuse(req.request, reason, now + RETRY_AFTER_SECONDS)

    def _counters_of(self, req: QueuedRequest) -> _Counters:
        return self._counters.setdefault((req.team, req.service), _Counters())

    def _queue(self, service: ServiceId) -> _ServiceQueue:
        return self._queues.setdefault(service, _ServiceQueue())

    def _dequeue(self, req: QueuedRequest) -> None:
        del self._waiting[req.request]
        self._queue(req.service).waiting.remove(req)
        self._counters_of(req).waiting -= 1

    def _rows_of(self, service: ServiceId) -> list[UpstreamRow]:
        return self._active_rows.get(service, [])

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
            upstream = self._choose_upstream(req)
            if upstream is None:
                break
            self._dequeue(req)
            self._run(req, upstream)
            actions.append(
                Start(req.request, upstream, "", now + START_TIMEOUT_SECONDS)
            )
        return actions

    def _choose_upstream(self, req: QueuedRequest) -> UpstreamId | None:
        rows = self._rows_of(req.service)
        healthy = [row for row in rows if row.name not in self._ejected] or rows
        untried = [
            row for row in healthy if row.name not in req.failed_upstreams
        ] or healthy
        free = [row for row in untried if self._load(row) < 1.0]
        if not free:
            return None
        return min(free, key=lambda row: (self._load(row), row.name)).name

    def _load(self, row: UpstreamRow) -> float:
        return self._running_per_upstream.get(row.name, 0) / max(1, row.slots)

    def _run(self, req: QueuedRequest, upstream: UpstreamId) -> None:
        self._running[req.request] = _RunningRequest(req, upstream)
        self._running_per_upstream[upstream] = (
            self._running_per_upstream.get(upstream, 0) + 1
        )
        self._counters_of(req).running += 1
