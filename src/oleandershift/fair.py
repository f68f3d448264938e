"""Fair scheduling policy: runs requests on grants of the region's allocators."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from oleandershift.dispatch import Action, QueuedRequest, Send
from oleandershift.ids import RegionId, ServiceId, TeamId, VmId
from oleandershift.messages import (
    Envelope,
    Grant,
    Grants,
    GrantUse,
    Member,
    ProcessId,
    Snapshot,
)
from oleandershift.queueing import QueueingPolicy, ServiceState, ended_use
from oleandershift.rendezvous import allocator_for
from oleandershift.snapshotstreams import (
    ROUTER_INTERVALS,
    SnapshotDelta,
    SnapshotStream,
    UseKey,
)

URGENT_GROWTH_FACTOR = 2
"""A team's load is urgent once its queue has grown by this factor since last sent."""

ANSWER_TIMEOUT_SECONDS = 3.0
"""An allocator that has not answered for this long counts as unresponsive."""

UNRESPONSIVE_SECONDS = 60.0
"""How long other VMs are preferred to an unresponsive allocator, unless it answers."""


@dataclass
class _AllocatorLink:
    """Link to the allocator of one service.

    Parameters
    ----------
    stream : SnapshotStream
        Snapshots sent to the allocator.
    allocator : Member or None
        VM of the allocator.
    grant_deadlines : dict
        Deadline of each received grant, to ignore duplicates.
    sent_waiting : dict
        Number of waiting requests of each team as last sent.
    awaiting_answer_since : float or None
        When the oldest unanswered snapshot was sent.
    unresponsive_until : dict
        VMs whose allocator did not answer, with the time until which other VMs are
        preferred.
    """

    stream: SnapshotStream = field(
        default_factory=lambda: SnapshotStream(ROUTER_INTERVALS)
    )
    allocator: Member | None = None
    grant_deadlines: dict[UseKey, float] = field(default_factory=dict)
    sent_waiting: dict[TeamId, int] = field(default_factory=dict)
    awaiting_answer_since: float | None = None
    unresponsive_until: dict[VmId, float] = field(default_factory=dict)

    def set_allocator(self, member: Member | None) -> None:
        """Set the VM of the allocator; restart the stream if its address changed."""
        previous, self.allocator = self.allocator, member
        if (
            previous is not None
            and member is not None
            and _address(previous) != _address(member)
        ):
            self.stream.restart()
            self.awaiting_answer_since = None

    def on_sent(self, now: float, delta: SnapshotDelta) -> None:
        """Record a sent snapshot; one with changes must be answered."""
        if delta.base < delta.seq and self.awaiting_answer_since is None:
            self.awaiting_answer_since = now

    def on_answer(self, allocator: ProcessId) -> None:
        """Record an answer from an allocator."""
        self.unresponsive_until.pop(allocator.vm, None)
        if self.allocator is not None and self.allocator.vm == allocator.vm:
            self.awaiting_answer_since = None

    def check_answer_timeout(self, now: float) -> None:
        """Mark an allocator that does not answer as unresponsive for a while."""
        self.unresponsive_until = {
            vm: at for vm, at in self.unresponsive_until.items() if at > now
        }
        if (
            self.awaiting_answer_since is None
            or now < self.awaiting_answer_since + ANSWER_TIMEOUT_SECONDS
        ):
            return
        self.awaiting_answer_since = None
        if self.allocator is not None:
            self.unresponsive_until[self.allocator.vm] = now + UNRESPONSIVE_SECONDS

    def is_current(self, allocator: ProcessId) -> bool:
        """Return whether an allocator is the one that snapshots are sent to."""
        current = self.allocator
        if current is None or current.vm != allocator.vm:
            return False
        return self.stream.accepts_ack_from(allocator)

    def forget_expired(self, now: float) -> None:
        """Forget grants that are past their deadline."""
        for key in [
            key for key, deadline in self.grant_deadlines.items() if deadline < now
        ]:
            del self.grant_deadlines[key]


def _address(member: Member) -> str:
    return f"tcp://{member.ip}:{member.allocator_port}"


