"""Streams that callers take up at a VM that is out of step with the others.

An upstream of a second version has joined; its streams began at other VMs.
"""

import asyncio
from types import SimpleNamespace

import pytest
from storereaders import at
from upstreams import make_upstream

from oleandershift.arrivals import ArrivalClock
from oleandershift.demand import DemandMeter
from oleandershift.digests import Digest, Scope
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, Incarnation, Seq, SoftwareVersion, VmId
from oleandershift.io import takeups
from oleandershift.io.takeups import TakeUps
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.state import FleetState
from oleandershift.streamversions import MEMORY_SECONDS, stream_key
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

LOCAL, REMOTE = DataCentreId("here"), DataCentreId("there")
VERSION = SoftwareVersion("v1")
REVISION = 10
INTERVAL_SECONDS = 0.2


class OutOfStepVm:
    """A VM that has known one version for long, and what it hears of others."""

    def __init__(self, clock):
        self.clock = clock
        self._seq = 0
        self.peers = PeerTable(VmId("vm"), LOCAL)
        self.view = FleetView()
        self.state = FleetState(
            self.peers, self.view, LoadTracker(10.0), DemandMeter(4.0)
        )
        peer = Peer(VmId("vm"), LOCAL, Address("vm", 1))
        self.exchange = DigestExchange(peer, Incarnation(1), self.state)
        self.asked = []
        upstream = make_upstream()
        self.service = upstream.service
        self.view.directory.replace(
            clock.instant, at(REVISION), [(at(REVISION), upstream)]
        )
        versions = self.state.stream_versions
        versions.inherit([])
        for instant in (clock.instant, clock.instant + MEMORY_SECONDS):
            versions.observe(instant, {self.service: frozenset({VERSION})})
        clock.instant += MEMORY_SECONDS
        self.arrivals = ArrivalClock(clock.instant)
        self.take_ups = TakeUps(self.state, self.arrivals, self._ask)
        self.read_store()

    async def _ask(self, key):
        self.asked.append(key)

    def read_store(self):
        """Get an answer of the store without changes."""
        self.arrivals.tick(self.clock.instant)
        self.view.freshness.on_read(self.clock.instant, self.clock.instant)

    def hear(self, name="other", data_centre=LOCAL, revision=REVISION, age_s=0.1):
        """Receive a digest of a VM that reads the store."""
        self._seq += 1
        is_local = data_centre == LOCAL
        digest = Digest(
            VmId(name),
            data_centre,
            Incarnation(1),
            Seq(self._seq),
            Scope.VM if is_local else Scope.DATA_CENTRE,
            1,
            0,
            revision,
            name,
            1,
            (),
            (),
            reads_store=True,
            read_age_ms=round(age_s * 1000),
        )
        self.exchange.receive(self.clock.instant, digest)

    def pass_time(self, seconds, **heard):
        """Let time pass in which one VM is heard, if its digest is given."""
        for _ in range(round(seconds / INTERVAL_SECONDS)):
            self.clock.instant += INTERVAL_SECONDS
            self.arrivals.tick(self.clock.instant)
            if heard:
                self.hear(**heard)

    def take_up(self):
        """Return the version at which an unknown stream goes on here."""
        call = SimpleNamespace(
            resumes="a1",
            stream_key=stream_key(None, self.service, "a1"),
            service=SimpleNamespace(name=self.service),
        )
        return asyncio.run(self.take_ups.find_version(call))


@pytest.fixture
def vm(clock, monkeypatch):
    monkeypatch.setattr(takeups, "now", clock)
    return OutOfStepVm(clock)


def test_stream_goes_on_at_the_only_version(vm):
    assert vm.take_up() == VERSION
    assert vm.asked == []


def test_follower_in_step_needs_not_ask(vm):
    vm.pass_time(6.0, name="hub", age_s=1.0)
    assert vm.take_up() == VERSION
    assert vm.asked == []


def test_stream_is_not_joined_by_a_vm_whose_data_centre_is_cut_off(vm):
    """Other VMs of its data centre are heard, but none of them reads the store."""
    vm.hear("far", REMOTE)
    for _ in range(15):
        vm.pass_time(INTERVAL_SECONDS, name="beside", age_s=3.0)
    assert vm.take_up() is None
    assert len(vm.asked) == 1


def test_stream_is_not_joined_by_a_vm_whose_watch_hangs(vm):
    vm.hear()
    vm.view.reads_store = True
    vm.pass_time(2.0)
    assert vm.take_up() is None


def test_stream_is_not_joined_by_a_vm_that_has_yet_to_read_a_change(vm):
    vm.hear("hub", revision=REVISION + 1)
    assert vm.take_up() is None


def test_stream_is_not_joined_by_a_vm_that_stood_still(vm):
    """Digests that arrived meanwhile say nothing of now."""
    vm.hear()
    vm.clock.instant += 3.0
    vm.hear()
    assert vm.take_up() is None
    for _ in range(3):
        vm.arrivals.tick(vm.clock.instant)
        vm.take_ups.on_tick(vm.clock.instant)
        vm.clock.instant += 0.1
    assert vm.take_up() is None
    vm.hear()
    assert vm.take_up() == VERSION


def test_stream_goes_on_while_the_store_is_out_and_all_vms_are_heard(vm):
    vm.pass_time(6.0, age_s=6.0)
    assert vm.take_up() == VERSION


def test_vm_that_learns_of_no_other_version_is_current_again(vm):
    vm.pass_time(3.0)
    assert vm.take_up() is None
    vm.hear("hub")
    assert vm.take_up() == VERSION
