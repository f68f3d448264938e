"""Loop that delivers messages between membership objects in one process."""

import heapq
import random
from collections import Counter
from collections.abc import Iterable

from oleandershift.dispatch import Send
from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    Seq,
    VmId,
)
from oleandershift.membership import (
    INITIAL_SYNC_INTERVAL_SECONDS,
    Membership,
    agent_address,
)
from oleandershift.messages import (
    Body,
    Envelope,
    Member,
    MemberState,
    MembersView,
    ProcessId,
    Role,
    encode,
)

TICK_SECONDS = 0.05
MIN_DELAY_SECONDS = 0.0005
MAX_DELAY_SECONDS = 0.015


def make_member(number: int, incarnation: int, regions: int) -> Member:
    """Return the member entry of a VM of the loop."""
    return Member(
        VmId(f"vm-{number:04d}"),
        RegionId(f"region-{number % regions:02d}"),
        DataCentreId(f"dc-{number % regions:02d}"),
        f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        7101,
        7104,
        7102,
        7103,
        8080,
        Incarnation(incarnation),
    )


class MembershipLoop:
    """Runs membership objects and delivers their messages on virtual time.

    Parameters
    ----------
    size : int
        Number of VMs; all start at the same time.
    seed : int
        Seed of delays, losses and the members' random choices.
    regions : int
        Number of regions that the VMs are spread over.
    contacts : int
        Number of VMs that each VM has in its settings as initial contacts.
    sync_seconds : float
        Initial interval between a VM's requests for all members, seconds.

    Attributes
    ----------
    now : float
        Virtual time, seconds.
    loss_rate : float
        Share of the messages that are lost.
    frozen : set of VmId
        VMs that neither tick nor receive; messages to them are deferred.
    down : set of VmId
        VMs that have stopped.
    partition : frozenset of VmId
        VMs cut off from the others; they reach only each other.
    sent_bytes : Counter
        Encoded bytes sent by each VM.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        regions: int = 3,
        contacts: int = 3,
        sync_seconds: float = INITIAL_SYNC_INTERVAL_SECONDS,
    ) -> None:
        self.now = 1000.0
        self.loss_rate = 0.0
        self.frozen: set[VmId] = set()
        self.down: set[VmId] = set()
        self.partition: frozenset[VmId] = frozenset()
        self.sent_bytes: Counter[VmId] = Counter()
        self.nodes: dict[VmId, Membership] = {}
        self._regions = regions
        self._contacts = contacts
        self._sync_seconds = sync_seconds
        self._rng = random.Random(seed)
        self._by_address: dict[str, VmId] = {}
        self._in_flight: list[tuple[float, int, VmId, VmId, Body]] = []
        self._deferred: dict[VmId, list[tuple[VmId, Body]]] = {}
        self._sequence = 0
        self._process_ids: dict[VmId, ProcessId] = {}
        for number in range(size):
            self.start(number)

    def start(self, number: int) -> VmId:
        """Start a VM, or restart it without stored state."""
        local_member = make_member(number, int(self.now * 1e9), self._regions)
        contact_addresses = [
            agent_address(make_member(i, 0, self._regions))
            for i in range(self._contacts)
        ]
        self.nodes[local_member.vm] = Membership(
            local_member,
            contact_addresses,
            self._rng.getrandbits(32),
            self._sync_seconds,
        )
        self._by_address[agent_address(local_member)] = local_member.vm
        self._process_ids[local_member.vm] = ProcessId(
            local_member.vm, Role.AGENT, local_member.incarnation
        )
        self.down.discard(local_member.vm)
        self._deferred.pop(local_member.vm, None)
        return local_member.vm

    def introduce_all(self) -> None:
        """Give every VM the members of all VMs, as after a long run."""
        all_members = tuple(node.local_member for node in self.nodes.values())
        for vm, node in self.nodes.items():
            node.on_message(self.now, vm, MembersView(Seq(1), all_members))

    def run(self, seconds: float) -> None:
        """Advance virtual time by at least `seconds`."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until_settled(self, limit_seconds: float) -> float:
        """Run until every view matches the running VMs; return the elapsed seconds.

        Raises
        ------
        TimeoutError
            If the views do not match within `limit_seconds`.
        """
        start = self.now
        while self.now < start + limit_seconds:
            if self.is_settled():
                return self.now - start
            self.step()
        raise TimeoutError(f"the views did not settle within {limit_seconds} s")

    def step(self) -> None:
        """Advance virtual time by one tick."""
        self.now += TICK_SECONDS
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, sender, receiver, body = heapq.heappop(self._in_flight)
            self._deliver(sender, receiver, body)
        for vm in list(self.nodes):
            if vm in self.down or vm in self.frozen:
                continue
            self.send(vm, self.nodes[vm].on_tick(self.now))
            for sender, body in self._deferred.pop(vm, ()):
                self._deliver(sender, vm, body)

    def is_settled(self) -> bool:
        """Return whether each running VM considers exactly the running VMs alive.

        The views of frozen VMs are not checked.
        """
        running = {vm for vm in self.nodes if vm not in self.down}
        responsive = running - self.frozen
        if any(self._living_count(vm) != len(running) for vm in responsive):
            return False
        return all(self.alive_members(vm) == running for vm in responsive)

    def count_false_deaths(self, observers: Iterable[VmId] | None = None) -> int:
        """Return the number of beliefs that a running VM is dead.

        Parameters
        ----------
        observers : iterable of VmId, optional
            VMs whose beliefs are counted; all running VMs by default.
        """
        observing_vms = self.nodes if observers is None else observers
        return sum(
            member.vm not in self.down
            for vm in observing_vms
            if vm not in self.down
            for member in self.nodes[vm].dead_members()
        )

    def _living_count(self, vm: VmId) -> int:
        node = self.nodes[vm]
        return len(node.members()) - len(node.dead_members())

    def alive_members(self, vm: VmId) -> set[VmId]:
        """Return the VMs that `vm` does not consider dead."""
        members = self.nodes[vm].members().values()
        return {m.vm for m in members if m.state is not MemberState.DEAD}

    def count_dead_beliefs(self, vm: VmId) -> int:
        """Return the number of running VMs that consider `vm` dead."""
        return sum(
            vm not in self.alive_members(other)
            for other in self.nodes
            if other not in self.down and other != vm
        )

    def count_suspicions(self) -> int:
        """Return the number of suspicions, over all running VMs."""
        return sum(
            member.state is MemberState.SUSPECT
            for vm, node in self.nodes.items()
            if vm not in self.down
            for member in node.members().values()
        )

    def send(self, sender: VmId, sends: Iterable[Send]) -> None:
        """Schedule delivery of a VM's messages, subject to loss and partition."""
        for send in sends:
            self.sent_bytes[sender] += self._encoded_size(sender, send.body)
            receiver = self._by_address.get(send.address)
            if receiver is None or self._rng.random() < self.loss_rate:
                continue
            if (sender in self.partition) != (receiver in self.partition):
                continue
            delay = self._rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            self._sequence += 1
            item = (self.now + delay, self._sequence, sender, receiver, send.body)
            heapq.heappush(self._in_flight, item)

    def _deliver(self, sender: VmId, receiver: VmId, body: Body) -> None:
        if receiver in self.down:
            return
        if receiver in self.frozen:
            self._deferred.setdefault(receiver, []).append((sender, body))
            return
        sends = self.nodes[receiver].on_message(self.now, sender, body)
        self.send(receiver, sends)

    def _encoded_size(self, sender: VmId, body: Body) -> int:
        wall_ns = int(self.now * 1e9)
        process = self._process_ids[sender]
        envelope = Envelope(FleetId("oleander"), process, wall_ns, 0, body)
        return len(encode(envelope))
