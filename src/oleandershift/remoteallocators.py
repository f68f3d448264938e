"""Client side of the service's allocators in other regions."""

from collections.abc import Callable, Iterable, Iterator, Mapping

from oleandershift.ids import RegionId, Seq, ServiceId, TeamId, VmId
from oleandershift.messages import (
    Grant,
    Grants,
    GrantUse,
    Member,
    ProcessId,
    Snapshot,
    TeamLoad,
)
from oleandershift.rendezvous import allocator_for
from oleandershift.snapshotstreams import (
    NEVER,
    REMOTE_ALLOCATOR_INTERVALS,
    SnapshotStream,
    UseKey,
)
from oleandershift.totals import ServiceTotals

SIGNIFICANT_CHANGE_FACTOR = 2
SILENCE_TIMEOUT_SECONDS = 10.0
FAILOVER_SECONDS = 4.0
"""How long a region's allocator may be silent before another VM may replace it."""


def sum_team_loads(team: TeamId, loads: Iterable[TeamLoad]) -> TeamLoad:
    """Return the sum of a team's loads, rounded to whole numbers to save bytes."""
    team_loads = tuple(loads)
    waiting = [load for load in team_loads if load.waiting > 0]
    deadlines = [load.earliest_deadline for load in waiting if load.earliest_deadline]
    return TeamLoad(
        team,
        sum(load.waiting for load in team_loads),
        sum(load.running for load in team_loads),
        round(sum(load.waiting_cost for load in waiting)),
        int(min((load.oldest_arrival for load in waiting), default=0)),
        int(min(deadlines, default=0)),
    )


def _differs_significantly(old: int, new: int) -> bool:
    """Return whether a count has changed enough to be worth sending."""
    if (old == 0) != (new == 0):
        return True
    return (
        new > old * SIGNIFICANT_CHANGE_FACTOR or old > new * SIGNIFICANT_CHANGE_FACTOR
    )


def _address(member: Member) -> str:
    return f"tcp://{member.ip}:{member.allocator_port}"


class RemoteAllocator:
    """The allocator of another region, which may lend its slots.

    Parameters
    ----------
    region : RegionId
        Region of the allocator.
    vm : VmId
        VM that it runs on.
    address : str
        Its link address.
    """

    def __init__(self, region: RegionId, vm: VmId, address: str) -> None:
        self.region = region
        self.vm = vm
        self.address = address
        self.stream = SnapshotStream(REMOTE_ALLOCATOR_INTERVALS)
        self.stream.mark_changed(urgent=True)
        self.last_grants_at = NEVER
        self._sent: dict[TeamId, TeamLoad] = {}
        self._totals_at: dict[Seq, Seq] = {}
        self._grant_deadlines: dict[UseKey, float] = {}

    def set_address(self, vm: VmId, address: str) -> None:
        """Set the VM and the address, and restart the stream if they changed."""
        if (vm, address) != (self.vm, self.address):
            self.vm, self.address = vm, address
            self.stream.restart()

    def update_load(self, load: TeamLoad) -> None:
        """Schedule a team's load to be sent if it differs enough from the last one."""
        sent = self._sent.get(load.team)
        if sent is None:
            sent = TeamLoad(load.team, 0)
        if _differs_significantly(sent.waiting, load.waiting) or _differs_significantly(
            sent.running, load.running
        ):
            self.stream.mark_team(load.team, urgent=sent.waiting == 0)

    def on_grants(self, now: float, message: Grants) -> tuple[Grant, ...]:
        """Handle the allocator's reply and return the new grants.

        A grant past its deadline is ignored, as it may be a late copy of one in use.
        The lender frees such a grant when no snapshot mentions it.
        """
        if message.allocator.vm != self.vm:
            return ()
        self.last_grants_at = now
        if not self.stream.accepts_ack_from(message.allocator):
            return ()
        self.stream.on_ack(now, message.allocator, message.ack)
        incarnation = message.allocator.incarnation
        new_grants = []
        for grant in message.grants:
            key = (incarnation, grant.grant)
            if key not in self._grant_deadlines and now < grant.deadline:
                self._grant_deadlines[key] = grant.deadline
                new_grants.append(grant)
        return tuple(new_grants)

    def expire(self, now: float) -> None:
        """Forget grants past their deadlines."""
        for key in [
            key for key, deadline in self._grant_deadlines.items() if deadline < now
        ]:
            del self._grant_deadlines[key]

    def build_snapshot(
        self,
        now: float,
        service: ServiceId,
        process: ProcessId,
        region: RegionId,
        reply_to: str,
        get_load: Callable[[TeamId], TeamLoad],
        totals: ServiceTotals,
    ) -> Snapshot:
        """Return the next snapshot to send.

        Parameters
        ----------
        now : float
            Current time, seconds.
        service, process, region, reply_to
            Fields of the `Snapshot`.
        get_load : callable
            Returns a team's load in this region.
        totals : ServiceTotals
            Registers of virtual service to pass on.
        """
        delta = self.stream.advance(now)
        teams = tuple(get_load(team) for team in delta.teams)
        for load in teams:
            self._sent[load.team] = load
        base_position = (
            self._totals_at.get(delta.base, Seq(0)) if delta.base else Seq(0)
        )
        self._totals_at[delta.seq] = totals.position
        for seq in [seq for seq in self._totals_at if seq < self.stream.acked]:
            del self._totals_at[seq]
        return Snapshot(
            service,
            process,
            region,
            "" if delta.base else reply_to,
            delta.base,
            delta.seq,
            teams,
            delta.grants,
            service_totals=totals.changes_since(base_position),
        )


