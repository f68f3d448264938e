"""Queue of membership changes that are piggybacked on probes."""

import heapq
import math

from oleandershift.ids import VmId
from oleandershift.messages import Member

MAX_UPDATES_PER_MESSAGE = 12
TRANSMISSIONS_PER_DOUBLING = 3


class UpdateQueue:
    """Chooses the changes that are piggybacked on the next message.

    Changes with the fewest transmissions are sent first. A change is removed from the
    queue after a number of transmissions that grows with the logarithm of the fleet's
    size.
    """

    def __init__(self) -> None:
        self._updates: dict[VmId, Member] = {}
        self._transmissions: dict[VmId, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue a change, replacing an older one of the same VM."""
        self._updates[member.vm] = member
        self._transmissions[member.vm] = 0

    def discard(self, vm: VmId) -> None:
        """Remove the change of a VM, which is already known or out of date."""
        self._updates.pop(vm, None)
        self._transmissions.pop(vm, None)

    def next_batch(self, fleet_size: int) -> tuple[Member, ...]:
        """Return the changes for one message and count their transmissions.

        Parameters
        ----------
        fleet_size : int
            Number of known VMs.
        """
        chosen = heapq.nsmallest(
            MAX_UPDATES_PER_MESSAGE, self._updates, key=self._transmissions.__getitem__
        )
        limit = TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 1))
        batch = tuple(self._updates[vm] for vm in chosen)
        for vm in chosen:
            self._count_transmission(vm, limit)
        return batch

    def _count_transmission(self, vm: VmId, limit: int) -> None:
        self._transmissions[vm] += 1
        if self._transmissions[vm] >= limit:
            self.discard(vm)
