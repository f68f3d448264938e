"""Telling: what digests hold, whom they go to, and when they are urgent."""

import pytest

from oleandershift.demand import DemandMeter
from oleandershift.digestexchange import (
    HUB_DISCOVERY_INTERVAL_DIGESTS,
    URGENT_CHANGE_TOKENS,
    DigestExchange,
)
from oleandershift.digests import Digest, Scope
from oleandershift.directory import Upstream, UpstreamState
from oleandershift.fleetstate import FleetState
from oleandershift.fleetview import FleetView
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    ServiceId,
    UpstreamId,
    VmId,
)
from oleandershift.peertable import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.vmsettings import Address

HERE, THERE = DataCentreId("here"), DataCentreId("there")


def make_peer(name, centre=HERE):
    return Peer(VmId(name), centre, Address(name, 1))


def make_teller(name, *peers):
    own = make_peer(name)
    neighbours = PeerTable(own.vm, own.data_centre)
    state = FleetState(neighbours, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
    state.peers.add_registered(0.0, peers)
    return DigestExchange(own, Incarnation(1), state), state


def make_upstream():
    return Upstream(
        name=UpstreamId("e1"),
        incarnation=1,
        service=ServiceId("model"),
        host="127.0.0.1",
        port=1,
        data_centre=HERE,
        slots=8,
        state=UpstreamState.READY,
    )


def make_prompt(tokens):
    return Prompt(tokens, 10, 10, (PrefixPart("own", tokens),))


def sum_of(centre, vm, seq=1):
    return Digest(
        vm=VmId(vm),
        data_centre=centre,
        incarnation=Incarnation(1),
        seq=Seq(seq),
        scope=Scope.DATA_CENTRE,
        vms=1,
        configuration=1,
        revision=1,
        host=vm,
        port=1,
        work=(),
        demand=(),
    )


@pytest.fixture
def alone():
    return make_teller("a", make_peer("b"), make_peer("x", THERE))


def test_work_reaches_the_vms_of_the_data_centre(alone):
    teller, state = alone
    state.loads.begin(0.0, make_upstream(), make_prompt(100))
    notice = teller.next_digests(0.0)[0]
    assert [peer.vm for peer in notice.peers] == ["b"]
    assert notice.digest.scope is Scope.VM
    assert [(w.upstream, w.running, w.prefill_tokens) for w in notice.digest.work] == [
        ("e1", 1, 100)
    ]


def test_hub_tells_the_hub_of_another_data_centre(alone):
    teller, _ = alone
    teller.receive(0.0, sum_of(THERE, "x"))
    notices = teller.next_digests(0.0)
    assert [notice.digest.scope for notice in notices] == [Scope.VM, Scope.DATA_CENTRE]
    assert [peer.vm for peer in notices[1].peers] == ["x"]


def test_unknown_hub_is_searched_now_and_then(alone):
    teller, _ = alone
    told = [
        len(teller.next_digests(0.0)[1].peers)
        for _ in range(2 * HUB_DISCOVERY_INTERVAL_DIGESTS)
    ]
    assert sum(told) == 2


def test_hub_passes_on_the_sum_of_another_data_centre(alone):
    teller, _ = alone
    assert [peer.vm for peer in teller.receive(0.0, sum_of(THERE, "x"))] == ["b"]
    assert teller.receive(0.0, sum_of(THERE, "x")) == []


def test_long_prompt_is_urgent_until_it_is_told(alone):
    teller, state = alone
    assert not teller.is_urgent(0.0)
    state.loads.begin(0.0, make_upstream(), make_prompt(URGENT_CHANGE_TOKENS))
    assert teller.is_urgent(0.0)
    teller.next_digests(0.0)
    assert not teller.is_urgent(0.0)


def test_digests_are_numbered(alone):
    teller, _ = alone
    assert [teller.next_digests(0.0)[0].digest.seq for _ in range(3)] == [1, 2, 3]
