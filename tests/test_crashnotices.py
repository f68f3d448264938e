"""Exchange of notices about prompt parts between VMs of several data centres."""

import random

import pytest
from returns.result import Failure

from oleandershift.crashnotices import REFRESH_SECONDS, REPEATS, NoticeExchange
from oleandershift.demand import DemandMeter
from oleandershift.digests import CrashNotice, decode_datagram, encode
from oleandershift.directory import UpstreamRun
from oleandershift.fleetview import FleetView
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    PromptPartId,
    UpstreamId,
    VmId,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.quarantine import PromptQuarantine, QuarantineLimits
from oleandershift.state import FleetState
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

TICK_SECONDS = 0.1
LOSS = 0.3
CONTACT_SECONDS = 4.0
"""Time in which all VMs must have learned of a part (`contactMs`)."""

BAD = Prompt(
    20,
    10,
    10,
    (PrefixPart(PromptPartId("bad"), 10), PrefixPart(PromptPartId("own"), 10)),
)


class Vm:
    """Decision objects of one VM."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.peer = Peer(VmId(name), DataCentreId(data_centre), Address(name, 1))
        self.table = PeerTable(self.peer.vm, self.peer.data_centre)
        self.quarantine = PromptQuarantine(QuarantineLimits(), random.Random(name))
        self.exchange = NoticeExchange(self.peer.vm, self.table, self.quarantine)
        self.sent = 0
        state = FleetState(self.table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
        self.digests = DigestExchange(self.peer, Incarnation(1), state)

    def rejects(self, now: float) -> bool:
        """Return whether requests with the part are rejected."""
        return self.quarantine.rejected_part(now, BAD) is not None


class Fleet:
    """VMs that exchange digests and notices; some datagrams are lost."""

    def __init__(self, data_centres: int, vms: int) -> None:
        self.vms = [
            Vm(f"vm-{centre}-{number}", f"dc-{centre}")
            for centre in range(data_centres)
            for number in range(vms)
        ]
        self._by_name = {vm.peer.vm: vm for vm in self.vms}
        self._rng = random.Random(1)
        self.now = 0.0

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_SECONDS
            for vm in self.vms:
                self._send_digests(vm)
                vm.quarantine.update(self.now)
                addressed = vm.exchange.next_notice(self.now)
                if addressed is not None:
                    vm.sent += len(addressed.peers)
                    notice = decode_datagram(encode(addressed.notice)).unwrap()
                    for peer in addressed.peers:
                        if self._rng.random() >= LOSS:
                            other = self._by_name[peer.vm]
                            other.exchange.receive(self.now, notice)

    def crash(self, vm: Vm, name: str) -> None:
        """Let a VM find out that an upstream crashed under the part."""
        run = UpstreamRun(UpstreamId(name), 1)
        vm.quarantine.on_broken(self.now, run, BAD, "a")
        vm.quarantine.confirm(self.now, lambda gone: True)

    def _send_digests(self, vm: Vm) -> None:
        for addressed in vm.digests.next_digests(self.now):
            for peer in addressed.peers:
                forward_to = self._by_name[peer.vm].digests.receive(
                    self.now, addressed.digest
                )
                for local in forward_to:
                    self._by_name[local.vm].digests.receive(self.now, addressed.digest)

    def start(self) -> None:
        """Register all VMs with each other and let them find their hubs."""
        for vm in self.vms:
            vm.table.add_registered(0.0, [other.peer for other in self.vms])
        self.run(2.0)


@pytest.fixture
def fleet():
    started = Fleet(data_centres=3, vms=4)
    started.start()
    return started


def crash_thrice(fleet):
    """Let VMs of different data centres see three crashes."""
    for number in (0, 5, 10):
        fleet.crash(fleet.vms[number], f"e{number}")
        fleet.run(1.0)


def test_all_vms_block_a_part_whose_crashes_each_saw_once(fleet):
    crash_thrice(fleet)
    fleet.run(CONTACT_SECONDS)
    assert all(vm.rejects(fleet.now) for vm in fleet.vms)


def test_answer_seen_by_one_vm_releases_a_part_everywhere(fleet):
    crash_thrice(fleet)
    fleet.vms[3].quarantine.on_answer(fleet.now, BAD)
    fleet.run(CONTACT_SECONDS)
    assert not any(vm.rejects(fleet.now) for vm in fleet.vms)


def test_vm_that_starts_after_the_crashes_learns_the_block(fleet):
    crash_thrice(fleet)
    started = fleet.vms[7]
    started.quarantine = PromptQuarantine(QuarantineLimits(), random.Random(2))
    started.exchange = NoticeExchange(
        started.peer.vm, started.table, started.quarantine
    )
    fleet.run(4 * REFRESH_SECONDS)
    assert started.rejects(fleet.now)


def test_nothing_is_sent_without_a_crash(fleet):
    fleet.run(10.0)
    assert sum(vm.sent for vm in fleet.vms) == 0


def test_only_hubs_repeat_what_is_known(fleet):
    crash_thrice(fleet)
    fleet.run(REPEATS * 0.5)
    before = {vm.peer.vm: vm.sent for vm in fleet.vms}
    fleet.run(10 * REFRESH_SECONDS)
    senders = [vm for vm in fleet.vms if vm.sent > before[vm.peer.vm]]
    assert len(senders) == 3
    assert all(vm.table.is_hub(fleet.now) for vm in senders)


def test_damaged_notice_is_rejected():
    data = encode(CrashNotice(VmId("vm"), ()))
    assert decode_datagram(data).unwrap() == CrashNotice(VmId("vm"), ())
    for length in range(len(data)):
        assert isinstance(decode_datagram(data[:length]), Failure)
