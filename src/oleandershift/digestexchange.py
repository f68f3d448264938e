"""What a VM tells the others of its work, whom, and when."""

from dataclasses import dataclass

from oleandershift.digests import Digest, Scope
from oleandershift.fleetstate import FleetState
from oleandershift.ids import Incarnation, Seq
from oleandershift.peertable import (
    DataCentreSummary,
    Peer,
    demand_entries,
    work_entries,
)

HUB_DISCOVERY_INTERVAL_DIGESTS = 10
"""Every so many digests, a hub also tells data centres whose hub it does not know."""

URGENT_CHANGE_TOKENS = 3000
"""Change of unread prompt tokens that the others are told before their turn: some tens
of milliseconds of an engine's time."""

URGENT_DELAY_SECONDS_PER_VM = 0.001
"""Time in which such changes are gathered, for each VM: at ten VMs less than a way
between regions, at a hundred the pace of the usual digests."""


@dataclass(frozen=True, slots=True)
class AddressedDigest:
    """A digest and whom it is sent to."""

    digest: Digest
    peers: list[Peer]


class DigestExchange:
    """Makes this VM's digests.

    Answers two loads: steady work, told at the caller's pace; and long prompts that
    several VMs would send to the same engine, told at once.

    Parameters
    ----------
    own : Peer
        This VM.
    incarnation : Incarnation
        Start of this process.
    state : FleetState
        What is told, and takes what is heard.
    """

    def __init__(self, own: Peer, incarnation: Incarnation, state: FleetState) -> None:
        self._own = own
        self._incarnation = incarnation
        self._state = state
        self._neighbours = state.peers
        self._told = 0
        self._seq = 0

    def is_urgent(self, now: float) -> bool:
        """Tell whether the work here has changed by much since it was told."""
        return abs(self._unread(now) - self._told) >= URGENT_CHANGE_TOKENS

    def urgent_delay_seconds(self, now: float) -> float:
        """Return how long urgent changes are gathered."""
        return URGENT_DELAY_SECONDS_PER_VM * self._neighbours.known_count(now)

    def next_digests(self, now: float) -> list[AddressedDigest]:
        """Return this VM's digest, and as a hub also its data centre's."""
        self._told = self._unread(now)
        self._seq += 1
        work = work_entries(self._state.loads.local())
        asked = self._state.demand.rates(now)
        own = DataCentreSummary(1, work, demand_entries(asked))
        notices = [
            AddressedDigest(
                self._digest(Scope.VM, own), self._neighbours.local_peers(now)
            )
        ]
        if self._neighbours.is_hub(now):
            search = self._seq % HUB_DISCOVERY_INTERVAL_DIGESTS == 0
            total = self._neighbours.data_centre_summary(now, work, asked)
            hubs = self._neighbours.remote_hubs(now, search)
            notices.append(
                AddressedDigest(self._digest(Scope.DATA_CENTRE, total), hubs)
            )
        return notices

    def receive(self, now: float, digest: Digest) -> list[Peer]:
        """Take another VM's digest; return to whom it is passed on."""
        is_news = self._neighbours.merge(now, digest)
        if is_news and self._neighbours.is_hub(now):
            return self._neighbours.local_peers(now)
        return []

    def _unread(self, now: float) -> int:
        """Return the prompt tokens that this VM, or its data centre, waits for."""
        own = sum(load.prefill_tokens for load in self._state.loads.local().values())
        if not self._neighbours.is_hub(now):
            return own
        return own + self._neighbours.data_centre_prefill_tokens(now)

    def _digest(self, scope: Scope, total: DataCentreSummary) -> Digest:
        cfg = self._state.view.configuration
        return Digest(
            vm=self._own.vm,
            data_centre=self._own.data_centre,
            incarnation=self._incarnation,
            seq=Seq(self._seq),
            scope=scope,
            vms=total.vms,
            configuration=cfg.version if cfg else 0,
            revision=self._state.view.directory.revision,
            host=self._own.address.host,
            port=self._own.address.port,
            work=total.work,
            demand=total.demand,
        )
