"""Upstreams on VMs that the platform lists as leaving, shared between agents."""

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
    """One VM in the platform's list, which lags behind the VM's real state.

    Parameters
    ----------
    name, region, ip : str
        Name, region and IP address of the VM.
    state : ListedState
        Whether the VM is leaving.
    """

    name: str
    region: str
    ip: str
    state: ListedState


class UpstreamHosts:
    """Index of the host that each upstream in the table runs on."""

    def __init__(self) -> None:
        self._hosts: dict[UpstreamId, str] = {}

    def update(self, rows: Iterable[Row]) -> None:
        """Apply changed rows; ignore rows that aren't upstreams."""
        for row in rows:
            if row.kind == RowKind.UPSTREAMS.value:
                self._update_host(row)

    def upstreams_on(self, vms: Iterable[ListedVm]) -> set[UpstreamId]:
        """Return the upstreams that run on any of the given VMs.

        An upstream runs on a VM if its name is the VM's name, or if the host in its URL
        is the VM's name or IP address.
        """
        vm_list = list(vms)
        names_and_ips = {vm.name for vm in vm_list} | {vm.ip for vm in vm_list}
        return {
            name
            for name, host in self._hosts.items()
            if name in names_and_ips or host in names_and_ips
        }

    def vms_without_upstreams(self, vms: Iterable[ListedVm]) -> list[ListedVm]:
        """Return the VMs that run no upstream."""
        hosts = set(self._hosts.values())
        return [vm for vm in vms if vm.name not in self._hosts and vm.ip not in hosts]

    def _update_host(self, row: Row) -> None:
        name = UpstreamId(row.name)
        if row.deleted:
            self._hosts.pop(name, None)
            return
        decoded = decode_row(RowKind.UPSTREAMS, row.value)
        if isinstance(decoded, UpstreamRow):
            self._hosts[name] = urlsplit(decoded.url).hostname or ""


class LeavingUpstreams:
    """Newest known set of leaving upstreams.

    An agent that reads a changed set from the platform's list gives it a sequence
    number derived from the time of reading; every agent keeps the set with the highest
    number.

    Attributes
    ----------
    upstreams : tuple of UpstreamId
        The set, sorted by name.
    """

    def __init__(self) -> None:
        self.upstreams: tuple[UpstreamId, ...] = ()
        self._seq = Seq(0)

    def update_from_platform(self, now: float, upstreams: Iterable[UpstreamId]) -> bool:
        """Store a set read from the platform's list; return whether it changed."""
        ordered = tuple(sorted(upstreams))
        if ordered == self.upstreams:
            return False
        self._seq = Seq(max(int(now * MILLISECONDS_PER_SECOND), self._seq + 1))
        self.upstreams = ordered
        return True

    def update_from_agent(self, view: MembersView) -> bool:
        """Store another agent's set if it is newer; return whether it changed."""
        if view.seq <= self._seq:
            return False
        self._seq = view.seq
        changed = self.upstreams != view.leaving_upstreams
        self.upstreams = view.leaving_upstreams
        return changed

    def to_message(self) -> MembersView:
        """Return the set as a message to other agents, without any members."""
        return MembersView(self._seq, (), self.upstreams)
