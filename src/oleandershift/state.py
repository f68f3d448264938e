"""What one VM knows, as one object for the parts that share it."""

from collections.abc import Callable
from dataclasses import dataclass

from oleandershift.demand import DemandMeter
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

    def refresh(self, now: float) -> None:
        """Bring the work of the other VMs up to date."""
        self.loads.set_others(self.neighbours.others(now))
