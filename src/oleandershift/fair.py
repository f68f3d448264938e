"""Router's fair policy: it runs requests on grants of its region's allocators."""

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
    Send,
    Start,
)
from oleandershift.figures import TeamFigures
from oleandershift.ids import RegionId, RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import (
    Envelope,
    Grant,
    Grants,
    GrantUse,
    Member,
    ProcessId,
    Snapshot,
    TeamLoad,
    TeamStatus,
)
from oleandershift.queues import Queues
from oleandershift.rendezvous import allocator_for
from oleandershift.replica import Table
from oleandershift.rows import UpstreamState
from oleandershift.streams import ROUTER_PACE, SnapshotStream, UseKey

NO_UPSTREAM_RETRY_SECONDS = 5.0
PROGRESS_FACTOR = 1.5


@dataclass
class _Running:
    """A request that runs on a grant."""

    req: QueuedRequest
    use: GrantUse


@dataclass
class _Service:
    """One service's queue and its stream of snapshots."""

    name: ServiceId
    queues: Queues = field(default_factory=Queues)
    stream: SnapshotStream = field(default_factory=lambda: SnapshotStream(ROUTER_PACE))
    costs: CostModel[tuple[TeamId, RequestKind]] = field(default_factory=CostModel)
    running: dict[RequestId, _Running] = field(default_factory=dict)
    usable: frozenset[UpstreamId] = frozenset()
    allocator: Member | None = None
    seen: dict[UseKey, float] = field(default_factory=dict)
    sent_waiting: dict[TeamId, int] = field(default_factory=dict)

    def touch(self, team: TeamId) -> None:
        """Note a change of a team's load; urgent where its backlog has grown."""
        waiting = len(self.queues.team(team))
        urgent = waiting > 2 * self.sent_waiting.get(team, 0)
        self.stream.touch_team(team, urgent)

    def expects(self, allocator: ProcessId) -> bool:
        """Tell whether an allocator is the one that snapshots go to."""
        held = self.allocator
        if held is None or held.vm != allocator.vm:
            return False
        return self.stream.expects(allocator)

    def is_working(self) -> bool:
        """Tell whether anything waits or runs."""
        return len(self.queues) > 0 or bool(self.running)


