"""What a VM believes: the configuration in force and the upstreams."""

from oleandershift.directory import Directory
from oleandershift.routing import Configuration


class FleetView:
    """The newest configuration seen, and the directory of upstreams.

    Parameters
    ----------
    grace_s : float
        Seconds that a registration which vanished is kept.
    """

    def __init__(self, grace_s: float = 0.0) -> None:
        self.configuration: Configuration | None = None
        self.directory = Directory(grace_s)

    def update_configuration(self, cfg: Configuration) -> bool:
        """Take a configuration unless it is older than the one in force."""
        held = self.configuration
        if held is not None and cfg.version <= held.version:
            return False
        self.configuration = cfg
        return True
