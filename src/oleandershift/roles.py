"""Allocator roles that fall on one VM."""

from collections.abc import Mapping

from oleandershift.allocation import Allocator, AllocatorAction
from oleandershift.dispatch import UpstreamLoad
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
from oleandershift.notes import Note
from oleandershift.rendezvous import allocator_for
from oleandershift.replica import Table
from oleandershift.rows import UpstreamRow

NANOSECONDS = 1_000_000_000


class Roles:
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

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[AllocatorAction]:
        """Take the table and members now in force."""
        self._table = table
        wanted = {
            service for service in table.services if self._is_mine(service, members)
        }
        actions: list[AllocatorAction] = []
        for service in sorted(self._allocators.keys() - wanted):
            del self._allocators[service]
            actions.append(Note(EventName.ROLE_LEFT, service=service))
        for service in sorted(wanted - self._allocators.keys()):
            self._allocators[service] = self._make(now, service)
            actions.append(Note(EventName.ROLE_TAKEN, service=service))
        for allocator in self._allocators.values():
            actions += allocator.configure(now, table, members, leaving)
        return actions

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Pass a message to the allocator of its service."""
        body = envelope.body
        if not isinstance(body, Snapshot | Grants):
            return []
        allocator = self._allocators.get(body.service)
        return [] if allocator is None else allocator.on_envelope(now, envelope)

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Pass a load report to the allocator of its upstream."""
        row = self._table.upstreams.get(load.upstream)
        allocator = self._allocators.get(row.service) if row else None
        return [] if allocator is None else allocator.on_load(now, load)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Take the passage of time."""
        actions: list[AllocatorAction] = []
        for allocator in self._allocators.values():
            actions += allocator.on_tick(now)
        return actions

    def polled(self) -> tuple[UpstreamRow, ...]:
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
            for status in allocator.upstreams()
        )

    def _is_mine(self, service: ServiceId, members: Mapping[str, Member]) -> bool:
        found = allocator_for(service, self._region, members.values())
        return found is not None and found.vm == self._vm

    def _make(self, now: float, service: ServiceId) -> Allocator:
        incarnation = Incarnation(int(now * NANOSECONDS))
        process = ProcessId(self._vm, Role.ALLOCATOR, incarnation)
        return Allocator(service, self._region, process, self._address, now)