class RemoteAllocators:
    """The allocators of all other regions that have upstreams of the service.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        The local region.
    """

    def __init__(self, service: ServiceId, region: RegionId) -> None:
        self._service = service
        self._region = region
        self._by_region: dict[RegionId, RemoteAllocator] = {}
        self._members: Mapping[str, Member] = {}
        self._elected: dict[RegionId, Member] = {}

    def __iter__(self) -> Iterator[RemoteAllocator]:
        return iter(self._by_region.values())

    def get(self, region: RegionId) -> RemoteAllocator | None:
        """Return the allocator of a region, or None when there is none."""
        return self._by_region.get(region)

    def update_members(
        self, members: Mapping[str, Member], served_regions: frozenset[RegionId]
    ) -> None:
        """Elect the allocator of each region that has members and upstreams.

        Parameters
        ----------
        members : mapping of str to Member
            Members by VM.
        served_regions : frozenset of RegionId
            Regions with upstreams of the service.
        """
        self._members = members
        member_regions = {member.region for member in members.values()} - {self._region}
        for region in self._by_region.keys() - (member_regions & served_regions):
            del self._by_region[region]
        for region in sorted(member_regions & served_regions):
            member = allocator_for(self._service, region, members.values())
            if member is None:
                continue
            address = _address(member)
            remote = self._by_region.setdefault(
                region, RemoteAllocator(region, member.vm, address)
            )
            if self._elected.get(region) != member:
                self._elected[region] = member
                remote.set_address(member.vm, address)

    def fail_over(self, now: float, message: Grants) -> None:
        """Switch to the sender if it is elected, or while the current VM is silent.

        A newer process also replaces one whose VM isn't elected.
        """
        remote = self._by_region.get(message.region)
        member = self._members.get(message.allocator.vm)
        if remote is None or member is None or member.region != message.region:
            return
        if self._should_switch(now, remote, message.allocator):
            remote.set_address(member.vm, _address(member))

    def _should_switch(
        self, now: float, remote: RemoteAllocator, sender: ProcessId
    ) -> bool:
        elected_vm = self._elected[remote.region].vm
        if sender.vm == elected_vm or now >= remote.last_grants_at + FAILOVER_SECONDS:
            return True
        return remote.vm != elected_vm and remote.stream.is_newer_incarnation(sender)

    def fail_back(self, now: float) -> None:
        """Switch back to the elected VM where its replacement has become silent."""
        for region, remote in self._by_region.items():
            member = self._elected[region]
            if (
                member.vm != remote.vm
                and now >= remote.last_grants_at + SILENCE_TIMEOUT_SECONDS
            ):
                remote.set_address(member.vm, _address(member))

    def mark_changed(self) -> None:
        """Mark every region's stream as having something new to send."""
        for remote in self._by_region.values():
            remote.stream.mark_changed()

    def update_load(self, load: TeamLoad) -> None:
        """Update a team's load in this region for every remote allocator."""
        for remote in self._by_region.values():
            remote.update_load(load)

    def report_grant_use(self, region: RegionId, use: GrantUse) -> None:
        """Report the use of a grant to the region that lent the slot."""
        remote = self._by_region.get(region)
        if remote is not None:
            remote.stream.update_use(use, urgent=use.done)
