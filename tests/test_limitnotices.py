"""Tests of the notices by which VMs share what they know of upstreams' limits."""

import pytest
from hypothesis import given, strategies as st
from upstreams import make_upstream

from oleandershift.allowances import LIMIT_TTL_SECONDS, NEED_TTL_SECONDS, Allowances
from oleandershift.digests import (
    Digest,
    LimitEntry,
    LimitNotice,
    Scope,
    ServiceNeed,
    decode_datagram,
    encode,
)
from oleandershift.hashing import ranked
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    ServiceId,
    UpstreamId,
    VmId,
)
from oleandershift.limitnotices import (
    MAX_ENTRIES,
    NOTICE_INTERVAL_SECONDS,
    LimitExchange,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.vmsettings import Address

MAX_PACKET_BYTES = 1472
UPSTREAM = make_upstream("u1")
RUN, SERVICE = UPSTREAM.run, UPSTREAM.service
SIZES = {DataCentreId("here"): 3, DataCentreId("there"): 2, DataCentreId("yonder"): 1}


class Vm:
    """A VM's peers, allowances and exchange of notices."""

    def __init__(self, name, data_centre):
        self.peer = Peer(VmId(name), data_centre, Address(name, 1))
        self.table = PeerTable(self.peer.vm, data_centre)
        self.allowances = Allowances(self.peer.vm, data_centre, self.table.fleet)
        self.exchange = LimitExchange(self.peer, self.table, self.allowances)


class Fleet:
    """VMs of several data centres that exchange digests and notices at once."""

    def __init__(self):
        self.now = 0.0
        self.seq = 0
        self.vms = {
            vm.peer.vm: vm
            for data_centre, size in SIZES.items()
            for vm in (Vm(f"{data_centre}-{n}", data_centre) for n in range(size))
        }
        self.lost = set()
        self.sent = 0

    def members(self, data_centre):
        """Return the live VMs of a data centre, its hub first."""
        found = [
            vm
            for vm in self.vms.values()
            if vm.peer.data_centre == data_centre and vm.peer.vm not in self.lost
        ]
        return ranked(data_centre, found, lambda vm: vm.peer.vm)

    def run(self, seconds, needs=None):
        """Let time pass; each VM needs a service at a rate, if one is given."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self._send_digests()
            for name, rate in (needs or {}).items():
                for _ in range(round(rate * 0.1)):
                    self.vms[name].allowances.record_need(self.now, SERVICE)
            for vm in self.vms.values():
                if vm.peer.vm in self.lost:
                    continue
                for item in vm.exchange.next_notices(self.now):
                    self._deliver(item)

    def _deliver(self, item):
        notice = decode_datagram(encode(item.message)).unwrap()
        for peer in item.peers:
            self.sent += 1
            if peer.vm not in self.lost:
                self.vms[peer.vm].exchange.receive(self.now, notice)

    def _send_digests(self):
        self.seq += 1
        for data_centre in SIZES:
            members = self.members(data_centre)
            for vm in members:
                self._merge(vm, Scope.VM, 1, members)
            if members:
                self._merge(
                    members[0], Scope.DATA_CENTRE, len(members), self.vms.values()
                )

    def _merge(self, sender, scope, vms, receivers):
        digest = Digest(
            vm=sender.peer.vm,
            data_centre=sender.peer.data_centre,
            incarnation=Incarnation(1),
            seq=Seq(self.seq),
            scope=scope,
            vms=vms,
            configuration=1,
            revision=1,
            host=sender.peer.address.host,
            port=1,
            work=(),
            demand=(),
        )
        for vm in receivers:
            if vm.peer.vm not in self.lost:
                vm.table.merge(self.now, digest)

    def parts(self):
        """Return the fraction of the limit that each live VM uses."""
        return {
            name: vm.allowances._part(self.now, UPSTREAM, 20.0)
            for name, vm in self.vms.items()
            if name not in self.lost
        }


@pytest.fixture
def fleet():
    created = Fleet()
    created.run(0.5)
    return created


def test_nothing_is_sent_while_no_upstream_has_a_limit(fleet):
    fleet.run(5.0, {"here-0": 20.0})
    assert fleet.sent == 0


@pytest.mark.parametrize("informant", ["here-0", "here-1", "there-1", "yonder-0"])
def test_limit_that_one_vm_has_heard_is_known_to_all(fleet, informant):
    fleet.vms[informant].allowances.on_answer(fleet.now, RUN, 5.0, fleet.now)
    fleet.run(1.0)
    for vm in fleet.vms.values():
        assert vm.allowances.limit(fleet.now, RUN) == 5.0


@pytest.mark.parametrize("informant", ["here-0", "here-1", "there-1", "yonder-0"])
def test_end_of_a_limit_that_one_vm_has_heard_is_known_to_all(fleet, informant):
    for vm in fleet.vms.values():
        vm.allowances.on_answer(fleet.now, RUN, 5.0, fleet.now)
    fleet.run(1.0)
    fleet.vms[informant].allowances.on_answer(fleet.now, RUN, None, fleet.now)
    fleet.run(1.0)
    for vm in fleet.vms.values():
        assert vm.allowances.limit(fleet.now, RUN) is None


def test_limit_is_forgotten_after_its_last_word(fleet):
    """Notices repeat a limit with its age, so they can't keep it alive."""
    fleet.vms["here-1"].allowances.on_answer(fleet.now, RUN, 5.0, fleet.now)
    fleet.run(LIMIT_TTL_SECONDS + 1.0)
    for vm in fleet.vms.values():
        assert vm.allowances.limit(fleet.now, RUN) is None


def test_parts_follow_the_need_and_add_up(fleet):
    fleet.vms["here-1"].allowances.on_answer(fleet.now, RUN, 20.0, fleet.now)
    needs = {"here-0": 40.0, "here-1": 10.0, "there-0": 20.0, "yonder-0": 10.0}
    fleet.run(8.0, needs)
    parts = fleet.parts()
    assert sum(parts.values()) == pytest.approx(1.0, abs=0.15)
    assert parts["here-0"] == pytest.approx(0.5, abs=0.1)
    assert parts["there-0"] == pytest.approx(0.25, abs=0.1)
    assert parts["there-1"] < 0.05


@pytest.mark.parametrize("rank", [0, 1])
def test_part_of_a_lost_vm_returns_after_a_while(fleet, rank):
    others = [vm.peer.vm for vm in fleet.members(DataCentreId("here"))]
    lost = others.pop(rank)
    fleet.vms["there-0"].allowances.on_answer(fleet.now, RUN, 20.0, fleet.now)
    needs = dict.fromkeys([lost, *others], 20.0)
    fleet.run(6.0, needs)
    fleet.lost.add(lost)
    del needs[lost]
    fleet.run(2.0, needs)
    assert sum(fleet.parts().values()) <= 1.35
    fleet.run(NEED_TTL_SECONDS + 1.0, needs)
    assert sum(fleet.parts().values()) == pytest.approx(1.0, abs=0.15)


def test_largest_notice_fits_into_a_packet():
    name = "x" * 12
    entry = LimitEntry(UpstreamId(name), 2**41, 1_000_000_000, 30_000)
    need = ServiceNeed(ServiceId(name), 1_000_000)
    notice = LimitNotice(
        VmId("x" * 20),
        DataCentreId(name),
        Scope.FLEET,
        MAX_ENTRIES * (entry,),
        MAX_ENTRIES * (need,),
    )
    assert len(encode(notice)) <= MAX_PACKET_BYTES


@given(
    thousandths=st.integers(-(2**63), 2**63 - 1),
    age_ms=st.integers(-(2**63), 2**63 - 1),
)
def test_odd_values_of_a_notice_do_no_harm(thousandths, age_ms):
    vm = Vm("vm", DataCentreId("here"))
    entry = LimitEntry(RUN.upstream, RUN.incarnation, thousandths, age_ms)
    notice = LimitNotice(
        VmId("other"),
        DataCentreId("here"),
        Scope.VM,
        (entry,),
        (ServiceNeed(SERVICE, thousandths),),
    )
    vm.exchange.receive(100.0, notice)
    assert vm.allowances.wait_s(100.0, UPSTREAM) >= 0.0
    for item in vm.exchange.next_notices(100.0 + NOTICE_INTERVAL_SECONDS):
        encode(item.message)
