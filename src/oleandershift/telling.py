"""What a VM tells the others of its work, whom, and when."""

from dataclasses import dataclass

from oleandershift.digests import Digest, Scope
from oleandershift.ids import Incarnation, Seq
from oleandershift.neighbours import CentreSum, Peer, demand_entries, work_entries
from oleandershift.state import FleetState

SEARCH_TICKS = 10
"""Every so many digests, a hub also tells data centres whose hub it does not know."""

URGENT_TOKENS = 3000
"""Change of unread prompt tokens that the others are told before their turn: some tens
of milliseconds of an engine's time."""

URGENT_SECONDS_PER_VM = 0.001
"""Time in which such changes are gathered, for each VM: at ten VMs less than a way
between regions, at a hundred the pace of the usual digests."""


@dataclass(frozen=True, slots=True)
class Notice:
    """A digest and whom it is sent to."""

    digest: Digest
    peers: list[Peer]


class Teller:
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
        self._neighbours = state.neighbours
        self._told = 0
        self._seq = 0

    def is_urgent(self, now: float) -> bool:
        """Tell whether the work here has changed by much since it was told."""
        return abs(self._unread(now) - self._told) >= URGENT_TOKENS

    def urgent_seconds(self, now: float) -> float:
        """Return how long urgent changes are gathered."""
        return URGENT_SECONDS_PER_VM * self._neighbours.known(now)

    def tell(self, now: float) -> list[Notice]:
        """Return this VM's digest, and as a hub also its data centre's."""
        self._told = self._unread(now)
        self._seq += 1
        work = work_entries(self._state.loads.own())
        asked = self._state.demand.rates(now)
        own = CentreSum(1, work, demand_entries(asked))
        notices = [Notice(self._digest(Scope.VM, own), self._neighbours.mates(now))]
        if self._neighbours.is_hub(now):
            search = self._seq % SEARCH_TICKS == 0
            total = self._neighbours.centre(now, work, asked)
            hubs = self._neighbours.hubs(now, search)
            notices.append(Notice(self._digest(Scope.DATA_CENTRE, total), hubs))
        return notices

    def hear(self, now: float, digest: Digest) -> list[Peer]:
        """Take another VM's digest; return to whom it is passed on."""
        is_news = self._neighbours.take(now, digest)
        if is_news and self._neighbours.is_hub(now):
            return self._neighbours.mates(now)
        return []

    def _unread(self, now: float) -> int:
        """Return the prompt tokens that this VM, or its data centre, waits for."""
        own = sum(load.unread for load in self._state.loads.own().values())
        if not self._neighbours.is_hub(now):
            return own
        return own + self._neighbours.centre_unread(now)

    def _digest(self, scope: Scope, total: CentreSum) -> Digest:
        cfg = self._state.beliefs.configuration
        return Digest(
            vm=self._own.vm,
            data_centre=self._own.data_centre,
            incarnation=self._incarnation,
            seq=Seq(self._seq),
            scope=scope,
            vms=total.vms,
            configuration=cfg.version if cfg else 0,
            revision=self._state.beliefs.directory.changed,
            host=self._own.address.host,
            port=self._own.address.port,
            work=total.work,
            demand=total.demand,
        )
