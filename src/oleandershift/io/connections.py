"""Upper bound on the number of connections to other processes."""

from collections import OrderedDict

from oleandershift.ids import RegionId
from oleandershift.io.links import Links
from oleandershift.messages import Body

MAX_CONNECTIONS = 128


class BoundedLinks:
    """Links that keep only the most recently used connections open.

    Parameters
    ----------
    links : Links
        Links that send the messages.
    """

    def __init__(self, links: Links) -> None:
        self._links = links
        self._recent_addresses: OrderedDict[str, None] = OrderedDict()

    def send(self, address: str, body: Body, region: RegionId | None = None) -> None:
        """Send a message, or drop it if it can't be sent without blocking."""
        self._recent_addresses[address] = None
        self._recent_addresses.move_to_end(address)
        if len(self._recent_addresses) > MAX_CONNECTIONS:
            oldest, _ = self._recent_addresses.popitem(last=False)
            self._links.disconnect(oldest)
        self._links.send(address, body, region)

    def disconnect(self, address: str) -> None:
        """Close the connection to an address, if there is one."""
        if address in self._recent_addresses:
            del self._recent_addresses[address]
            self._links.disconnect(address)
