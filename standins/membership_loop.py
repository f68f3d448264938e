"""Loop that carries messages between membership objects of one process."""

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
    """Return the member of one of the loop's VMs."""
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
    """Membership objects, and the messages between them, on virtual time.

    Parameters
    ----------
    size : int
        Number of VMs; all start at once.
    seed : int
        Seed of delays, losses and the members' choices.
    regions : int
        Regions that the VMs fall into.
    contacts : int
        VMs that each one's settings name as first contacts.
    sync_seconds : float
        First pause between two requests of a VM for all members.

    Attributes
    ----------
    now : float
        Virtual time, seconds.
    loss_rate : float
        Share of messages lost.
    frozen : set of VmId
        VMs that neither tick nor receive; messages to them wait.
    down : set of VmId
        VMs that are gone.
    partition : frozenset of VmId
        VMs that reach only each other.
    sent_bytes : Counter
        Encoded bytes sent by VM.
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
        self._flying: list[tuple[float, int, VmId, VmId, Body]] = []
        self._held: dict[VmId, list[tuple[VmId, Body]]] = {}
        self._sent = 0
        self._process: dict[VmId, ProcessId] = {}
        for number in range(size):
            self.start(number)

    def start(self, number: int) -> VmId:
        """Start a VM, or start it again with nothing remembered."""
        me = make_member(number, int(self.now * 1e9), self._regions)
        seeds = [
            agent_address(make_member(i, 0, self._regions))
            for i in range(self._contacts)
        ]
        self.nodes[me.vm] = Membership(
            me, seeds, self._rng.getrandbits(32), self._sync_seconds
        )
        self._by_address[agent_address(me)] = me.vm
        self._process[me.vm] = ProcessId(me.vm, Role.AGENT, me.incarnation)
        self.down.discard(me.vm)
        self._held.pop(me.vm, None)
        return me.vm

    def introduce_all(self) -> None:
        """Let every VM know all others at once, as after a long run."""
        everyone = tuple(node.local_member for node in self.nodes.values())
        for vm, node in self.nodes.items():
            node.on_message(self.now, vm, MembersView(Seq(1), everyone))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until_settled(self, limit_seconds: float) -> float:
        """Let time pass until all views agree with what runs; return how long."""
        start = self.now
        while self.now < start + limit_seconds:
            if self.is_settled():
                return self.now - start
            self.step()
        raise TimeoutError(f"not settled after {limit_seconds} s")

    def step(self) -> None:
        """Let one tick pass."""
        self.now += TICK_SECONDS
        while self._flying and self._flying[0][0] <= self.now:
            _, _, sender, receiver, body = heapq.heappop(self._flying)
            self._deliver(sender, receiver, body)
        for vm in list(self.nodes):
            if vm in self.down or vm in self.frozen:
                continue
            self.send(vm, self.nodes[vm].on_tick(self.now))
            for sender, body in self._held.pop(vm, ()):
                self._deliver(sender, vm, body)

    def is_settled(self) -> bool:
        """Tell whether every running VM holds every running VM alive, and no other."""
        running = {vm for vm in self.nodes if vm not in self.down}
        awake = running - self.frozen
        if any(self._count(vm) != len(running) for vm in awake):
            return False
        return all(self.alive_members(vm) == running for vm in awake)

    def count_false_deaths(self, observers: Iterable[VmId] | None = None) -> int:
        """Return how many beliefs that a running VM is dead there are.

        Parameters
        ----------
        observers : iterable of VmId, optional
            Whose beliefs to count; those of all running VMs when absent.
        """
        counted = self.nodes if observers is None else observers
        return sum(
            member.vm not in self.down
            for vm in counted
            if vm not in self.down
            for member in self.nodes[vm].dead_members()
        )

    def _count(self, vm: VmId) -> int:
        node = self.nodes[vm]
        return len(node.members()) - len(node.dead_members())

    def alive_members(self, vm: VmId) -> set[VmId]:
        """Return the VMs that one VM does not hold for dead."""
        members = self.nodes[vm].members().values()
        return {m.vm for m in members if m.state is not MemberState.DEAD}

    def count_dead_beliefs(self, vm: VmId) -> int:
        """Return how many running VMs hold one for dead."""
        return sum(
            vm not in self.alive_members(other)
            for other in self.nodes
            if other not in self.down and other != vm
        )

    def count_suspicions(self) -> int:
        """Return how many beliefs that a running VM is suspect there are."""
        return sum(
            member.state is MemberState.SUSPECT
            for vm, node in self.nodes.items()
            if vm not in self.down
            for member in node.members().values()
        )

    def send(self, sender: VmId, sends: Iterable[Send]) -> None:
        """Put a VM's messages on their way."""
        for send in sends:
            self.sent_bytes[sender] += self._size(sender, send.body)
            receiver = self._by_address.get(send.address)
            if receiver is None or self._rng.random() < self.loss_rate:
                continue
            if (sender in self.partition) != (receiver in self.partition):
                continue
            delay = self._rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            self._sent += 1
            item = (self.now + delay, self._sent, sender, receiver, send.body)
            heapq.heappush(self._flying, item)

    def _deliver(self, sender: VmId, receiver: VmId, body: Body) -> None:
        if receiver in self.down:
            return
        if receiver in self.frozen:
            self._held.setdefault(receiver, []).append((sender, body))
            return
        sends = self.nodes[receiver].on_message(self.now, sender, body)
        self.send(receiver, sends)

    def _size(self, sender: VmId, body: Body) -> int:
        wall = int(self.now * 1e9)
        process = self._process[sender]
        envelope = Envelope(FleetId("oleander"), process, wall, 0, body)
        return len(encode(envelope))
