"""Exchange of notices about prompt parts under which upstreams crashed."""

from dataclasses import dataclass

from oleandershift.digests import CrashNotice
from oleandershift.ids import VmId
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.quarantine import PromptQuarantine

REPEATS = 3
"""Number of times that news are sent, as datagrams may be lost."""

REPEAT_SECONDS = 0.2

REFRESH_SECONDS = 2.0
"""Interval at which a hub sends all it knows, for VMs that have started since."""


@dataclass(frozen=True, slots=True)
class AddressedNotice:
    """A notice with its recipients."""

    notice: CrashNotice
    peers: list[Peer]


class NoticeExchange:
    """Creates this VM's notices and applies those of other VMs.

    A VM sends what it has found out itself to the VMs of its data centre. The hub also
    sends what is new to it, to its data centre and to the other hubs.

    Parameters
    ----------
    vm : VmId
        This VM.
    peers : PeerTable
        The other VMs.
    quarantine : PromptQuarantine
        Source of the notices; received ones are merged into it.
    """

    def __init__(
        self, vm: VmId, peers: PeerTable, quarantine: PromptQuarantine
    ) -> None:
        self._vm = vm
        self._peers = peers
        self._quarantine = quarantine
        self._seen_revision = quarantine.revision
        self._sends_left = 0
        self._due_at = 0.0
        self._refresh_at = 0.0

    def receive(self, now: float, notice: CrashNotice) -> None:
        """Merge another VM's notice; a hub sends on what is new."""
        own_news = self._quarantine.revision != self._seen_revision
        is_new = self._quarantine.merge(now, notice.records)
        self._seen_revision = self._quarantine.revision
        if own_news or (is_new and self._peers.is_hub(now)):
            self._announce(now)

    def next_notice(self, now: float) -> AddressedNotice | None:
        """Return the notice to send now, if one is due."""
        if self._quarantine.revision != self._seen_revision:
            self._seen_revision = self._quarantine.revision
            self._announce(now)
        is_hub = self._peers.is_hub(now)
        if self._sends_left and now >= self._due_at:
            self._sends_left -= 1
            self._due_at = now + REPEAT_SECONDS
        elif is_hub and now >= self._refresh_at:
            self._refresh_at = now + REFRESH_SECONDS
        else:
            return None
        records = self._quarantine.records(now)
        if not records:
            return None
        peers = self._peers.local_peers(now)
        if is_hub:
            peers += self._peers.remote_hubs(now, all_members=True)
        return AddressedNotice(CrashNotice(self._vm, records), peers)

    def _announce(self, now: float) -> None:
        self._sends_left = REPEATS
        self._due_at = now
