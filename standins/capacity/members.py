"""Cost of membership against the number of members."""

import heapq
import random
import time

from oleandershift.dispatch import Send
from oleandershift.ids import FleetId, Incarnation, Seq, VmId
from oleandershift.membership import (
    MAX_SYNC_INTERVAL_SECONDS,
    Membership,
    agent_address,
)
from oleandershift.messages import (
    Envelope,
    MembersView,
    ProcessId,
    Role,
    decode,
    encode,
)
from standins.capacity.measure import Report
from standins.capacity.samples import NOW, make_member

SIZES = (9, 90, 770)
TICK_SECONDS = 0.1
SETTLE_SECONDS = 3.0
MEASURED_SECONDS = 5.0
NETWORK_DELAY_SECONDS = 0.01
SEED = 6


class _Loop:
    """Membership objects that all know each other, on virtual time."""

    def __init__(self, size: int) -> None:
        members = tuple(make_member(number) for number in range(size))
        self.now = NOW
        self.probe_bytes = 0
        self.view_bytes = 0
        self.views = 0
        self.messages = 0
        self._queue: list[tuple[float, int, VmId, bytes]] = []
        self._vm_of = {agent_address(member): member.vm for member in members}
        self.objects = {
            member.vm: Membership(member, [], SEED + number)
            for number, member in enumerate(members)
        }
        rng = random.Random(SEED)
        self._start = {vm: NOW + rng.uniform(0, 0.5) for vm in self.objects}
        view = MembersView(Seq(1), members)
        for vm, held in self.objects.items():
            self._send(vm, held.on_message(NOW, members[0].vm, view))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            while self._queue and self._queue[0][0] <= self.now:
                at, _, vm, data = heapq.heappop(self._queue)
                envelope = decode(data)
                held = self.objects[vm]
                self._send(vm, held.on_message(at, envelope.sender.vm, envelope.body))
            for vm, held in self.objects.items():
                if self.now >= self._start[vm]:
                    self._send(vm, held.on_tick(self.now))

    def reset(self) -> None:
        """Forget what was counted."""
        self.probe_bytes = self.view_bytes = self.views = self.messages = 0

    def _send(self, vm: VmId, sends: list[Send]) -> None:
        sender = ProcessId(vm, Role.AGENT, Incarnation(1))
        for send in sends:
            data = encode(
                Envelope(
                    FleetId("oleander"),
                    sender,
                    int(self.now * 1e9),
                    0,
                    send.body,
                )
            )
            self.messages += 1
            if isinstance(send.body, MembersView):
                self.views += 1
                self.view_bytes += len(data)
            else:
                self.probe_bytes += len(data)
            target = self._vm_of.get(send.address)
            if target is not None:
                entry = (self.now + NETWORK_DELAY_SECONDS, self.messages, target, data)
                heapq.heappush(self._queue, entry)


def measure(report: Report) -> None:
    """Measure bytes, messages and processor time a VM against members."""
    report.begin_section("membership")
    for size in SIZES:
        loop = _Loop(size)
        loop.run(SETTLE_SECONDS)
        loop.reset()
        before = time.process_time()
        loop.run(MEASURED_SECONDS)
        used = time.process_time() - before
        each = size * MEASURED_SECONDS
        alive = min(len(held.peers()) for held in loop.objects.values())
        report.add(f"members: {size}, least peers seen alive", alive, "VMs")
        probes = loop.probe_bytes / each
        view = loop.view_bytes / max(loop.views, 1)
        report.add(f"members: {size}, probes sent", probes, "B/s/VM")
        report.add(f"members: {size}, view of all members", view, "B")
        steady = probes + view / MAX_SYNC_INTERVAL_SECONDS
        report.add(f"members: {size}, sent long after the start", steady, "B/s/VM")
        report.add(f"members: {size}, messages", loop.messages / each, "1/s/VM")
        report.add(f"members: {size}, processor", 1e6 * used / each, "us/s/VM")
