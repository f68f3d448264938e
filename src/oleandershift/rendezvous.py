"""Rendezvous hashing: which VM plays a role, without any agreement."""

from collections.abc import Container, Iterable

from oleandershift import hashing
from oleandershift.ids import RegionId, ServiceId, VmId
from oleandershift.messages import Member, MemberState


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return members from the first choice for `key` to the last."""
    return hashing.ranked(key, members, lambda member: member.vm)


def allocator_for(
    service: ServiceId,
    region: RegionId,
    members: Iterable[Member],
    silent: Container[VmId] = (),
) -> Member | None:
    """Return the VM whose allocator grants a service's upstreams in a region.

    Only alive members of the region are considered; None when there is none. Those
    whose allocator is silent come last.
    """
    alive = [
        member
        for member in members
        if member.region == region and member.state is MemberState.ALIVE
    ]
    order = ranked(f"{service}/{region}", alive)
    heard = [member for member in order if member.vm not in silent]
    return next(iter(heard or order), None)


def watchers_for(
    region: RegionId, members: Iterable[Member], count: int
) -> list[Member]:
    """Return the VMs of a region whose agents watch the platform.

    Parameters
    ----------
    region : RegionId
        The region.
    members : iterable of Member
        Its VMs that are not dead; those that leave are chosen only when no other is
        there.
    count : int
        How many watch.
    """
    present = list(members)
    staying = [m for m in present if m.state is not MemberState.LEAVING]
    return ranked(f"watch/{region}", staying or present)[:count]
