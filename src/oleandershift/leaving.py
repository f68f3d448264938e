"""Upstreams that the platform's list calls leaving, as agents tell each other."""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from urllib.parse import urlsplit

from oleandershift.ids import Seq, UpstreamId
from oleandershift.messages import MembersView
from oleandershift.rows import UpstreamRow

MILLISECONDS = 1000
MAX_CACHED_HOSTS = 1 << 16


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

    def observe(self, now: float, upstreams: Iterable[UpstreamId]) -> bool:
        """Take a set just read from the platform's list; tell whether it changed."""
        found = tuple(sorted(upstreams))
        if found == self.upstreams:
            return False
        self._seq = Seq(max(int(now * MILLISECONDS), self._seq + 1))
        self.upstreams = found
        return True

    def take(self, view: MembersView) -> bool:
        """Take a set of another agent; tell whether it changed."""
        if view.seq <= self._seq:
            return False
        self._seq = view.seq
        changed = self.upstreams != view.leaving_upstreams
        self.upstreams = view.leaving_upstreams
        return changed

    def message(self) -> MembersView:
        """Return the set as a message to other agents; it names no members."""
        return MembersView(self._seq, (), self.upstreams)


def on_leaving_vms(
    rows: Iterable[UpstreamRow], names: Sequence[str], ips: Sequence[str]
) -> set[UpstreamId]:
    """Return the upstreams that stand on leaving VMs.

    Parameters
    ----------
    rows : iterable of UpstreamRow
        The table's upstreams.
    names, ips : sequence of str
        Names and addresses of the leaving VMs; an upstream matches by its own name or
        by the host of its URL.
    """
    gone = {*names, *ips}
    return {row.name for row in rows if row.name in gone or upstream_host(row) in gone}


def upstream_host(row: UpstreamRow) -> str:
    """Return the host that an upstream stands on."""
    return _host_of(row.url)


@lru_cache(maxsize=MAX_CACHED_HOSTS)
def _host_of(url: str) -> str:
    return urlsplit(url).hostname or ""
