"""Tests of the peer table: expiry and order of digests, sums, election of the hub."""

import pytest
from storereaders import at

from oleandershift.demand import TeamRate
from oleandershift.digests import Digest, Scope, TeamDemand, UpstreamWork
from oleandershift.directory import UpstreamRun
from oleandershift.hashing import ranked
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.neighbours import (
    DIGEST_TTL_SECONDS,
    READER_TTL_SECONDS,
    Peer,
    PeerTable,
    StoreRole,
)
from oleandershift.vmsettings import Address

LOCAL, REMOTE = DataCentreId("here"), DataCentreId("there")
PORT = 7400


def make_address(number):
    return Address(f"10.0.0.{number}", PORT)


def make_digest(vm, data_centre=LOCAL, seq=1, scope=Scope.VM, **fields):
    values = {
        "vms": 1,
        "configuration": 1,
        "revision": 1,
        "work": (UpstreamWork(UpstreamId("u"), 2, 100, 300),),
        "demand": (TeamDemand(TeamId("t"), 50, 40),),
        "incarnation": Incarnation(1),
        **fields,
    }
    return Digest(
        vm=VmId(vm),
        data_centre=data_centre,
        seq=Seq(seq),
        scope=scope,
        host="10.0.0.9",
        port=PORT,
        **values,
    )


@pytest.fixture
def table():
    return PeerTable(VmId("me"), LOCAL)


def test_remote_loads_sum_over_peers_and_data_centres(table):
    table.merge(0.0, make_digest("a"))
    table.merge(0.0, make_digest("x", REMOTE, scope=Scope.DATA_CENTRE))
    load = table.remote_loads(0.1)[UpstreamId("u")]
    assert (load.running, load.prefill_tokens, load.kv_tokens) == (4, 200, 600)


def test_expired_digest_is_ignored(table):
    table.merge(0.0, make_digest("a"))
    assert table.remote_loads(DIGEST_TTL_SECONDS + 0.01) == {}


def test_reordered_digest_does_not_replace_a_newer_one(table):
    table.merge(0.0, make_digest("a", seq=5, work=()))
    table.merge(0.1, make_digest("a", seq=4))
    assert table.remote_loads(0.1) == {}


def test_digest_of_this_vm_is_ignored(table):
    table.merge(0.0, make_digest("me"))
    assert table.remote_loads(0.0) == {}


def test_vms_of_a_data_centre_agree_on_one_hub():
    names = ["a", "b", "c", "d"]
    tables = {name: PeerTable(VmId(name), LOCAL) for name in names}
    for name, table in tables.items():
        for other in names:
            if other != name:
                table.merge(0.0, make_digest(other))
    assert sum(table.is_hub(0.1) for table in tables.values()) == 1


def test_next_vm_becomes_hub_when_the_digest_of_the_hub_expires():
    names = ["a", "b", "c"]
    tables = {name: PeerTable(VmId(name), LOCAL) for name in names}
    for name, table in tables.items():
        for other in names:
            if other != name:
                table.merge(0.0, make_digest(other))
    hub = next(name for name, table in tables.items() if table.is_hub(0.1))
    others = [table for name, table in tables.items() if name != hub]
    for table in others:
        for other in names:
            if other != hub:
                table.merge(1.0, make_digest(other, seq=2))
    assert sum(table.is_hub(1.1) for table in others) == 1


def test_registered_vm_without_a_digest_is_a_recipient_in_discovery_only(table):
    table.add_registered(0.0, [Peer(VmId("x"), REMOTE, make_address(3))])
    assert [peer.vm for peer in table.remote_hubs(0.0, all_members=True)] == ["x"]
    assert table.remote_hubs(0.0, all_members=False) == []


def test_known_hub_is_the_only_recipient_of_its_data_centre(table):
    table.add_registered(
        0.0,
        [
            Peer(VmId("x"), REMOTE, make_address(3)),
            Peer(VmId("y"), REMOTE, make_address(4)),
        ],
    )
    table.merge(0.0, make_digest("y", REMOTE, scope=Scope.DATA_CENTRE))
    assert [peer.vm for peer in table.remote_hubs(0.1, all_members=True)] == ["y"]


def test_fresher_peer_has_a_newer_configuration(table):
    table.merge(0.0, make_digest("a", configuration=7))
    assert table.fresher_peer(0.1, 7, at(1)) is None
    assert table.fresher_peer(0.1, 6, at(1)).vm == "a"


def test_team_rates_sum_over_vms(table):
    table.merge(0.0, make_digest("a"))
    own_rates = {TeamId("t"): TeamRate(25.0, 5.0)}
    assert table.team_rates(0.1, own_rates) == {"t": TeamRate(75.0, 45.0)}
    summary = table.data_centre_summary(0.1, {}, own_rates, frozenset(), frozenset())
    assert summary.parts[0].demand == (TeamDemand(TeamId("t"), 75, 45),)


def test_absent_upstreams_of_all_vms_are_known(table):
    local, remote = UpstreamRun(UpstreamId("u"), 1), UpstreamRun(UpstreamId("v"), 2)
    table.merge(0.0, make_digest("a", absent=(local,)))
    table.merge(
        0.0, make_digest("x", REMOTE, scope=Scope.DATA_CENTRE, absent=(remote,))
    )
    assert table.absent(0.1) == {local, remote}
    assert table.data_centre_absent(0.1, frozenset()) == {local}
    assert table.absent(DIGEST_TTL_SECONDS + 0.1) == frozenset()


def test_live_count_includes_vms_of_data_centre_digests(table):
    table.merge(0.0, make_digest("a"))
    remote = make_digest("x", REMOTE, scope=Scope.DATA_CENTRE, vms=3)
    table.merge(0.0, remote)
    assert table.live_count(0.1) == 5


