"""Upstreams that the platform's list calls leaving, as agents tell each other."""

from collections.abc import Iterable
from enum import Enum
from urllib.parse import urlsplit

import msgspec

from oleandershift.ids import Seq, UpstreamId
from oleandershift.messages import MembersView, Row
from oleandershift.rows import RowKind, UpstreamRow, decode_row

MILLISECONDS_PER_SECOND = 1000


class ListedState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the platform's list, which lags.

    Parameters
    ----------
    name, region, ip : str
        Who and where it is.
    state : ListedState
        Whether it is leaving.
    """

    name: str
    region: str
    ip: str
    state: ListedState


class UpstreamHosts:
    """Hosts of the table's upstreams."""

    def __init__(self) -> None:
        self._hosts: dict[UpstreamId, str] = {}

    def update(self, rows: Iterable[Row]) -> None:
        """Take changed rows; those of other kinds do nothing."""
        for row in rows:
            if row.kind == RowKind.UPSTREAMS.value:
                self._put(row)

    def upstreams_on(self, vms: Iterable[ListedVm]) -> set[UpstreamId]:
        """Return the upstreams that stand on some VMs.

        An upstream matches by its own name or by the host of its URL.
        """
        listed = list(vms)
        places = {vm.name for vm in listed} | {vm.ip for vm in listed}
        return {
            name
            for name, host in self._hosts.items()
            if name in places or host in places
        }

    def vms_without_upstreams(self, vms: Iterable[ListedVm]) -> list[ListedVm]:
        """Return the VMs on which no upstream stands."""
        hosts = set(self._hosts.values())
        return [vm for vm in vms if vm.name not in self._hosts and vm.ip not in hosts]

    def _put(self, row: Row) -> None:
        name = UpstreamId(row.name)
        if row.deleted:
            self._hosts.pop(name, None)
            return
        decoded = decode_row(RowKind.UPSTREAMS, row.value)
        if isinstance(decoded, UpstreamRow):
            self._hosts[name] = urlsplit(decoded.url).hostname or ""


class LeavingUpstreams:
    """Newest known set of leaving upstreams.

    Agents that read the platform's list number a set that differs from the one they
    know by the time of reading; every agent keeps the set with the largest number.

    Attributes
    ----------
    upstreams : tuple of UpstreamId
        The set, by name.
    """

    def __init__(self) -> None:
        self.upstreams: tuple[UpstreamId, ...] = ()
        self._seq = Seq(0)

    def update_from_platform(self, now: float, upstreams: Iterable[UpstreamId]) -> bool:
        """Take a set just read from the platform's list; tell whether it changed."""
        found = tuple(sorted(upstreams))
        if found == self.upstreams:
            return False
        self._seq = Seq(max(int(now * MILLISECONDS_PER_SECOND), self._seq + 1))
        self.upstreams = found
        return True

    def update_from_agent(self, view: MembersView) -> bool:
        """Take a set of another agent; tell whether it changed."""
        if view.seq <= self._seq:
            return False
        self._seq = view.seq
        changed = self.upstreams != view.leaving_upstreams
        self.upstreams = view.leaving_upstreams
        return changed

    def to_message(self) -> MembersView:
        """Return the set as a message to other agents; it names no members."""
        return MembersView(self._seq, (), self.upstreams)
