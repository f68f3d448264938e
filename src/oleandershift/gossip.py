"""Bounded queue of membership changes that ride on probes."""

import heapq
import math

from oleandershift.ids import VmId
from oleandershift.messages import Member

MAX_UPDATES_PER_MESSAGE = 12
TRANSMISSIONS_PER_DOUBLING = 3


class UpdateQueue:
    """Chooses which changes ride on the next message.

    Each change is sent a number of times that grows with the logarithm of the fleet's
    size, the least sent ones first; then it is dropped from the queue.
    """

    def __init__(self) -> None:
        self._updates: dict[VmId, Member] = {}
        self._sent: dict[VmId, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue a change; it replaces an older one of the same VM."""
        self._updates[member.vm] = member
        self._sent[member.vm] = 0

    def discard(self, vm: VmId) -> None:
        """Forget the change of a VM, as it is known already or out of date."""
        self._updates.pop(vm, None)
        self._sent.pop(vm, None)

    def next_batch(self, fleet_size: int) -> tuple[Member, ...]:
        """Return the changes for one message and count their transmission.

        Parameters
        ----------
        fleet_size : int
            Number of VMs known.
        """
        chosen = heapq.nsmallest(
            MAX_UPDATES_PER_MESSAGE, self._updates, key=self._sent.__getitem__
        )
        limit = TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(fleet_size + 1))
        taken = tuple(self._updates[vm] for vm in chosen)
        for vm in chosen:
            self._count(vm, limit)
        return taken

    def _count(self, vm: VmId, limit: int) -> None:
        self._sent[vm] += 1
        if self._sent[vm] >= limit:
            self.discard(vm)
