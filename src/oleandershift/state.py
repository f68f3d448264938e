"""What one VM knows, as one object for the parts that share it."""

from dataclasses import dataclass, field

from oleandershift.demand import DemandMeter
from oleandershift.fleetview import Beliefs
from oleandershift.placement import Loads


@dataclass
class FleetState:
    """Beliefs, work, demand and what was let in of one VM."""

    beliefs: Beliefs = field(default_factory=Beliefs)
    loads: Loads = field(default_factory=Loads)
    demand: DemandMeter = field(default_factory=DemandMeter)
    admitted: DemandMeter = field(default_factory=DemandMeter)
