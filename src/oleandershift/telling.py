"""Exchange of digests between VMs: what is sent, to which VMs, and when."""

from typing import TypeVar

from oleandershift.digests import Digest, RemovedUpstream, Scope
from oleandershift.directory import UpstreamRun
from oleandershift.ids import Incarnation, Seq
from oleandershift.neighbours import Addressed, Peer
from oleandershift.records import StorePosition
from oleandershift.state import FleetState, LeavingReport, LeavingSource
from oleandershift.summaries import (
    MAX_LEAVING_IN_DIGEST,
    MAX_REMOVED_IN_DIGEST,
    Summary,
    SummaryPart,
    summarise,
)

HUB_DISCOVERY_INTERVAL_DIGESTS = 10
"""Every this many digests, a hub also sends its summary to all VMs of the data centres
whose hub it does not know."""

URGENT_CHANGE_TOKENS = 3000
"""Change of the prompt tokens awaiting prefill that triggers a digest ahead of
schedule; an engine takes some tens of milliseconds to prefill that many."""

URGENT_DELAY_SECONDS_PER_VM = 0.001
"""Time per known VM for which urgent changes are coalesced. With ten VMs it is shorter
than the one-way delay between regions; with a hundred it reaches the regular digest
interval."""


DIGEST_INTERVAL_SECONDS_PER_VM = 0.006
"""Time per VM of the data centre between two regular digests, so that a VM receives at
most 170 a second from its data centre. The caller's own interval is the shortest."""

MAX_DIGEST_INTERVAL_SECONDS = 0.25
"""Longest time between two regular digests; two may be lost before a VM expires."""

_Item = TypeVar("_Item")


