"""Bound on the connections that a process keeps to other processes."""

from collections import OrderedDict

from oleandershift.ids import RegionId
from oleandershift.io.links import Links
from oleandershift.messages import Body

MAX_CONNECTIONS = 128


class BoundedLinks:
    """Links that keep connections only to the addresses used last.

    Parameters
    ----------
    links : Links
        What sends.
    """

    def __init__(self, links: Links) -> None:
        self._links = links
        self._used: OrderedDict[str, None] = OrderedDict()

    def send(self, address: str, body: Body, region: RegionId | None = None) -> None:
        """Send a message; one that can't be sent at once is dropped."""
        self._used[address] = None
        self._used.move_to_end(address)
        if len(self._used) > MAX_CONNECTIONS:
            oldest, _ = self._used.popitem(last=False)
            self._links.disconnect(oldest)
        self._links.send(address, body, region)

    def disconnect(self, address: str) -> None:
        """Close the connection to an address that is gone."""
        if address in self._used:
            del self._used[address]
            self._links.disconnect(address)
