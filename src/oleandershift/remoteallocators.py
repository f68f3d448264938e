"""Other regions' allocators of the service, seen as their client."""

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
from oleandershift.snapshotstreams import NEVER, PEER_INTERVALS, SnapshotStream, UseKey
from oleandershift.totals import ServiceTotals

SIGNIFICANT_CHANGE_FACTOR = 2
SILENCE_TIMEOUT_SECONDS = 10.0
FAILOVER_SECONDS = 4.0
"""Silence of a region's allocator after which another may speak for the region."""


def sum_team_loads(team: TeamId, loads: Iterable[TeamLoad]) -> TeamLoad:
    """Return the sum of a team's loads, in whole numbers to save bytes."""
    found = tuple(loads)
    waiting = [load for load in found if load.waiting > 0]
    deadlines = [load.earliest_deadline for load in waiting if load.earliest_deadline]
    return TeamLoad(
        team,
        sum(load.waiting for load in found),
        sum(load.running for load in found),
        round(sum(load.waiting_cost for load in waiting)),
        int(min((load.oldest_arrival for load in waiting), default=0)),
        int(min(deadlines, default=0)),
    )


def _differs(old: int, new: int) -> bool:
    """Tell whether a count has changed enough to be worth a message."""
    if (old == 0) != (new == 0):
        return True
    return (
        new > old * SIGNIFICANT_CHANGE_FACTOR or old > new * SIGNIFICANT_CHANGE_FACTOR
    )


def _address(member: Member) -> str:
    return f"tcp://{member.ip}:{member.allocator_port}"


class RemoteAllocator:
    """The allocator of one other region, which may lend its slots.

    Parameters
    ----------
    region : RegionId
        Its region.
    vm : VmId
        Where the role falls.
    address : str
        Its link address.
    """

    def __init__(self, region: RegionId, vm: VmId, address: str) -> None:
        self.region = region
        self.vm = vm
        self.address = address
        self.stream = SnapshotStream(PEER_INTERVALS)
        self.stream.mark_changed(urgent=True)
        self.last_grants_at = NEVER
        self._sent: dict[TeamId, TeamLoad] = {}
        self._totals_at: dict[Seq, Seq] = {}
        self._seen: dict[UseKey, float] = {}

    def set_address(self, vm: VmId, address: str) -> None:
        """Take the place that the role has moved to."""
        if (vm, address) != (self.vm, self.address):
            self.vm, self.address = vm, address
            self.stream.restart()

    def update_load(self, load: TeamLoad) -> None:
        """Note a team's load; it is sent once it differs enough."""
        sent = self._sent.get(load.team)
        if sent is None:
            sent = TeamLoad(load.team, 0)
        if _differs(sent.waiting, load.waiting) or _differs(sent.running, load.running):
            self.stream.mark_team(load.team, urgent=sent.waiting == 0)

    def on_grants(self, now: float, message: Grants) -> tuple[Grant, ...]:
        """Take the peer's answer and return the grants that are new.

        One past its deadline is not: it may be a late copy of one that is in use. The
        lender frees it when no snapshot mentions it.
        """
        if message.allocator.vm != self.vm:
            return ()
        self.last_grants_at = now
        if not self.stream.accepts_ack_from(message.allocator):
            return ()
        self.stream.on_ack(now, message.allocator, message.ack)
        incarnation = message.allocator.incarnation
        fresh = []
        for grant in message.grants:
            key = (incarnation, grant.grant)
            if key not in self._seen and now < grant.deadline:
                self._seen[key] = grant.deadline
                fresh.append(grant)
        return tuple(fresh)

    def expire(self, now: float) -> None:
        """Forget grants that may no longer be used."""
        for key in [key for key, deadline in self._seen.items() if deadline < now]:
            del self._seen[key]

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
        """Return the snapshot that is due.

        Parameters
        ----------
        now : float
            The current instant.
        service, process, region, reply_to
            As in `Snapshot`.
        get_load : callable
            Returns a team's load in this region.
        totals : Totals
            Registers to pass on.
        """
        delta = self.stream.advance(now)
        teams = tuple(get_load(team) for team in delta.teams)
        for load in teams:
            self._sent[load.team] = load
        known = self._totals_at.get(delta.base, Seq(0)) if delta.base else Seq(0)
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
            service_totals=totals.changes_since(known),
        )


class RemoteAllocators:
    """The peers in every other region that has upstreams of the service.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        The own region.
    """

    def __init__(self, service: ServiceId, region: RegionId) -> None:
        self._service = service
        self._region = region
        self._held: dict[RegionId, RemoteAllocator] = {}
        self._members: Mapping[str, Member] = {}
        self._chosen: dict[RegionId, Member] = {}

    def __iter__(self) -> Iterator[RemoteAllocator]:
        return iter(self._held.values())

    def get(self, region: RegionId) -> RemoteAllocator | None:
        """Return the peer of a region."""
        return self._held.get(region)

    def update_members(
        self, members: Mapping[str, Member], served_regions: frozenset[RegionId]
    ) -> None:
        """Take the members, and the regions that have upstreams of the service."""
        self._members = members
        present = {member.region for member in members.values()} - {self._region}
        for region in self._held.keys() - (present & served_regions):
            del self._held[region]
        for region in sorted(present & served_regions):
            member = allocator_for(self._service, region, members.values())
            if member is None:
                continue
            address = _address(member)
            peer = self._held.setdefault(
                region, RemoteAllocator(region, member.vm, address)
            )
            if self._chosen.get(region) != member:
                self._chosen[region] = member
                peer.set_address(member.vm, address)

    def fail_over(self, now: float, message: Grants) -> None:
        """Turn to the chosen VM when it speaks, to another while that one is silent."""
        peer = self._held.get(message.region)
        member = self._members.get(message.allocator.vm)
        if peer is None or member is None or member.region != message.region:
            return
        if self._is_better(now, peer, message.allocator):
            peer.set_address(member.vm, _address(member))

    def _is_better(self, now: float, peer: RemoteAllocator, speaker: ProcessId) -> bool:
        chosen = self._chosen[peer.region].vm
        if speaker.vm == chosen or now >= peer.last_grants_at + FAILOVER_SECONDS:
            return True
        return peer.vm != chosen and peer.stream.is_newer_incarnation(speaker)

    def fail_back(self, now: float) -> None:
        """Turn back to the chosen VMs where those that took their place are silent."""
        for region, peer in self._held.items():
            member = self._chosen[region]
            if (
                member.vm != peer.vm
                and now >= peer.last_grants_at + SILENCE_TIMEOUT_SECONDS
            ):
                peer.set_address(member.vm, _address(member))

    def mark_changed(self) -> None:
        """Note that there is something new for every peer."""
        for peer in self._held.values():
            peer.stream.mark_changed()

    def update_load(self, load: TeamLoad) -> None:
        """Note a team's load in this region."""
        for peer in self._held.values():
            peer.update_load(load)

    def report_grant_use(self, region: RegionId, use: GrantUse) -> None:
        """Report on a slot that a region has lent."""
        peer = self._held.get(region)
        if peer is not None:
            peer.stream.update_use(use, urgent=use.done)
