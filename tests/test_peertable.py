"""Neighbours: whose digests count, and who speaks for a data centre."""

import pytest

from oleandershift.demand import TeamRate
from oleandershift.digests import Digest, Scope, TeamDemand, UpstreamWork
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.peertable import DIGEST_TTL_SECONDS, Peer, PeerTable
from oleandershift.vmsettings import Address

HERE, THERE = DataCentreId("here"), DataCentreId("there")
PORT = 7400


def address(number):
    return Address(f"10.0.0.{number}", PORT)


def make_digest(vm, centre=HERE, seq=1, scope=Scope.VM, **fields):
    values = {
        "vms": 1,
        "configuration": 1,
        "revision": 1,
        "work": (UpstreamWork(UpstreamId("u"), 2, 100, 300),),
        "demand": (TeamDemand(TeamId("t"), 50, 40),),
        **fields,
    }
    return Digest(
        vm=VmId(vm),
        data_centre=centre,
        incarnation=Incarnation(1),
        seq=Seq(seq),
        scope=scope,
        host="10.0.0.9",
        port=PORT,
        **values,
    )


@pytest.fixture
def neighbours():
    return PeerTable(VmId("me"), HERE)


def test_work_of_others_is_summed(neighbours):
    neighbours.merge(0.0, make_digest("a"))
    neighbours.merge(0.0, make_digest("x", THERE, scope=Scope.DATA_CENTRE))
    load = neighbours.remote_loads(0.1)[UpstreamId("u")]
    assert (load.running, load.prefill_tokens, load.kv_tokens) == (4, 200, 600)


def test_silent_vm_no_longer_counts(neighbours):
    neighbours.merge(0.0, make_digest("a"))
    assert neighbours.remote_loads(DIGEST_TTL_SECONDS + 0.01) == {}


def test_older_digest_does_not_replace_a_newer(neighbours):
    neighbours.merge(0.0, make_digest("a", seq=5, work=()))
    neighbours.merge(0.1, make_digest("a", seq=4))
    assert neighbours.remote_loads(0.1) == {}


def test_digest_of_this_vm_is_left_aside(neighbours):
    neighbours.merge(0.0, make_digest("me"))
    assert neighbours.remote_loads(0.0) == {}


def test_one_hub_in_a_data_centre():
    names = ["a", "b", "c", "d"]
    views = {name: PeerTable(VmId(name), HERE) for name in names}
    for name, view in views.items():
        for other in names:
            if other != name:
                view.merge(0.0, make_digest(other))
    assert sum(view.is_hub(0.1) for view in views.values()) == 1


def test_next_vm_becomes_hub_when_the_hub_is_silent():
    names = ["a", "b", "c"]
    views = {name: PeerTable(VmId(name), HERE) for name in names}
    for name, view in views.items():
        for other in names:
            if other != name:
                view.merge(0.0, make_digest(other))
    hub = next(name for name, view in views.items() if view.is_hub(0.1))
    rest = [view for name, view in views.items() if name != hub]
    for view in rest:
        for other in names:
            if other != hub:
                view.merge(1.0, make_digest(other, seq=2))
    assert sum(view.is_hub(1.1) for view in rest) == 1


def test_registered_vm_is_told_before_it_was_heard(neighbours):
    neighbours.add_registered(0.0, [Peer(VmId("x"), THERE, address(3))])
    assert [peer.vm for peer in neighbours.remote_hubs(0.0, all_members=True)] == ["x"]
    assert neighbours.remote_hubs(0.0, all_members=False) == []


def test_known_hub_alone_is_told(neighbours):
    neighbours.add_registered(
        0.0,
        [Peer(VmId("x"), THERE, address(3)), Peer(VmId("y"), THERE, address(4))],
    )
    neighbours.merge(0.0, make_digest("y", THERE, scope=Scope.DATA_CENTRE))
    assert [peer.vm for peer in neighbours.remote_hubs(0.1, all_members=True)] == ["y"]


def test_vm_that_read_more_of_the_store_is_found(neighbours):
    neighbours.merge(0.0, make_digest("a", configuration=7))
    assert neighbours.fresher_peer(0.1, 7, 1) is None
    assert neighbours.fresher_peer(0.1, 6, 1).vm == "a"


def test_demand_is_summed_over_vms(neighbours):
    neighbours.merge(0.0, make_digest("a"))
    own = {TeamId("t"): TeamRate(25.0, 5.0)}
    assert neighbours.team_rates(0.1, own) == {"t": TeamRate(75.0, 45.0)}
    assert neighbours.data_centre_summary(0.1, (), own).demand == (
        TeamDemand(TeamId("t"), 75, 45),
    )


def test_vms_are_counted(neighbours):
    neighbours.merge(0.0, make_digest("a"))
    remote = make_digest("x", THERE, scope=Scope.DATA_CENTRE, vms=3)
    neighbours.merge(0.0, remote)
    assert neighbours.live_count(0.1) == 5


def test_hub_is_known_by_its_digest_before_its_registration_is_read(neighbours):
    """Registrations are read while others still register."""
    neighbours.merge(0.0, make_digest("x", THERE, scope=Scope.DATA_CENTRE))
    told = neighbours.remote_hubs(0.1, all_members=False)
    assert [(peer.vm, peer.address.host) for peer in told] == [("x", "10.0.0.9")]