class DigestExchange:
    """Creates this VM's digests and applies those of other VMs.

    The caller sends digests when they are due, which suffices for steady work. Long
    prompts are announced immediately, because several VMs would otherwise send theirs
    to the same engine, and so are upstreams that were found absent or said that they
    leave.

    Parameters
    ----------
    this_vm : Peer
        This VM.
    incarnation : Incarnation
        Start time of this process.
    state : FleetState
        Source of the digests' content; received digests are stored in it.

    Attributes
    ----------
    omitted_entries : int
        Entries that exceeded the limits of the digests sent so far.
    """

    def __init__(
        self, this_vm: Peer, incarnation: Incarnation, state: FleetState
    ) -> None:
        self._this_vm = this_vm
        self._incarnation = incarnation
        self._state = state
        self._peers = state.peers
        self._sent_prefill_tokens = 0
        self._sent_absent: frozenset[UpstreamRun] = frozenset()
        self._sent_leaving: frozenset[UpstreamRun] = frozenset()
        self._seq = 0
        self._due_at = 0.0
        self.omitted_entries = 0

    def is_due(self, now: float) -> bool:
        """Return whether it is time for a regular digest."""
        return now >= self._due_at

    def is_urgent(self, now: float) -> bool:
        """Return whether enough changed since the last digest to send one."""
        # Asked at each change of load, and the rank among all VMs takes a scan.
        is_hub = self._peers.is_hub(now)
        change = abs(self._prefill_tokens(now, is_hub) - self._sent_prefill_tokens)
        return (
            change >= URGENT_CHANGE_TOKENS
            or not self._absent(now, is_hub) <= self._sent_absent
            or not self._leaving(is_hub) <= self._sent_leaving
        )

    def sums_peers(self, now: float) -> bool:
        """Return whether received digests change what this VM sends, as on a hub."""
        return self._peers.is_hub(now)

    def urgent_delay_seconds(self, now: float) -> float:
        """Return the time for which urgent changes are coalesced."""
        return URGENT_DELAY_SECONDS_PER_VM * self._peers.known_count(now)

    def next_digests(self, now: float) -> list[Addressed[Digest]]:
        """Return this VM's digest, and on a hub also that of its data centre.

        Each may come in several parts.
        """
        is_hub = self._peers.is_hub(now)
        self._sent_prefill_tokens = self._prefill_tokens(now, is_hub)
        self._sent_absent = self._absent(now, is_hub)
        self._sent_leaving = self._leaving(is_hub)
        leaving = self._window(self._sent_leaving)
        self._seq += 1
        local_peers = self._peers.local_peers(now)
        self._due_at = now + min(
            DIGEST_INTERVAL_SECONDS_PER_VM * len(local_peers),
            MAX_DIGEST_INTERVAL_SECONDS,
        )
        loads = self._state.loads.local()
        rates = self._state.demand.rates(now)
        absent = self._state.absences.absent(now)
        removed = self._removed(now) if is_hub else ()
        own_summary = summarise(1, loads, rates, absent, leaving, removed)
        self.omitted_entries += own_summary.omitted
        addressed = self._address(now, Scope.VM, own_summary, local_peers)
        if is_hub:
            discover_hubs = self._seq % HUB_DISCOVERY_INTERVAL_DIGESTS == 0
            summary = self._peers.data_centre_summary(
                now, loads, rates, absent, leaving, removed
            )
            hubs = self._peers.remote_hubs(now, discover_hubs)
            self.omitted_entries += summary.omitted
            addressed += self._address(now, Scope.DATA_CENTRE, summary, hubs)
        return addressed

    def receive(self, now: float, digest: Digest) -> list[Peer]:
        """Store another VM's digest; return the peers to which it is forwarded."""
        if digest.leaving and not self._peers.is_hub(now):
            # Its sender has told this data centre already.
            self._sent_leaving |= frozenset(digest.leaving)
        for run in digest.leaving:
            report = LeavingReport(run, LeavingSource.DIGEST, digest.vm)
            self._state.record_leaving(report)
        for item in digest.removed:
            self._state.view.directory.on_removal_told(
                now,
                StorePosition(digest.era, item.revision),
                UpstreamRun(item.upstream, item.incarnation),
                now + item.left_ms / 1000,
            )
        if digest.reads_store:
            view = self._state.view
            is_newer = view.is_behind(digest.configuration, digest.position)
            view.freshness.on_told(now, digest.read_until(now), is_newer)
        is_new_summary = self._peers.merge(now, digest)
        if is_new_summary and self._peers.is_hub(now):
            return self._peers.local_peers(now)
        return []

    def _prefill_tokens(self, now: float, is_hub: bool) -> int:
        """Return the tokens awaiting prefill: of this VM, or of a hub's data centre."""
        own_tokens = sum(
            load.prefill_tokens for load in self._state.loads.local().values()
        )
        if not is_hub:
            return own_tokens
        return own_tokens + self._peers.data_centre_prefill_tokens(now)

    def _absent(self, now: float, is_hub: bool) -> frozenset[UpstreamRun]:
        """Return the absences that this VM announces, on a hub its data centre's."""
        own = self._state.absences.absent(now)
        if not is_hub:
            return own
        return self._peers.data_centre_absent(now, own)

    def _leaving(self, is_hub: bool) -> frozenset[UpstreamRun]:
        """Return the leaving upstreams that this VM announces.

        Each VM passes on what it was told, until the store lists it as well. A hub
        announces what the store lists, too: followers then need no snapshot to stop
        sending to an upstream that drains.
        """
        directory = self._state.view.directory
        if is_hub:
            return directory.leaving_unregistered() | directory.leaving_registered()
        return directory.leaving_unregistered()

    def _removed(self, now: float) -> tuple[RemovedUpstream, ...]:
        """Return the removals that a hub announces, others with each digest.

        VMs that are late then need no snapshot to end the use of the upstreams.
        """
        directory = self._state.view.directory
        era = directory.position.era
        removals = [
            RemovedUpstream(
                run.upstream,
                run.incarnation,
                position.revision,
                round(directory.grace_left(now, run.upstream) * 1000),
            )
            for run, position in directory.recent_removals(now)
            if position.era == era
        ]
        return tuple(_rotated(removals, self._seq, MAX_REMOVED_IN_DIGEST))

    def _window(self, runs: frozenset[UpstreamRun]) -> frozenset[UpstreamRun]:
        """Return as many runs as a digest names, others with each digest."""
        return frozenset(_rotated(sorted(runs), self._seq, MAX_LEAVING_IN_DIGEST))

    def _address(
        self, now: float, scope: Scope, summary: Summary, peers: list[Peer]
    ) -> list[Addressed[Digest]]:
        """Return the digests for the parts of a summary."""
        count = len(summary.parts)
        return [
            Addressed(self._digest(now, scope, content, part, count), peers)
            for part, content in enumerate(summary.parts)
        ]

    def _read_age_ms(self, now: float) -> int:
        """Return the milliseconds since the store answered; 0 if it is not read."""
        view = self._state.view
        if not view.reads_store:
            return 0
        return max(0, round((now - view.freshness.own_read_until) * 1000))

    def _digest(
        self,
        now: float,
        scope: Scope,
        content: SummaryPart,
        part: int,
        parts: int,
    ) -> Digest:
        view = self._state.view
        position = view.directory.position
        return Digest(
            vm=self._this_vm.vm,
            data_centre=self._this_vm.data_centre,
            incarnation=self._incarnation,
            seq=Seq(self._seq),
            scope=scope,
            vms=content.vms,
            configuration=view.version,
            revision=position.revision,
            host=self._this_vm.address.host,
            port=self._this_vm.address.port,
            work=content.work,
            demand=content.demand,
            absent=content.absent,
            reads_store=view.reads_store,
            part=part,
            parts=parts,
            leaving=content.leaving,
            removed=content.removed,
            era=position.era,
            read_age_ms=self._read_age_ms(now),
        )


def _rotated(items: list[_Item], turn: int, limit: int) -> list[_Item]:
    """Return as many items as allowed, others with each turn."""
    if len(items) <= limit:
        return items
    start = turn * limit % len(items)
    return (items[start:] + items)[:limit]