class FairPolicy(QueueingPolicy):
    """Queues requests by team and starts them when grants arrive."""

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        super().__init__(process, region, address)
        self._links: dict[ServiceId, _AllocatorLink] = {}
        self._members: Mapping[str, Member] = {}

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Handle grants and acknowledgements from an allocator."""
        body = envelope.body
        if not isinstance(body, Grants) or body.region != self._region:
            return []
        service = self._services.get(body.service)
        if service is None:
            return []
        link = self._link(service)
        link.on_answer(body.allocator)
        self._select_allocator(service)
        if link.is_current(body.allocator):
            link.stream.on_ack(now, body.allocator, body.ack)
        actions: list[Action] = []
        for grant in body.grants:
            actions += self._on_grant(now, service, body.allocator, grant)
        return actions + self._run_due(now, service)

    def on_tick(self, now: float) -> list[Action]:
        """Check answer timeouts, refuse expired requests and send due snapshots."""
        for service in self._services.values():
            link = self._link(service)
            link.forget_expired(now)
            link.check_answer_timeout(now)
            self._select_allocator(service)
        return super().on_tick(now)

    def drain(self, now: float) -> list[Action]:
        """Request grants only for requests already queued."""
        for service in self._services.values():
            if service.has_requests():
                self._link(service).stream.mark_changed()
        return super().drain(now)

    def _link(self, service: ServiceState) -> _AllocatorLink:
        return self._links.setdefault(service.name, _AllocatorLink())

    def _on_configure(
        self, service: ServiceState, members: Mapping[str, Member]
    ) -> None:
        self._members = members
        self._select_allocator(service)

    def _select_allocator(self, service: ServiceState) -> None:
        """Select the allocator's VM from the membership; avoid unresponsive VMs."""
        link = self._link(service)
        members = self._members.values()
        allocator = allocator_for(
            service.name, self._region, members, link.unresponsive_until
        )
        link.set_allocator(allocator)

    def _on_team_change(self, now: float, service: ServiceState, team: TeamId) -> None:
        link = self._link(service)
        waiting = len(service.queues.for_team(team))
        urgent = waiting > URGENT_GROWTH_FACTOR * link.sent_waiting.get(team, 0)
        link.stream.mark_team(team, urgent)

    def _on_use_change(self, now: float, service: ServiceState, use: GrantUse) -> None:
        self._link(service).stream.update_use(use, urgent=use.done)

    def _run_due(self, now: float, service: ServiceState) -> list[Action]:
        link = self._link(service)
        allocator = link.allocator
        if allocator is None or not link.stream.is_due(now, service.has_requests()):
            return []
        delta = link.stream.advance(now)
        link.on_sent(now, delta)
        loads = tuple(self._team_load(service, team) for team in delta.teams)
        for load in loads:
            link.sent_waiting[load.team] = load.waiting
        snapshot = Snapshot(
            service.name,
            self._process,
            self._region,
            "" if delta.base else self._address,
            delta.base,
            delta.seq,
            loads,
            delta.grants,
            self._draining,
        )
        return [Send(_address(allocator), self._region, snapshot)]

    def _on_grant(
        self, now: float, service: ServiceState, allocator: ProcessId, grant: Grant
    ) -> list[Action]:
        use = GrantUse(
            allocator.incarnation,
            grant.grant,
            grant.upstream,
            grant.team,
            charged=grant.charged,
        )
        link = self._link(service)
        key = (use.allocator, use.grant)
        if key in link.grant_deadlines or now >= grant.deadline:
            # A grant past its deadline may be a late duplicate of one in use. The
            # allocator frees the slot when no snapshot lists the grant.
            return []
        link.grant_deadlines[key] = grant.deadline
        req = self._request_for(now, service, grant)
        if req is None:
            link.stream.update_use(ended_use(use, 0.0, True), urgent=True)
            return []
        link.stream.update_use(use)
        return [self._start(now, service, req, use, grant.deadline)]

    def _request_for(
        self, now: float, service: ServiceState, grant: Grant
    ) -> QueuedRequest | None:
        """Return the request to run on a grant, or None to return the grant."""
        if grant.upstream not in service.usable or grant.upstream in self._ejected:
            return None
        return service.queues.next_request(now, grant.team, grant.upstream)
