"""Which version a stream goes on at, whatever VMs remember and whatever has left."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from oleandershift.demand import DemandMeter
from oleandershift.digests import Scope, StreamGroup, StreamNotice, encode
from oleandershift.fleetview import FleetView
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    ServiceId,
    SoftwareVersion,
    StreamKey,
    TeamId,
    VmId,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.state import FleetState
from oleandershift.streamnotices import MAX_STREAMS_IN_NOTICE, StreamExchange
from oleandershift.streamversions import (
    MAX_STREAMS,
    MEMORY_SECONDS,
    StreamVersions,
    stream_key,
)
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

SERVICE = ServiceId("model")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
TEAM = TeamId("team")
PACKET_BYTES = 1472


def key(attempt, team=TEAM, service=SERVICE):
    return stream_key(team, service, attempt)


def serve(versions, now, *serving):
    versions.observe(now, {SERVICE: frozenset(serving)})


@pytest.fixture
def versions():
    """Return what a VM knows that is the first of its fleet."""
    created = StreamVersions(0.0)
    created.inherit([])
    return created


def test_stream_is_known_by_team_service_and_attempt():
    keys = {
        key("a"),
        key("b"),
        key("a", TeamId("other")),
        key("a", None),
        key("a", TEAM, ServiceId("other")),
    }
    assert len(keys) == 5


def test_only_version_is_that_of_every_stream(versions):
    serve(versions, 1.0, V1)
    assert versions.only_version(1.0, SERVICE) == V1
    assert versions.take_untold(10) == {}


def test_version_that_has_left_may_have_begun_streams_for_a_while(versions):
    serve(versions, 1.0, V1)
    serve(versions, 2.0, V2)
    assert versions.only_version(2.0 + MEMORY_SECONDS, SERVICE) is None
    later = 2.1 + MEMORY_SECONDS
    serve(versions, later, V2)
    assert versions.only_version(later, SERVICE) == V2


def test_vm_that_has_not_read_the_records_knows_no_only_version():
    started = StreamVersions(0.0)
    serve(started, 0.1, V1)
    assert started.only_version(0.1, SERVICE) is None
    started.inherit([{SERVICE: (V1,)}])
    assert started.only_version(0.1, SERVICE) == V1
    started.inherit([{SERVICE: (V2,)}])
    assert started.only_version(0.1, SERVICE) is None
    serve(started, MEMORY_SECONDS, V1)
    assert started.only_version(MEMORY_SECONDS, SERVICE) == V1


def test_records_that_are_read_later_change_nothing_after_a_minute(versions):
    """A hub reads the registrations again and again."""
    later = MEMORY_SECONDS + 1.0
    for number in range(3):
        versions.inherit([{SERVICE: (V2,)}])
        serve(versions, later + number, V1)
        assert versions.only_version(later + number, SERVICE) == V1
        assert versions.record(later + number) == {SERVICE: (V1,)}


def test_service_without_an_upstream_has_no_version(versions):
    serve(versions, 1.0)
    assert versions.only_version(1.0, SERVICE) is None


def test_streams_begin_at_recorded_versions(versions):
    assert versions.is_recorded(SERVICE, V1)
    serve(versions, 1.0, V1)
    assert versions.needs_recording()
    assert not versions.is_recorded(SERVICE, V1)
    versions.on_recorded(versions.record(1.0))
    assert versions.is_recorded(SERVICE, V1)
    serve(versions, 2.0, V1, V2)
    assert versions.needs_recording()
    assert not versions.is_recorded(SERVICE, V2)
    assert versions.record(2.0) == {SERVICE: (V1, V2)}


def test_streams_of_one_version_are_told_when_another_appears(versions):
    serve(versions, 1.0, V1)
    versions.on_begun(1.0, SERVICE, key("a"), V1)
    versions.on_begun(1.0, ServiceId("other"), key("b"), V1)
    assert versions.take_untold(10) == {}
    serve(versions, 2.0, V1, V2)
    versions.on_begun(2.0, SERVICE, key("c"), V2)
    for _ in range(2):
        assert versions.take_untold(10) == {V1: [key("a")], V2: [key("c")]}
    assert versions.take_untold(10) == {}


def test_streams_that_do_not_fit_are_told_later_and_new_ones_first(versions):
    serve(versions, 1.0, V1, V2)
    for number in range(5):
        versions.on_begun(1.0, SERVICE, key(str(number)), V1)
    told = [versions.take_untold(3).get(V1, []) for _ in range(4)]
    assert sorted(len(keys) for keys in told) == [1, 3, 3, 3]
    assert len(set(told[0] + told[1])) >= 5
    flat = [item for keys in told for item in keys]
    assert all(flat.count(item) == 2 for item in set(flat))


def test_streams_are_forgotten_by_age_and_number(versions):
    serve(versions, 1.0, V1, V2)
    versions.on_begun(1.0, SERVICE, key("old"), V1)
    serve(versions, 1.1 + MEMORY_SECONDS, V1, V2)
    assert versions.known(key("old")) is None
    for number in range(MAX_STREAMS + 1):
        versions.learn(100.0, V1, [StreamKey(number)])
    assert versions.known(StreamKey(0)) is None
    assert versions.known(StreamKey(1)) == V1


def test_what_another_vm_says_does_not_change_what_is_known(versions):
    versions.on_begun(1.0, SERVICE, key("a"), V1)
    versions.learn(2.0, V2, [key("a")])
    assert versions.known(key("a")) == V1


def test_largest_notice_fits_into_a_packet():
    keys = tuple(StreamKey(2**64 - 1 - n) for n in range(MAX_STREAMS_IN_NOTICE))
    groups = tuple(
        StreamGroup(SoftwareVersion(f"v{n}.12.3-build"), keys[n::3]) for n in range(3)
    )
    data = encode(StreamNotice(VmId("edge-northwest-a-15"), groups))
    assert len(data) <= PACKET_BYTES


class Vm:
    """Decision objects of one VM."""

    def __init__(self, name, data_centre, now=0.0):
        self.peer = Peer(VmId(name), DataCentreId(data_centre), Address(name, 1))
        self.table = PeerTable(self.peer.vm, self.peer.data_centre)
        self.versions = StreamVersions(now)
        self.versions.inherit([])
        self.exchange = StreamExchange(self.peer, self.table, self.versions)
        state = FleetState(self.table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
        self.digests = DigestExchange(self.peer, Incarnation(1), state)


class Fleet:
    """VMs that tell and ask each other of streams; some datagrams are lost."""

    def __init__(self, data_centres, vms, loss=0.0):
        self.vms = [
            Vm(f"{c}-{n}", f"dc-{c}") for c in range(data_centres) for n in range(vms)
        ]
        self.by_name = {vm.peer.vm: vm for vm in self.vms}
        self.rng, self.loss, self.now = random.Random(1), loss, 0.0
        for vm in self.vms:
            vm.table.add_registered(0.0, [other.peer for other in self.vms])

    def run(self, seconds):
        """Let time pass."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.1
            for vm in self.vms:
                for addressed in vm.digests.next_digests(self.now):
                    for other in self.reached(addressed.peers):
                        forward = other.digests.receive(self.now, addressed.message)
                        for local in self.reached(forward):
                            local.digests.receive(self.now, addressed.message)
                serve(vm.versions, self.now, V1, V2)
                notice = vm.exchange.next_notice(self.now)
                if notice is not None:
                    for other in self.reached(notice.peers, self.loss):
                        other.exchange.receive(self.now, notice.message)

    def reached(self, peers, loss=0.0):
        """Yield the VMs that a datagram reaches."""
        for peer in peers:
            other = self.by_name.get(peer.vm)
            if other is not None and self.rng.random() >= loss:
                yield other

    def ask(self, vm, stream):
        """Return what a VM learns when it asks all others."""
        for item in vm.exchange.queries(self.now, stream):
            for other in self.reached(item.peers):
                self._answer(vm, other, item.message)
        return vm.versions.known(stream)

    def _answer(self, asker, vm, query):
        answer = vm.exchange.answer(query)
        if answer is not None:
            asker.exchange.receive(self.now, answer.message)
            return
        forwarded = vm.exchange.forwarded(self.now, query)
        if forwarded is not None:
            assert forwarded.message.scope is Scope.VM
            for other in self.reached(forwarded.peers):
                self._answer(asker, other, forwarded.message)

    def kill(self, *vms):
        """Let VMs end."""
        for vm in vms:
            self.vms.remove(vm)
            del self.by_name[vm.peer.vm]


