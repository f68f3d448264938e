"""Rendezvous hashing: which VM plays a role, without any agreement."""

from collections.abc import Iterable

import xxhash

from oleandershift.ids import RegionId, ServiceId, VmId
from oleandershift.messages import Member, MemberState


def _weight(key: str, vm: VmId) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{vm}".encode())


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return members from the first choice for `key` to the last."""
    return sorted(members, key=lambda member: _weight(key, member.vm), reverse=True)


def allocator_for(
    service: ServiceId, region: RegionId, members: Iterable[Member]
) -> Member | None:
    """Return the VM whose allocator grants a service's upstreams in a region.

    Only alive members of the region are considered; None when there is none.
    """
    alive = [
        member
        for member in members
        if member.region == region and member.state is MemberState.ALIVE
    ]
    order = ranked(f"{service}/{region}", alive)
    return order[0] if order else None
