"""Allocator roles that fall on one VM."""

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
"""How long routers must go on asking for a role of another VM before it is taken."""

TAKEOVER_EXPIRY_SECONDS = 10.0
"""How long after the last such call the role is kept."""


@dataclass
class _Calls:
    """When routers began to ask for a role, and last did."""

    first: float
    last: float

    def note(self, now: float) -> None:
        """Note a call; after a break the asking begins again."""
        if now >= self.last + TAKEOVER_DELAY_SECONDS:
            self.first = now
        self.last = now

    def is_lasting(self) -> bool:
        """Tell whether routers have gone on asking."""
        return self.last >= self.first + TAKEOVER_DELAY_SECONDS


class AllocatorRoles:
    """Makes and drops allocators as the membership changes.

    Parameters
    ----------
    vm : VmId
        This VM.
    region : RegionId
        Its region; a VM plays roles of its own region only.
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
        self._calls: dict[ServiceId, _Calls] = {}

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[AllocatorAction]:
        """Take the table and members now in force."""
        self._table, self._members, self._leaving = table, members, leaving
        wanted = {
            service
            for service in table.services
            if self._is_mine(service, members) or self._is_called(service)
        }
        actions: list[AllocatorAction] = []
        for service in sorted(self._allocators.keys() - wanted):
            del self._allocators[service]
            actions.append(RecordEvent(EventName.ROLE_RELEASED, service=service))
        for service in sorted(wanted - self._allocators.keys()):
            self._allocators[service] = self._make(now, service)
            actions.append(RecordEvent(EventName.ROLE_ACQUIRED, service=service))
        for allocator in self._allocators.values():
            actions += allocator.configure(now, table, members, leaving)
        return actions

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Pass a message to the allocator of its service."""
        body = envelope.body
        if not isinstance(body, Snapshot | Grants):
            return []
        actions: list[AllocatorAction] = []
        if isinstance(body, Snapshot) and body.client.role is Role.ROUTER:
            actions = self._take_call(now, body.service)
        allocator = self._allocators.get(body.service)
        if allocator is not None:
            actions += allocator.on_envelope(now, envelope)
        return actions

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Pass a load report to the allocator of its upstream."""
        row = self._table.upstreams.get(load.upstream)
        allocator = self._allocators.get(row.service) if row else None
        return [] if allocator is None else allocator.on_load(now, load)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Take the passage of time."""
        actions: list[AllocatorAction] = []
        for service, calls in tuple(self._calls.items()):
            if now >= calls.last + TAKEOVER_EXPIRY_SECONDS:
                del self._calls[service]
                actions += self._configure_again(now)
        for allocator in self._allocators.values():
            actions += allocator.on_tick(now)
        return actions

    def polled_upstreams(self) -> tuple[UpstreamRow, ...]:
        """Return the upstreams whose load this VM asks for."""
        return tuple(
            row
            for service in self._allocators
            for row in self._table.upstreams_of(service)
            if row.region == self._region
        )

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return the figures of every upstream that this VM grants."""
        return tuple(
            status
            for allocator in self._allocators.values()
            for status in allocator.upstream_statuses()
        )

    def _take_call(self, now: float, service: ServiceId) -> list[AllocatorAction]:
        """Take a role that routers go on asking for, as its allocator is silent."""
        self._calls.setdefault(service, _Calls(now, now)).note(now)
        if service in self._allocators or not self._is_called(service):
            return []
        return self._configure_again(now)

    def _is_called(self, service: ServiceId) -> bool:
        calls = self._calls.get(service)
        return calls is not None and calls.is_lasting()

    def _configure_again(self, now: float) -> list[AllocatorAction]:
        return self.configure(now, self._table, self._members, self._leaving)

    def _is_mine(self, service: ServiceId, members: Mapping[str, Member]) -> bool:
        found = allocator_for(service, self._region, members.values())
        return found is not None and found.vm == self._vm

    def _make(self, now: float, service: ServiceId) -> Allocator:
        incarnation = Incarnation(int(now * NANOSECONDS_PER_SECOND))
        process = ProcessId(self._vm, Role.ALLOCATOR, incarnation)
        return Allocator(service, self._region, process, self._address, now)