@pytest.mark.parametrize("size", [(1, 3), (3, 2), (3, 5), (6, 14)])
def test_any_vm_finds_the_version_of_a_stream(size):
    fleet = Fleet(*size)
    fleet.run(2.0)
    begun = fleet.vms[-1]
    begun.versions.on_begun(fleet.now, SERVICE, key("a"), V2)
    assert all(fleet.ask(vm, key("a")) == V2 for vm in fleet.vms)


@pytest.mark.parametrize("size", [(1, 3), (3, 2), (3, 5), (6, 14)])
def test_stream_of_a_vm_that_has_ended_is_found(size):
    fleet = Fleet(*size, loss=0.3)
    fleet.run(2.0)
    ended = fleet.vms[-1]
    streams = [key(str(number)) for number in range(100)]
    for stream in streams:
        ended.versions.on_begun(fleet.now, SERVICE, stream, V2)
    fleet.run(0.5)
    fleet.kill(ended)
    fleet.run(1.0)
    for vm in fleet.vms:
        found = sum(fleet.ask(vm, stream) == V2 for stream in streams)
        assert found > 0.9 * len(streams)


def test_stream_of_a_data_centre_that_has_ended_is_found():
    fleet = Fleet(3, 3)
    fleet.run(2.0)
    ended = [vm for vm in fleet.vms if vm.peer.data_centre == "dc-1"]
    for number, vm in enumerate(ended):
        vm.versions.on_begun(fleet.now, SERVICE, key(str(number)), V2)
    fleet.run(0.5)
    fleet.kill(*ended)
    fleet.run(1.0)
    for vm in fleet.vms:
        assert all(fleet.ask(vm, key(str(n))) == V2 for n in range(len(ended)))


