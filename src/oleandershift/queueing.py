"""Base class of the policies that queue requests by team at the router."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from oleandershift.admission import Admission
from oleandershift.costs import CostModel
from oleandershift.dispatch import (
    Action,
    QueuedRequest,
    RefusalReason,
    Refuse,
    RequestKind,
    Start,
)
from oleandershift.ids import RegionId, RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import GrantUse, Member, ProcessId, TeamLoad, TeamStatus
from oleandershift.queues import TeamQueues
from oleandershift.replica import Table
from oleandershift.rows import UpstreamRow, UpstreamState
from oleandershift.teamcounters import TeamCounters

NO_UPSTREAM_RETRY_SECONDS = 5.0
PROGRESS_REPORT_FACTOR = 1.5
"""A running request's cost is reported once it exceeds the last reported cost and the
charge by this factor."""


@dataclass
class RunningRequest:
    """A running request and its grant.

    Parameters
    ----------
    req : QueuedRequest
        The request.
    use : GrantUse
        Use of the grant, with the cost so far.
    """

    req: QueuedRequest
    use: GrantUse


@dataclass
class ServiceState:
    """Requests of one service at this router.

    Parameters
    ----------
    name : ServiceId
        The service.
    usable : dict
        Rows of the upstreams that accept new requests.
    """

    name: ServiceId
    queues: TeamQueues = field(default_factory=TeamQueues)
    costs: CostModel[tuple[TeamId, RequestKind]] = field(default_factory=CostModel)
    running: dict[RequestId, RunningRequest] = field(default_factory=dict)
    usable: dict[UpstreamId, UpstreamRow] = field(default_factory=dict)

    def has_requests(self) -> bool:
        """Return whether any request waits or runs."""
        return len(self.queues) > 0 or bool(self.running)


class QueueingPolicy(ABC):
    """Admits and queues requests; subclasses choose which one runs on which upstream.

    Parameters
    ----------
    process : ProcessId
        Incarnation of the router.
    region : RegionId
        The router's region.
    address : str
        The router's link address.
    """

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        self._process = process
        self._region = region
        self._address = address
        self._table = Table()
        self._services: dict[ServiceId, ServiceState] = {}
        self._service_by_request: dict[RequestId, ServiceState] = {}
        self._admission = Admission()
        self._counters = TeamCounters()
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._draining = False

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Apply the current table and membership."""
        self._table = table
        actions: list[Action] = []
        for name in sorted(table.services.keys() | self._services.keys()):
            service = self._services.setdefault(name, ServiceState(name))
            service.usable = {
                row.name: row
                for row in table.upstreams_of(name)
                if row.state is UpstreamState.ACTIVE and row.name not in leaving
            }
            self._on_configure(service, members)
            if not service.usable:
                actions += self._refuse_all(now, service)
        return actions + self._run_all_due(now)

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""
        service = self._services.get(req.service)
        self._counters.register(req.team, req.service)
        refusal = self._admit(now, req, service)
        if refusal is not None or service is None:
            self._counters.count_refusal(req.team, req.service)
            return [refusal] if refusal else []
        cost = service.costs.estimate((req.team, req.kind), req.cost_hint)
        service.queues.push(now, req, cost)
        self._service_by_request[req.request] = service
        self._on_team_change(now, service, req.team)
        return self._run_due(now, service)

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Remove a waiting request; a running one ends through `finish`."""
        service = self._service_by_request.get(request)
        req = service.queues.remove(request) if service else None
        if service is None or req is None:
            return []
        del self._service_by_request[request]
        self._on_team_change(now, service, req.team)
        return self._run_due(now, service)

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Update the cost so far of a running request, tokens."""
        service = self._service_by_request.get(request)
        running = service.running.get(request) if service else None
        if service is None or running is None:
            return []
        if cost <= PROGRESS_REPORT_FACTOR * max(running.use.cost, running.use.charged):
            return []
        running.use = _with_cost(running.use, cost)
        self._on_use_change(now, service, running.use)
        return self._run_due(now, service)

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """End a running request."""
        service = self._service_by_request.pop(request, None)
        running = service.running.pop(request, None) if service else None
        if service is None or running is None:
            return []
        req = running.req
        self._counters.count_end(req.team, req.service, cost if used else 0.0, used)
        if used and cost > 0.0:
            service.costs.observe((req.team, req.kind), cost, req.cost_hint)
        self._on_use_change(now, service, ended_use(running.use, cost, not used))
        self._on_team_change(now, service, req.team)
        return self._run_due(now, service)

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Set the upstreams that this router has ejected as failing."""
        self._ejected = frozenset(upstreams)
        return self._run_all_due(now)

    def on_tick(self, now: float) -> list[Action]:
        """Refuse requests past their deadline and run what is due."""
        actions: list[Action] = []
        for service in self._services.values():
            for req in service.queues.expired(now):
                refusal = Refuse(req.request, RefusalReason.DEADLINE)
                actions.append(self._refuse(now, service, refusal))
        return actions + self._run_all_due(now)

    def drain(self, now: float) -> list[Action]:
        """Refuse new requests; those already queued still run."""
        self._draining = True
        return self._run_all_due(now)

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return the status of each team and service."""
        waiting = {
            (team, service.name): len(service.queues.for_team(team))
            for service in self._services.values()
            for team in service.queues.teams()
        }
        return self._counters.statuses(waiting)

    # Implemented by subclasses

    @abstractmethod
    def _on_configure(
        self, service: ServiceState, members: Mapping[str, Member]
    ) -> None:
        """Apply the current members and upstreams of a service."""

    @abstractmethod
    def _on_team_change(self, now: float, service: ServiceState, team: TeamId) -> None:
        """Handle a change of a team's waiting or running requests."""

    @abstractmethod
    def _on_use_change(self, now: float, service: ServiceState, use: GrantUse) -> None:
        """Handle a new cost or the end of a running request."""

    @abstractmethod
    def _run_due(self, now: float, service: ServiceState) -> list[Action]:
        """Start requests and send messages that are due for a service."""

    # Used by subclasses

    def _run_all_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for service in self._services.values():
            actions += self._run_due(now, service)
        return actions

    def _start(
        self,
        now: float,
        service: ServiceState,
        req: QueuedRequest,
        use: GrantUse,
        deadline: float,
    ) -> Start:
        """Move a request from its queue to the running requests."""
        service.queues.remove(req.request)
        service.running[req.request] = RunningRequest(req, use)
        self._admission.record_departure(now, req.team)
        self._counters.count_start(req.team, req.service)
        self._on_team_change(now, service, req.team)
        grant = f"{use.allocator}:{use.grant}"
        return Start(req.request, use.upstream, grant, deadline)

    def _team_load(self, service: ServiceState, team: TeamId) -> TeamLoad:
        """Return a team's load, rounded to integers to save bytes on the wire."""
        queue = service.queues.for_team(team)
        return TeamLoad(
            team,
            len(queue),
            self._counters.running(team, service.name),
            round(queue.cost),
            int(queue.oldest()),
            int(queue.earliest_deadline()),
        )

    def _admit(
        self, now: float, req: QueuedRequest, service: ServiceState | None
    ) -> Refuse | None:
        if service is None or not service.usable:
            retry_at = now + NO_UPSTREAM_RETRY_SECONDS
            return Refuse(req.request, RefusalReason.NO_UPSTREAM, retry_at)
        if self._draining and req.attempt == 1:
            return Refuse(req.request, RefusalReason.DRAINING, now)
        waiting = len(service.queues.for_team(req.team))
        row = self._table.teams.get(req.team)
        return self._admission.admit(now, req, row, waiting)

    def _refuse_all(self, now: float, service: ServiceState) -> list[Action]:
        retry_at = now + NO_UPSTREAM_RETRY_SECONDS
        return [
            self._refuse(
                now, service, Refuse(request, RefusalReason.NO_UPSTREAM, retry_at)
            )
            for request in service.queues.requests()
        ]

    def _refuse(self, now: float, service: ServiceState, refusal: Refuse) -> Refuse:
        req = service.queues.remove(refusal.request)
        if req is not None:
            del self._service_by_request[req.request]
            self._counters.count_refusal(req.team, req.service)
            self._on_team_change(now, service, req.team)
        return refusal


def _with_cost(use: GrantUse, cost: float) -> GrantUse:
    return GrantUse(
        use.allocator,
        use.grant,
        use.upstream,
        use.team,
        round(cost),
        charged=use.charged,
    )


def ended_use(use: GrantUse, cost: float, unused: bool) -> GrantUse:
    """Return the final use of a grant.

    Parameters
    ----------
    use : GrantUse
        Use before the end.
    cost : float
        Final cost, tokens.
    unused : bool
        Whether no request ran on the grant.
    """
    return GrantUse(
        use.allocator,
        use.grant,
        use.upstream,
        use.team,
        0.0 if unused else round(cost),
        True,
        unused,
        use.charged,
    )
