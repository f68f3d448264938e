"""Allocator roles assigned to one VM."""

from collections.abc import Mapping
from dataclasses import dataclass

from oleandershift.allocation import Allocator, AllocatorAction
from oleandershift.dispatch import UpstreamLoad
from oleandershift.eventactions import RecordEvent
from oleandershift.events import EventName
from oleandershift.ids import Incarnation, RegionId, ServiceId, VmId
from oleandershift.messages import (
    Envelope,
    Grants,
    Member,
    ProcessId,
    Role,
    Snapshot,
    UpstreamStatus,
)
from oleandershift.rendezvous import allocator_for
from oleandershift.replica import Table
from oleandershift.rows import UpstreamRow

NANOSECONDS_PER_SECOND = 1_000_000_000
TAKEOVER_DELAY_SECONDS = 1.5
"""How long routers must send snapshots for another VM's role before a takeover."""

TAKEOVER_EXPIRY_SECONDS = 10.0
"""A takeover ends at the latest this long after the last snapshot from a router."""


@dataclass
class _TakeoverRequests:
    """First and last instant of a series of router snapshots for one role.

    Once the role has been taken over, it is kept until the takeover expires.
    """

    first_at: float
    last_at: float
    taken_over: bool = False

    def record(self, now: float) -> None:
        """Record a snapshot; a gap of `TAKEOVER_DELAY_SECONDS` starts a new series."""
        if now >= self.last_at + TAKEOVER_DELAY_SECONDS:
            self.first_at = now
        self.last_at = now

    def is_sustained(self) -> bool:
        """Return whether the series spans at least `TAKEOVER_DELAY_SECONDS`."""
        return self.taken_over or (
            self.last_at >= self.first_at + TAKEOVER_DELAY_SECONDS
        )


class AllocatorRoles:
    """Creates and removes allocators as the table and the members change.

    Parameters
    ----------
    vm : VmId
        This VM.
    region : RegionId
        Its region; a VM takes roles of its own region only.
    address : str
        Link address of the allocator process.
    """

    def __init__(self, vm: VmId, region: RegionId, address: str) -> None:
        self._vm = vm
        self._region = region
        self._address = address
        self._allocators: dict[ServiceId, Allocator] = {}
        self._table = Table()
        self._members: Mapping[str, Member] = {}
        self._leaving: frozenset[str] = frozenset()
        self._requests: dict[ServiceId, _TakeoverRequests] = {}

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[AllocatorAction]:
        """Apply a new table and member list, and create or remove allocators."""
        self._table, self._members, self._leaving = table, members, leaving
        wanted = {
            service
            for service in table.services
            if self._is_elected(service, members) or self._is_takeover_due(service)
        }
        actions: list[AllocatorAction] = []
        for service in sorted(self._allocators.keys() - wanted):
            del self._allocators[service]
            actions.append(RecordEvent(EventName.ROLE_RELEASED, service=service))
        for service in sorted(wanted - self._allocators.keys()):
            self._allocators[service] = self._create_allocator(now, service)
            if not self._is_elected(service, members):
                self._requests[service].taken_over = True
            actions.append(RecordEvent(EventName.ROLE_ACQUIRED, service=service))
        for allocator in self._allocators.values():
            actions += allocator.configure(now, table, members, leaving)
        return actions

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Pass a message to its service's allocator, taking over the role if due."""
        body = envelope.body
        if not isinstance(body, Snapshot | Grants):
            return []
        actions: list[AllocatorAction] = []
        if isinstance(body, Snapshot) and body.client.role is Role.ROUTER:
            actions = self._on_router_snapshot(now, body.service)
        allocator = self._allocators.get(body.service)
        if allocator is not None:
            actions += allocator.on_envelope(now, envelope)
        return actions

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Pass a load report to the allocator of the upstream's service."""
        row = self._table.upstreams.get(load.upstream)
        allocator = self._allocators.get(row.service) if row else None
        return [] if allocator is None else allocator.on_load(now, load)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Expire taken-over roles and run the allocators' timers."""
        actions: list[AllocatorAction] = []
        for service, requests in tuple(self._requests.items()):
            if now >= requests.last_at + TAKEOVER_EXPIRY_SECONDS:
                del self._requests[service]
                actions += self._reconfigure(now)
        for allocator in self._allocators.values():
            actions += allocator.on_tick(now)
        return actions

    def polled_upstreams(self) -> tuple[UpstreamRow, ...]:
        """Return the upstreams whose load this VM polls."""
        return tuple(
            row
            for service in self._allocators
            for row in self._table.upstreams_of(service)
            if row.region == self._region
        )

    def upstream_statuses(self) -> tuple[UpstreamStatus, ...]:
        """Return the status of every upstream whose slots this VM grants."""
        return tuple(
            status
            for allocator in self._allocators.values()
            for status in allocator.upstream_statuses()
        )

    def _on_router_snapshot(
        self, now: float, service: ServiceId
    ) -> list[AllocatorAction]:
        """Record a router's snapshot, and take over the role if a takeover is due.

        Routers send snapshots to a VM that isn't elected while the elected VM's
        allocator doesn't answer them.
        """
        self._requests.setdefault(service, _TakeoverRequests(now, now)).record(now)
        if service in self._allocators or not self._is_takeover_due(service):
            return []
        return self._reconfigure(now)

    def _is_takeover_due(self, service: ServiceId) -> bool:
        requests = self._requests.get(service)
        return requests is not None and requests.is_sustained()

    def _reconfigure(self, now: float) -> list[AllocatorAction]:
        return self.configure(now, self._table, self._members, self._leaving)

    def _is_elected(self, service: ServiceId, members: Mapping[str, Member]) -> bool:
        elected = allocator_for(service, self._region, members.values())
        return elected is not None and elected.vm == self._vm

    def _create_allocator(self, now: float, service: ServiceId) -> Allocator:
        incarnation = Incarnation(int(now * NANOSECONDS_PER_SECOND))
        process = ProcessId(self._vm, Role.ALLOCATOR, incarnation)
        return Allocator(service, self._region, process, self._address, now)