def test_hub_is_known_from_its_digest_before_its_registration_is_read(table):
    """The list of registrations may be read before all VMs have registered."""
    table.merge(0.0, make_digest("x", REMOTE, scope=Scope.DATA_CENTRE))
    recipients = table.remote_hubs(0.1, all_members=False)
    assert [(peer.vm, peer.address.host) for peer in recipients] == [("x", "10.0.0.9")]


def by_rank(*names):
    return ranked(LOCAL, [VmId(name) for name in names], str)


def role_of(vm, *others, now=0.1, reader=None):
    table = PeerTable(vm, LOCAL)
    for name in others:
        table.merge(0.0, make_digest(name, reads_store=name == reader))
    return table.store_role(now)


def test_hub_and_its_successor_watch_the_store_and_others_follow():
    first, second, third, fourth = by_rank("a", "b", "c", "d")
    assert role_of(first, second, third, fourth) is StoreRole.HUB
    assert role_of(second, first, third, fourth, reader=first) is StoreRole.STANDBY
    assert role_of(third, first, second, fourth, reader=first) is StoreRole.FOLLOWER
    assert role_of(fourth, first, second, third, reader=second) is StoreRole.FOLLOWER


def test_follower_relies_on_a_reader_of_another_data_centre():
    first, second, third = by_rank("a", "b", "c")
    table = PeerTable(third, LOCAL)
    for name in (first, second):
        table.merge(5.0, make_digest(name))
    assert table.store_role(5.1) is StoreRole.STANDBY
    remote = make_digest("x", REMOTE, scope=Scope.DATA_CENTRE, reads_store=True)
    table.merge(5.1, remote)
    assert table.store_role(5.2) is StoreRole.FOLLOWER


def test_follower_watches_the_store_when_no_vm_reads_it():
    first, second, third = by_rank("a", "b", "c")
    table = PeerTable(third, LOCAL)
    table.merge(0.0, make_digest(first, reads_store=True))
    for seq in (2, 3, 4):
        now = seq * READER_TTL_SECONDS / 3
        for name in (first, second):
            table.merge(now, make_digest(name, seq=seq))
    assert table.store_role(READER_TTL_SECONDS) is StoreRole.FOLLOWER
    assert table.store_role(READER_TTL_SECONDS + 0.1) is StoreRole.STANDBY


def test_follower_takes_over_from_two_lost_readers():
    first, second, third = by_rank("a", "b", "c")
    assert (
        role_of(third, first, second, now=DIGEST_TTL_SECONDS + 0.1, reader=first)
        is StoreRole.HUB
    )


def test_vms_that_are_behind_spread_over_those_that_are_ahead():
    chosen = set()
    for number in range(40):
        table = PeerTable(VmId(f"vm{number}"), LOCAL)
        for name in ("a", "b", "c"):
            table.merge(0.0, make_digest(name, revision=7))
        chosen.add(table.fresher_peer(0.1, 1, at(1)).vm)
    assert chosen == {"a", "b", "c"}


def test_vm_that_starts_with_all_others_does_not_watch_the_store():
    first, second, third = by_rank("a", "b", "c")
    table = PeerTable(third, LOCAL, digests_known_at=1.0)
    registered = [Peer(name, LOCAL, make_address(1)) for name in (first, second)]
    table.add_registered(0.0, registered)
    assert table.store_role(0.5) is StoreRole.FOLLOWER
    assert table.store_role(1.0) is StoreRole.HUB


def test_vm_that_does_not_respond_is_asked_again_only_for_want_of_another(table):
    table.merge(0.0, make_digest("a", revision=9))
    assert table.fresher_peer(0.1, 1, at(1), unreachable=[VmId("a")]).vm == "a"
    table.merge(0.0, make_digest("b", revision=8))
    assert table.fresher_peer(0.1, 1, at(1)).vm == "a"
    assert table.fresher_peer(0.1, 1, at(1), unreachable=[VmId("a")]).vm == "b"
    table.merge(0.0, make_digest("c", revision=7))
    assert table.fresher_peer(0.1, 1, at(1), unreachable=["a", "b"]).vm == "c"


def test_vm_asks_another_data_centre_when_the_readers_of_its_own_do_not_respond(table):
    for name in ("a", "b", "c"):
        table.merge(0.0, make_digest(name, revision=9))
    table.merge(0.0, make_digest("x", REMOTE, scope=Scope.DATA_CENTRE, revision=8))
    assert table.fresher_peer(0.1, 1, at(1), unreachable=["a"]).data_centre == LOCAL
    assert table.fresher_peer(0.1, 1, at(1), unreachable=["a", "b"]).vm == "x"
    assert table.fresher_peer(0.1, 1, at(8), unreachable=["a", "b"]).vm == "c"


def test_process_that_starts_with_its_clock_behind_is_heard(table):
    """Digests are ordered by the start of their process, by its own clock."""
    table.merge(0.0, make_digest("a", incarnation=10, seq=5))
    restarted = make_digest("a", incarnation=4, seq=1, configuration=9)
    table.merge(DIGEST_TTL_SECONDS, restarted)
    assert table.newest_configuration(DIGEST_TTL_SECONDS) == 9


def test_late_digest_of_the_process_before_is_not_taken(table):
    table.merge(0.0, make_digest("a", incarnation=10, seq=5))
    late = make_digest("a", incarnation=4, seq=1, configuration=9)
    table.merge(0.5 * DIGEST_TTL_SECONDS, late)
    assert table.newest_configuration(0.5 * DIGEST_TTL_SECONDS) == 1
