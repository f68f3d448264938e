"""Rendezvous hashing: assigns roles to VMs without a consensus protocol."""

from collections.abc import Container, Iterable

from oleandershift import hashing
from oleandershift.ids import RegionId, ServiceId, VmId
from oleandershift.messages import Member, MemberState


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in order of preference for `key`."""
    return hashing.ranked(key, members, lambda member: member.vm)


def allocator_for(
    service: ServiceId,
    region: RegionId,
    members: Iterable[Member],
    silent: Container[VmId] = (),
) -> Member | None:
    """Return the VM whose allocator grants a service's upstreams in a region.

    Only alive members of the region are candidates; the result is None if there are
    none. VMs in `silent`, whose allocators do not respond, are chosen last.
    """
    alive = [
        member
        for member in members
        if member.region == region and member.state is MemberState.ALIVE
    ]
    ranking = ranked(f"{service}/{region}", alive)
    responsive = [member for member in ranking if member.vm not in silent]
    return next(iter(responsive or ranking), None)


def watchers_for(
    region: RegionId, members: Iterable[Member], count: int
) -> list[Member]:
    """Return the VMs of a region whose agents watch the platform.

    Parameters
    ----------
    region : RegionId
        The region.
    members : iterable of Member
        VMs of the region that are not dead; leaving ones are chosen only if there are
        no others.
    count : int
        Number of watchers.
    """
    present = list(members)
    staying = [m for m in present if m.state is not MemberState.LEAVING]
    return ranked(f"watch/{region}", staying or present)[:count]
