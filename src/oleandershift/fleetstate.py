"""What one VM knows, as one object for the parts that share it."""

from collections.abc import Callable
from dataclasses import dataclass

from oleandershift.demand import SHARE_HEADROOM, DemandMeter, Shares, max_min_shares
from oleandershift.fleetview import FleetView
from oleandershift.peertable import PeerTable
from oleandershift.placement import LoadTracker


@dataclass
class FleetState:
    """Beliefs, work, and demand of one VM, and its neighbours."""

    peers: PeerTable
    view: FleetView
    loads: LoadTracker
    demand: DemandMeter
    on_load_change: Callable[[], None] = lambda: None

    def shares(self, now: float, declared: float) -> Shares:
        """Return what each team is due of what the fleet serves.

        Parameters
        ----------
        now : float
            The current instant.
        declared : float
            Tokens a second that the configuration declares.
        """
        rates = self.peers.team_rates(now, self.demand.rates(now))
        return max_min_shares(rates, declared, SHARE_HEADROOM)

    def refresh_loads(self, now: float) -> None:
        """Bring the work of the other VMs up to date."""
        self.loads.set_remote(self.peers.remote_loads(now))
