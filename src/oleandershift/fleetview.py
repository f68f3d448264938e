"""A VM's view of the fleet: the configuration in force and the known upstreams."""

from oleandershift.directory import Directory
from oleandershift.freshness import StoreFreshness
from oleandershift.records import StorePosition
from oleandershift.routing import Configuration


class FleetView:
    """Newest known configuration and directory of upstreams.

    Parameters
    ----------
    grace_s : float
        Time for which a registration is kept after it disappears, seconds.

    Attributes
    ----------
    freshness : StoreFreshness
        Up to when VMs have read the store.
    reads_store : bool
        Whether this VM reads the store itself, and its last calls succeeded.
    """

    def __init__(self, grace_s: float = 0.0) -> None:
        self.reads_store = False
        self.freshness = StoreFreshness()
        self.configuration: Configuration | None = None
        self.directory = Directory(grace_s, self.freshness)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        return self.configuration.version if self.configuration is not None else 0

    def is_behind(self, configuration: int, position: StorePosition) -> bool:
        """Return whether a VM with a version and a position has read more."""
        return configuration > self.version or position > self.directory.position

    def update_configuration(self, cfg: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        current = self.configuration
        if current is not None and cfg.version <= current.version:
            return False
        self.configuration = cfg
        return True