class FairPolicy:
    """Queues requests by team and starts them as grants arrive.

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
        self._services: dict[ServiceId, _Service] = {}
        self._admission = Admission()
        self._figures = TeamFigures()
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._service_of: dict[RequestId, _Service] = {}
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
        for name in table.services.keys() | self._services.keys():
            service = self._services.setdefault(name, _Service(name))
            service.usable = frozenset(
                row.name
                for row in table.upstreams_of(name)
                if row.state is UpstreamState.ACTIVE and row.name not in leaving
            )
            self._follow_allocator(service, members)
            if not service.usable:
                actions += self._refuse_all(now, service)
        return actions + self._flush(now)

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""
        service = self._services.get(req.service)
        self._figures.add(req.team, req.service)
        refusal = self._refusal(now, req, service)
        if refusal is not None or service is None:
            self._figures.count_refusal(req.team, req.service)
            return [refusal] if refusal else []
        cost = service.costs.estimate((req.team, req.kind), req.hint)
        service.queues.push(now, req, cost)
        service.touch(req.team)
        self._service_of[req.request] = service
        return self._flush_service(now, service)

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Forget a waiting request; one that runs ends by `finish`."""
        service = self._service_of.get(request)
        req = service.queues.remove(request) if service else None
        if service is None or req is None:
            return []
        del self._service_of[request]
        service.touch(req.team)
        return self._flush_service(now, service)

    def progress(self, now: float, request: RequestId, cost: float) -> list[Action]:
        """Take the cost so far of a running request, tokens."""
        service = self._service_of.get(request)
        held = service.running.get(request) if service else None
        if service is None or held is None:
            return []
        if cost <= PROGRESS_FACTOR * max(held.use.cost, held.use.charged):
            return []
        held.use = _progressed(held.use, cost)
        service.stream.put_use(held.use)
        return self._flush_service(now, service)

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
            service.costs.observe((req.team, req.kind), cost, req.hint)
        service.stream.put_use(_ended(held.use, cost, not used), urgent=True)
        service.touch(req.team)
        return self._flush_service(now, service)

    def eject(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Take the set of upstreams that this router currently finds failing."""
        self._ejected = frozenset(upstreams)
        return []

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Take a message."""
        body = envelope.body
        if not isinstance(body, Grants) or body.region != self._region:
            return []
        service = self._services.get(body.service)
        if service is None:
            return []
        if service.expects(body.allocator):
            service.stream.on_ack(now, body.allocator, body.ack)
        actions: list[Action] = []
        for grant in body.grants:
            actions += self._on_grant(now, service, body.allocator, grant)
        return actions + self._flush_service(now, service)

    def on_tick(self, now: float) -> list[Action]:
        """Take the passage of time."""
        actions: list[Action] = []
        for service in self._services.values():
            for req in service.queues.expired(now):
                refusal = Refuse(req.request, RefusalReason.DEADLINE)
                actions.append(self._refuse(service, refusal))
            for key in [key for key, until in service.seen.items() if until < now]:
                del service.seen[key]
        return actions + self._flush(now)

    def drain(self, now: float) -> list[Action]:
        """Ask for grants only for what is already queued."""
        self._draining = True
        for service in self._services.values():
            if service.is_working():
                service.stream.touch()
        return self._flush(now)

    def teams(self) -> tuple[TeamStatus, ...]:
        """Return each team's figures."""
        waiting = {
            (team, service.name): len(service.queues.team(team))
            for service in self._services.values()
            for team in service.queues.teams()
        }
        return self._figures.status(waiting)

    def _follow_allocator(
        self, service: _Service, members: Mapping[str, Member]
    ) -> None:
        found = allocator_for(service.name, self._region, members.values())
        held = service.allocator
        service.allocator = found
        if found is None or held is None:
            return
        if (found.vm, found.ip, found.allocator_port) != (
            held.vm,
            held.ip,
            held.allocator_port,
        ):
            service.stream.restart()

    def _refusal(
        self, now: float, req: QueuedRequest, service: _Service | None
    ) -> Refuse | None:
        if service is None or not service.usable:
            retry_at = now + NO_UPSTREAM_RETRY_SECONDS
            return Refuse(req.request, RefusalReason.NO_UPSTREAM, retry_at)
        if self._draining and req.attempt == 1:
            return Refuse(req.request, RefusalReason.DRAINING, now)
        waiting = len(service.queues.team(req.team))
        row = self._table.teams.get(req.team)
        return self._admission.admit(now, req, row, waiting)

    def _refuse_all(self, now: float, service: _Service) -> list[Action]:
        retry_at = now + NO_UPSTREAM_RETRY_SECONDS
        return [
            self._refuse(service, Refuse(request, RefusalReason.NO_UPSTREAM, retry_at))
            for request in service.queues.requests()
        ]

    def _refuse(self, service: _Service, refusal: Refuse) -> Refuse:
        req = service.queues.remove(refusal.request)
        if req is not None:
            del self._service_of[req.request]
            self._figures.count_refusal(req.team, req.service)
            service.touch(req.team)
        return refusal

    def _on_grant(
        self, now: float, service: _Service, allocator: ProcessId, grant: Grant
    ) -> list[Action]:
        use = GrantUse(
            allocator.incarnation,
            grant.grant,
            grant.upstream,
            grant.team,
            charged=grant.charged,
        )
        key = (use.allocator, use.grant)
        if key in service.seen:
            return []
        service.seen[key] = grant.deadline
        req = self._request_for(now, service, grant)
        if req is None:
            service.stream.put_use(_ended(use, 0.0, True), urgent=True)
            return []
        service.queues.remove(req.request)
        self._admission.note_departure(now, req.team)
        service.running[req.request] = _Running(req, use)
        self._figures.count_start(req.team, req.service)
        service.stream.put_use(use)
        service.touch(req.team)
        return [
            Start(
                req.request,
                grant.upstream,
                f"{use.allocator}:{use.grant}",
                grant.deadline,
            )
        ]

    def _request_for(
        self, now: float, service: _Service, grant: Grant
    ) -> QueuedRequest | None:
        if now >= grant.deadline or grant.upstream not in service.usable:
            return None
        if grant.upstream in self._ejected:
            return None
        return service.queues.first(now, grant.team, grant.upstream)

    def _flush(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for service in self._services.values():
            actions += self._flush_service(now, service)
        return actions

    def _flush_service(self, now: float, service: _Service) -> list[Action]:
        allocator = service.allocator
        if allocator is None or not service.stream.is_due(now, service.is_working()):
            return []
        delta = service.stream.advance(now)
        snapshot = Snapshot(
            service.name,
            self._process,
            self._region,
            self._address,
            delta.base,
            delta.seq,
            tuple(self._load(service, team) for team in delta.teams),
            delta.grants,
            self._draining,
        )
        address = f"tcp://{allocator.ip}:{allocator.allocator_port}"
        return [Send(address, self._region, snapshot)]

    def _load(self, service: _Service, team: TeamId) -> TeamLoad:
        queue = service.queues.team(team)
        service.sent_waiting[team] = len(queue)
        return TeamLoad(
            team,
            len(queue),
            self._figures.running(team, service.name),
            round(queue.cost),
            int(queue.oldest()),
            int(queue.earliest_deadline()),
        )


def _progressed(use: GrantUse, cost: float) -> GrantUse:
    return GrantUse(
        use.allocator,
        use.grant,
        use.upstream,
        use.team,
        round(cost),
        charged=use.charged,
    )


def _ended(use: GrantUse, cost: float, unused: bool) -> GrantUse:
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
