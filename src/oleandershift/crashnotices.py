"""Exchange of notices about suspects, under which upstreams crashed."""

from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.digests import CrashNotice, SuspectRecord
from oleandershift.ids import VmId
from oleandershift.neighbours import Addressed, PeerTable
from oleandershift.quarantine import Quarantine
from oleandershift.suspects import Suspect

REPEATS = 5
"""Number of times that news are sent, as datagrams may be lost."""

REPEAT_SECONDS = 0.2

REFRESH_SECONDS = 2.0
"""Interval at which a hub repeats what is known, for VMs that have started since."""


@dataclass(slots=True)
class _PendingNews:
    sends_left: int
    due_at: float


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
    quarantine : Quarantine
        Source of the notices; received ones are merged into it.
    """

    def __init__(self, vm: VmId, peers: PeerTable, quarantine: Quarantine) -> None:
        self._vm = vm
        self._peers = peers
        self._quarantine = quarantine
        self._pending: dict[Suspect, _PendingNews] = {}
        self._was_hub = False
        self._refresh_at = 0.0

    def receive(self, now: float, notice: CrashNotice) -> None:
        """Merge another VM's notice; a hub sends on what is new."""
        news = self._quarantine.merge(now, notice.records)
        if news and self._peers.is_hub(now):
            self._announce(now, news)

    def next_notice(self, now: float) -> Addressed[CrashNotice] | None:
        """Return the notice to send now, if one is due."""
        self._announce(now, self._quarantine.take_news())
        is_hub = self._peers.is_hub(now)
        if is_hub and not self._was_hub:
            # The hub before may have ended with news that it had not passed on.
            self._announce(now, self._quarantine.often_suspected())
        self._was_hub = is_hub
        records = self._due_news(now)
        if not records and is_hub and now >= self._refresh_at:
            self._refresh_at = now + REFRESH_SECONDS
            known = self._quarantine.often_suspected()
            records = self._quarantine.records(now, known)
        if not records:
            return None
        peers = self._peers.local_peers(now)
        if is_hub:
            peers += self._peers.remote_hubs(now, all_members=True)
        return Addressed(CrashNotice(self._vm, records), peers)

    def _announce(self, now: float, suspects: Iterable[Suspect]) -> None:
        for suspect in suspects:
            self._pending[suspect] = _PendingNews(REPEATS, now)

    def _due_news(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return the news that are due; what does not fit is left for the next call."""
        due = [suspect for suspect, news in self._pending.items() if news.due_at <= now]
        if not due:
            return ()
        records = self._quarantine.records(now, due)
        if not records:
            # They were forgotten meanwhile.
            for suspect in due:
                del self._pending[suspect]
        for record in records:
            suspect = Suspect(record.kind, record.name)
            news = self._pending[suspect]
            news.sends_left -= 1
            news.due_at = now + REPEAT_SECONDS
            if not news.sends_left:
                del self._pending[suspect]
        return records
