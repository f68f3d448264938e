"""What one VM knows, as one object for the parts that share it."""

from collections.abc import Callable
from dataclasses import dataclass

from oleandershift.demand import SHARE_HEADROOM, DemandMeter, Shares, shares_of
from oleandershift.fleetview import Beliefs
from oleandershift.neighbours import Neighbours
from oleandershift.placement import Loads


@dataclass
class FleetState:
    """Beliefs, work, and demand of one VM, and its neighbours."""

    neighbours: Neighbours
    beliefs: Beliefs
    loads: Loads
    demand: DemandMeter
    work_changed: Callable[[], None] = lambda: None

    def shares(self, now: float, declared: float) -> Shares:
        """Return what each team is due of what the fleet serves.

        Parameters
        ----------
        now : float
            The current instant.
        declared : float
            Tokens a second that the configuration declares.
        """
        rates = self.neighbours.demand(now, self.demand.rates(now))
        return shares_of(rates, declared, SHARE_HEADROOM)

    def refresh(self, now: float) -> None:
        """Bring the work of the other VMs up to date."""
        self.loads.set_others(self.neighbours.others(now))
