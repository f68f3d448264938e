"""Exchange of notices about suspects between VMs of several data centres."""

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
    Fingerprint,
    Incarnation,
    UpstreamId,
    VmId,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.quarantine import BrokenExchange, Quarantine, QuarantineLimits
from oleandershift.state import FleetState
from oleandershift.suspects import RequestSuspects
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

TICK_SECONDS = 0.1
LOSS = 0.3
CONTACT_SECONDS = 4.0
"""Time in which all VMs must have learned of a request (`contactMs`)."""

BAD = RequestSuspects(None, lambda: Fingerprint("bad"))


class Vm:
    """Decision objects of one VM."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.peer = Peer(VmId(name), DataCentreId(data_centre), Address(name, 1))
        self.table = PeerTable(self.peer.vm, self.peer.data_centre)
        self.quarantine = Quarantine(QuarantineLimits(), self.table.rank)
        self.exchange = NoticeExchange(self.peer.vm, self.table, self.quarantine)
        self.sent = 0
        state = FleetState(self.table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
        self.digests = DigestExchange(self.peer, Incarnation(1), state)

    def rejects(self, now: float) -> bool:
        """Return whether the request is rejected."""
        return self.quarantine.rejected(now, BAD) is not None


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

    def stop(self, vm: Vm) -> None:
        """Let a VM end."""
        self.vms.remove(vm)

    def replace(self, vm: Vm) -> Vm:
        """Let the process of a VM start again, without its memory."""
        started = Vm(vm.peer.vm, vm.peer.data_centre)
        started.table.add_registered(self.now, [other.peer for other in self.vms])
        self.vms[self.vms.index(vm)] = started
        self._by_name[vm.peer.vm] = started
        return started

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
                    notice = decode_datagram(encode(addressed.message)).unwrap()
                    for peer in addressed.peers:
                        if self._is_up(peer) and self._rng.random() >= LOSS:
                            other = self._by_name[peer.vm]
                            other.exchange.receive(self.now, notice)

    def crash(self, vm: Vm, name: str) -> None:
        """Let a VM find out that an upstream crashed under the request."""
        run = UpstreamRun(UpstreamId(name), 1)
        exchange = BrokenExchange(run, BAD.all(), "a", self.now - 0.05, self.now)
        vm.quarantine.on_broken(exchange)
        vm.quarantine.confirm(self.now, lambda gone: True)

    def _is_up(self, peer: Peer) -> bool:
        return self._by_name[peer.vm] in self.vms

    def _send_digests(self, vm: Vm) -> None:
        for addressed in vm.digests.next_digests(self.now):
            for peer in filter(self._is_up, addressed.peers):
                forward_to = self._by_name[peer.vm].digests.receive(
                    self.now, addressed.message
                )
                for local in filter(self._is_up, forward_to):
                    self._by_name[local.vm].digests.receive(self.now, addressed.message)

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


def test_all_vms_block_a_request_whose_crashes_each_saw_once(fleet):
    crash_thrice(fleet)
    fleet.run(CONTACT_SECONDS)
    assert all(vm.rejects(fleet.now) for vm in fleet.vms)


LARGE = [(3, 2), (6, 14)]
"""Data centres and VMs of each, for the times of the longest path."""


@pytest.mark.parametrize(("data_centres", "vms"), LARGE)
def test_third_crash_blocks_a_request_on_each_vm_in_time(data_centres, vms):
    """A hub ends at the third crash, and a VM starts between the crashes."""
    fleet = Fleet(data_centres, vms)
    fleet.start()
    fleet.crash(fleet.vms[0], "e1")
    fleet.run(1.0)
    fleet.crash(fleet.vms[-1], "e2")
    fleet.run(0.1)
    started = fleet.replace(next(vm for vm in fleet.vms if not is_hub(fleet, vm)))
    fleet.run(CONTACT_SECONDS)
    fleet.crash(next(vm for vm in fleet.vms if not is_hub(fleet, vm)), "e3")
    fleet.stop(next(vm for vm in fleet.vms if is_hub(fleet, vm)))
    fleet.run(CONTACT_SECONDS)
    assert started in fleet.vms
    assert all(vm.rejects(fleet.now) for vm in fleet.vms)


@pytest.mark.parametrize(("data_centres", "vms"), LARGE)
def test_one_vm_of_all_probes_first(data_centres, vms):
    fleet = Fleet(data_centres, vms)
    fleet.start()
    for subject in ("a", "b", "c", "d"):
        ranks = [vm.table.rank(fleet.now, subject) for vm in fleet.vms]
        assert ranks.count(0) == 1
        assert max(ranks) < max(data_centres, vms)


def is_hub(fleet, vm):
    return vm.table.is_hub(fleet.now)


def test_answer_seen_by_one_vm_releases_a_request_everywhere(fleet):
    crash_thrice(fleet)
    fleet.vms[3].quarantine.on_answer(fleet.now, BAD)
    fleet.run(CONTACT_SECONDS)
    assert not any(vm.rejects(fleet.now) for vm in fleet.vms)


def test_vm_that_starts_after_the_crashes_learns_the_block(fleet):
    crash_thrice(fleet)
    started = fleet.vms[7]
    started.quarantine = Quarantine(QuarantineLimits(), started.table.rank)
    started.exchange = NoticeExchange(
        started.peer.vm, started.table, started.quarantine
    )
    fleet.run(CONTACT_SECONDS)
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
