"""Cost of membership as a function of the number of members."""

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
    """Membership objects on virtual time that all know each other from the start."""

    def __init__(self, size: int) -> None:
        members = tuple(make_member(number) for number in range(size))
        self.now = NOW
        self.probe_bytes = 0
        self.view_bytes = 0
        self.views = 0
        self.messages = 0
        self._in_flight: list[tuple[float, int, VmId, bytes]] = []
        self._vm_by_address = {agent_address(member): member.vm for member in members}
        self.objects = {
            member.vm: Membership(member, [], SEED + number)
            for number, member in enumerate(members)
        }
        rng = random.Random(SEED)
        self._first_tick_at = {vm: NOW + rng.uniform(0, 0.5) for vm in self.objects}
        view = MembersView(Seq(1), members)
        for vm, membership in self.objects.items():
            self._send(vm, membership.on_message(NOW, members[0].vm, view))

    def run(self, seconds: float) -> None:
        """Advance virtual time by at least `seconds`."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            while self._in_flight and self._in_flight[0][0] <= self.now:
                at, _, vm, data = heapq.heappop(self._in_flight)
                envelope = decode(data)
                membership = self.objects[vm]
                self._send(
                    vm, membership.on_message(at, envelope.sender.vm, envelope.body)
                )
            for vm, membership in self.objects.items():
                if self.now >= self._first_tick_at[vm]:
                    self._send(vm, membership.on_tick(self.now))

    def reset(self) -> None:
        """Reset all counters."""
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
            target = self._vm_by_address.get(send.address)
            if target is not None:
                entry = (self.now + NETWORK_DELAY_SECONDS, self.messages, target, data)
                heapq.heappush(self._in_flight, entry)


def measure(report: Report) -> None:
    """Measure bytes, messages and CPU time per VM for each number of members."""
    report.begin_section("membership")
    for size in SIZES:
        loop = _Loop(size)
        loop.run(SETTLE_SECONDS)
        loop.reset()
        before = time.process_time()
        loop.run(MEASURED_SECONDS)
        cpu_seconds = time.process_time() - before
        vm_seconds = size * MEASURED_SECONDS
        min_alive = min(len(membership.peers()) for membership in loop.objects.values())
        report.add(f"members: {size}, least peers seen alive", min_alive, "VMs")
        probe_rate = loop.probe_bytes / vm_seconds
        view_size = loop.view_bytes / max(loop.views, 1)
        report.add(f"members: {size}, probes sent", probe_rate, "B/s/VM")
        report.add(f"members: {size}, view of all members", view_size, "B")
        steady_rate = probe_rate + view_size / MAX_SYNC_INTERVAL_SECONDS
        report.add(f"members: {size}, sent long after the start", steady_rate, "B/s/VM")
        report.add(f"members: {size}, messages", loop.messages / vm_seconds, "1/s/VM")
        report.add(
            f"members: {size}, processor", 1e6 * cpu_seconds / vm_seconds, "us/s/VM"
        )