class Play:
    """VMs that begin streams, each with a registration that outlasts it."""

    def __init__(self):
        self.now, self.recorded, self.begun = 0.0, {}, {}
        self.kill_all()

    def step(self, seconds, serving):
        """Let time pass, and other versions serve."""
        self.now += seconds
        for vm in self.vms:
            serve(vm, self.now, *serving)

    def begin(self, vm, serving, stream):
        """Let a VM begin a stream at a version, if one is recorded."""
        versions = [item for item in serving if vm.is_recorded(SERVICE, item)]
        if versions:
            self.begun[stream] = versions[0], self.now
            vm.on_begun(self.now, SERVICE, stream, versions[0])

    def record(self, vm, index):
        """Let a VM write its registration."""
        self.recorded[index] = vm.record(self.now)
        vm.on_recorded(self.recorded[index])

    def kill_all(self):
        """Let all VMs start again."""
        self.vms = [StreamVersions(self.now) for _ in range(3)]
        for vm in self.vms:
            vm.inherit(self.recorded.values())


SERVING = st.sets(st.sampled_from([V1, V2]), min_size=1)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    steps=st.lists(
        st.tuples(
            st.floats(0.1, 40.0),
            SERVING,
            st.sampled_from(["begin", "take up", "kill all", "record"]),
            st.integers(0, 2),
        ),
        min_size=10,
        max_size=60,
    )
)
def test_no_stream_is_taken_for_another_version_whatever_is_lost(steps):
    """A VM begins streams at recorded versions; all memory but the records may go."""
    play = Play()
    for number, (pause_s, serving, action, index) in enumerate(steps):
        play.step(pause_s, serving)
        vm = play.vms[index]
        if action == "begin":
            play.begin(vm, serving, key(str(number)))
        elif action == "record":
            play.record(vm, index)
        elif action == "kill all":
            play.kill_all()
        else:
            for stream, (version, began_at) in play.begun.items():
                if play.now - began_at < MEMORY_SECONDS:
                    found = vm.known(stream) or vm.only_version(play.now, SERVICE)
                    assert found in (None, version)
