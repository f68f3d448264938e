"""Base of the policies that queue requests by team at the router."""

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
"""A running request's cost is reported when it has grown by this factor."""


@dataclass
class RunningRequest:
    """A request that runs.

    Parameters
    ----------
    req : QueuedRequest
        The request.
    use : GrantUse
        What it runs on, and its cost so far.
    """

    req: QueuedRequest
    use: GrantUse


@dataclass
class ServiceState:
    """One service's requests at this router.

    Parameters
    ----------
    name : ServiceId
        The service.
    usable : dict
        Rows of the upstreams that may take new work.
    """

    name: ServiceId
    queues: TeamQueues = field(default_factory=TeamQueues)
    costs: CostModel[tuple[TeamId, RequestKind]] = field(default_factory=CostModel)
    running: dict[RequestId, RunningRequest] = field(default_factory=dict)
    usable: dict[UpstreamId, UpstreamRow] = field(default_factory=dict)

    def has_requests(self) -> bool:
        """Tell whether anything waits or runs."""
        return len(self.queues) > 0 or bool(self.running)


class QueueingPolicy(ABC):
    """Admits and queues requests; subclasses decide which run, and where.

    Parameters
    ----------
    process : ProcessId
        This run of the router.
    region : RegionId
        Its region.
    address : str
        Its link address.
    """

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        self._process = process
        self._region = region
        self._address = address
        self._table = Table()
        self._services: dict[ServiceId, ServiceState] = {}
        self._service_of: dict[RequestId, ServiceState] = {}
        self._admission = Admission()
        self._figures = TeamCounters()
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._draining = False

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Take the table and members now in force."""
        self._table = table
        actions: list[Action] = []
        for name in sorted(table.services.keys() | self._services.keys()):
            service = self._services.setdefault(name, ServiceState(name))
            service.usable = {
                row.name: row
                for row in table.upstreams_of(name)
                if row.state is UpstreamState.ACTIVE and row.name not in leaving
            }
            self._follow(service, members)
            if not service.usable:
                actions += self._refuse_all(now, service)
        return actions + self._advance_all(now)

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""
        service = self._services.get(req.service)
        self._figures.register(req.team, req.service)
        refusal = self._refusal(now, req, service)
        if refusal is not None or service is None:
            self._figures.count_refusal(req.team, req.service)
            return [refusal] if refusal else []
        cost = service.costs.estimate((req.team, req.kind), req.cost_hint)
        service.queues.push(now, req, cost)
        self._service_of[req.request] = service
        self._on_change(now, service, req.team)
        return self._advance(now, service)

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Forget a waiting request; one that runs ends by `finish`."""
        service = self._service_of.get(request)
        req = service.queues.remove(request) if service else None
        if service is None or req is None:
            return []
        del self._service_of[request]
        self._on_change(now, service, req.team)
        return self._advance(now, service)

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Take the cost so far of a running request, tokens."""
        service = self._service_of.get(request)
        held = service.running.get(request) if service else None
        if service is None or held is None:
            return []
        if cost <= PROGRESS_REPORT_FACTOR * max(held.use.cost, held.use.charged):
            return []
        held.use = _progressed(held.use, cost)
        self._on_use(now, service, held.use)
        return self._advance(now, service)

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """Take the end of a running request."""
        service = self._service_of.pop(request, None)
        held = service.running.pop(request, None) if service else None
        if service is None or held is None:
            return []
        req = held.req
        self._figures.count_end(req.team, req.service, cost if used else 0.0, used)
        if used and cost > 0.0:
            service.costs.observe((req.team, req.kind), cost, req.cost_hint)
        self._on_use(now, service, ended_use(held.use, cost, not used))
        self._on_change(now, service, req.team)
        return self._advance(now, service)

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Take the set of upstreams that this router currently finds failing."""
        self._ejected = frozenset(upstreams)
        return self._advance_all(now)

    def on_tick(self, now: float) -> list[Action]:
        """Take the passage of time."""
        actions: list[Action] = []
        for service in self._services.values():
            for req in service.queues.expired(now):
                refusal = Refuse(req.request, RefusalReason.DEADLINE)
                actions.append(self._refuse(now, service, refusal))
        return actions + self._advance_all(now)

    def drain(self, now: float) -> list[Action]:
        """Ask for grants only for what is already queued."""
        self._draining = True
        return self._advance_all(now)

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return each team's figures."""
        waiting = {
            (team, service.name): len(service.queues.for_team(team))
            for service in self._services.values()
            for team in service.queues.teams()
        }
        return self._figures.statuses(waiting)

    # Left to the subclasses

    @abstractmethod
    def _follow(self, service: ServiceState, members: Mapping[str, Member]) -> None:
        """Take the members and upstreams now in force for a service."""

    @abstractmethod
    def _on_change(self, now: float, service: ServiceState, team: TeamId) -> None:
        """Take note that a team's waiting or running requests changed."""

    @abstractmethod
    def _on_use(self, now: float, service: ServiceState, use: GrantUse) -> None:
        """Take note of the cost or the end of a running request."""

    @abstractmethod
    def _advance(self, now: float, service: ServiceState) -> list[Action]:
        """Do what has become due for a service."""

    # For the subclasses

    def _advance_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for service in self._services.values():
            actions += self._advance(now, service)
        return actions

    def _start(
        self,
        now: float,
        service: ServiceState,
        req: QueuedRequest,
        use: GrantUse,
        deadline: float,
    ) -> Start:
        """Move a request from its queue to the running ones."""
        service.queues.remove(req.request)
        service.running[req.request] = RunningRequest(req, use)
        self._admission.record_departure(now, req.team)
        self._figures.count_start(req.team, req.service)
        self._on_change(now, service, req.team)
        grant = f"{use.allocator}:{use.grant}"
        return Start(req.request, use.upstream, grant, deadline)

    def _load(self, service: ServiceState, team: TeamId) -> TeamLoad:
        """Return a team's load, in whole numbers to save bytes."""
        queue = service.queues.for_team(team)
        return TeamLoad(
            team,
            len(queue),
            self._figures.running(team, service.name),
            round(queue.cost),
            int(queue.oldest()),
            int(queue.earliest_deadline()),
        )

    def _refusal(
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
            del self._service_of[req.request]
            self._figures.count_refusal(req.team, req.service)
            self._on_change(now, service, req.team)
        return refusal


def _progressed(use: GrantUse, cost: float) -> GrantUse:
    return GrantUse(
        use.allocator,
        use.grant,
        use.upstream,
        use.team,
        round(cost),
        charged=use.charged,
    )


def ended_use(use: GrantUse, cost: float, unused: bool) -> GrantUse:
    """Return a grant's use at its end.

    Parameters
    ----------
    use : GrantUse
        The grant as it was.
    cost : float
        Final cost, tokens.
    unused : bool
        Nothing ran on it.
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
