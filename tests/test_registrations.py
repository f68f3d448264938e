"""Tests of registrations that are late, foreign, removed or listed anew."""

import threading
from dataclasses import replace

import pytest
from returns.result import Failure, Success
from storereaders import UPSTREAMS, Vm, at, registration
from upstreams import REQUEST, make_eligibility, make_upstream

from oleandershift.demand import DemandMeter
from oleandershift.digests import StoreSnapshot
from oleandershift.directory import Directory
from oleandershift.fleetview import FleetView
from oleandershift.freshness import REREGISTRATION_SECONDS
from oleandershift.ids import Incarnation, VmId
from oleandershift.neighbours import Peer, PeerTable, StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.placement import LoadTracker
from oleandershift.records import Changes, Record, Snapshot
from oleandershift.state import FleetState, LeavingReport, LeavingSource
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

DRAIN_SECONDS = 2.5
GRACE_SECONDS = 1.5
WAIT_SECONDS = 5.0


def without_born(record):
    spec = {key: value for key, value in record.spec.items() if key != "born"}
    return Record(record.name, record.revision, spec)


@pytest.fixture
def vm(clock):
    return Vm(clock, GRACE_SECONDS)


def test_late_report_of_an_unknown_earlier_run_does_not_shun_the_later(vm):
    """The VM started after the later run had registered."""
    vm.read_list(10, registration("u1", 10, born=2))
    vm.read_changes(11, registration("u1", 11, born=1))
    vm.read_changes(12, registration("u1", 12, born=2, sequence=2))
    assert vm.usable() == {("u1", 2)}


def test_late_report_of_a_removed_run_does_not_shun_the_later(clock, vm):
    vm.read_list(5, registration("u1", 5, born=1))
    vm.read_changes(6, registration("u1", 5, born=1), deleted=True)
    clock.instant += GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    vm.read_changes(10, registration("u1", 10, born=2))
    vm.read_changes(11, registration("u1", 11, born=1))
    vm.read_changes(12, registration("u1", 12, born=2, sequence=2))
    assert vm.usable() == {("u1", 2)}


def test_draining_is_read_after_a_late_report_of_an_unknown_earlier_run(vm):
    vm.read_list(10, registration("u1", 10, born=2))
    vm.read_changes(11, registration("u1", 11, born=1))
    vm.read_changes(12, registration("u1", 12, born=2, state="draining"))
    assert vm.usable() == set()


def test_late_report_of_an_earlier_run_is_not_used(vm):
    vm.read_list(10, registration("u1", 10, born=2))
    vm.read_changes(11, registration("u1", 11, born=1))
    assert vm.usable() <= {("u1", 2)}


def test_upstream_that_did_not_say_that_it_leaves_is_not_announced_as_leaving(
    clock, vm
):
    """A digest that names it would shun it on all VMs, new ones included."""
    vm.read_list(10, registration("u1", 10, born=2))
    vm.read_changes(11, registration("u1", 11, born=1))
    vm.read_changes(12, registration("u1", 12, born=2), deleted=True)
    clock.instant += GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    vm.read_changes(13, registration("u1", 13, born=2))
    assert vm.view.directory.leaving_unregistered() == frozenset()
    assert vm.usable() == {("u1", 2)}


@pytest.mark.parametrize(
    "foreign",
    [
        registration("u1", 11, born=1, service="unknown", state="draining"),
        registration("u1", 11, born=1, service="unknown"),
        registration("u1", 11, born="1"),
        registration("u1", 11, state="unknown"),
        without_born(registration("u1", 11)),
        without_born(registration("u1", 11, state="draining")),
        Record("u1", 11, None),
    ],
    ids=[
        "draining-of-unknown-service",
        "unknown-service",
        "start-of-other-type",
        "unknown-state",
        "no-start",
        "draining-without-start",
        "unreadable",
    ],
)
def test_upstream_that_writes_over_a_foreign_entry_is_used(vm, foreign):
    vm.read_list(10, registration("u1", 10))
    vm.read_changes(11, foreign)
    vm.read_changes(12, registration("u1", 12, sequence=2))
    assert vm.usable() == {("u1", 1)}


def test_follower_treats_an_unreadable_entry_as_its_reader_does(clock, vm):
    follower = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, registration("u1", 10))
    follower.catch_up(vm)
    vm.read_changes(11, Record("u1", 11, None))
    follower.catch_up(vm)
    clock.instant += GRACE_SECONDS
    assert vm.usable() == set()
    assert follower.usable() == set()


def test_new_run_without_a_start_time_is_not_shunned_for_the_leaving_of_another():
    directory = Directory()
    eligibility = make_eligibility(directory)
    unknown = replace(make_upstream(), incarnation=0)
    directory.replace(0.0, at(1), [(at(1), unknown)])
    directory.on_leaving(unknown.run)
    directory.remove(0.0, at(2), unknown.name)
    directory.update(0.0, at(3), unknown)
    assert eligibility.eligible(0.0, unknown.service, REQUEST) == [unknown]


def test_late_report_of_a_removed_run_does_not_add_it_again(clock, vm):
    """The sequence number shows that it was sent before the last known report."""
    vm.read_list(10, registration("u1", 10, sequence=7))
    vm.read_changes(20, registration("u1", 10, sequence=7), deleted=True)
    clock.instant += GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    vm.read_changes(21, registration("u1", 21, sequence=6))
    assert vm.usable() == set()


@pytest.mark.parametrize("retry_s", [0.6, 0.99])
def test_watch_that_was_cut_does_not_extend_a_removal_beyond_the_drain_time(
    clock, vm, retry_s
):
    """A standby waits up to a second before its first retry; the store is stable."""
    vm.read_list(10, registration("u1", 10))
    vm.fail()
    removed_at = clock.instant
    clock.instant += retry_s
    vm.read_list(20)
    clock.instant = removed_at + DRAIN_SECONDS
    assert vm.usable() == set()


def test_earlier_end_of_use_at_the_reader_holds_for_a_vm_that_read_it_later(clock, vm):
    standby = Vm(clock, GRACE_SECONDS)
    for item in (vm, standby):
        item.read_list(10, registration("u1", 10), registration("u2", 10))
    gone = registration("u1", 10)
    vm.read_changes(20, gone, deleted=True)
    clock.instant += 1.0
    standby.read_changes(20, gone, deleted=True)
    vm.read_changes(21, registration("u3", 21))
    standby.catch_up(vm)
    clock.instant += GRACE_SECONDS - 1.0
    assert vm.usable() == {("u2", 1), ("u3", 1)}
    assert standby.usable() == {("u2", 1), ("u3", 1)}


@pytest.mark.parametrize("is_list", [True, False])
def test_later_list_does_not_start_the_grace_of_a_dropped_upstream_anew(
    clock, vm, is_list
):
    follower = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, registration("u1", 10), registration("u2", 10))
    follower.catch_up(vm)
    if is_list:
        vm.read_list(20, registration("u2", 10))
    else:
        vm.read_changes(20, registration("u1", 10), deleted=True)
    clock.instant += GRACE_SECONDS - 0.1
    vm.read_list(22, registration("u2", 10))
    clock.instant += 0.2
    vm.view.directory.expire(clock.instant)
    follower.catch_up(vm)
    assert vm.usable() == {("u2", 1)}
    assert follower.usable() == {("u2", 1)}


def test_outage_that_only_the_hub_noticed_drops_nothing_at_the_others(clock, vm):
    """A standby's long watch may outlast an outage that cuts the network."""
    standby, follower = Vm(clock, GRACE_SECONDS), Vm(clock, GRACE_SECONDS)
    records = [registration("u1", 10), registration("u2", 10)]
    for item in (vm, standby):
        item.read_list(10, *records)
    follower.catch_up(vm)
    vm.fail()
    clock.instant += 5.0
    standby.read_changes(20, *records, deleted=True)
    follower.catch_up(standby)
    vm.read_list(20)
    clock.instant += REREGISTRATION_SECONDS - 0.1
    for item in (vm, standby, follower):
        assert item.usable() == {("u1", 1), ("u2", 1)}


@pytest.mark.parametrize("is_list", [True, False])
def test_removed_upstream_is_used_until_its_grace_ends(clock, vm, is_list):
    vm.read_list(10, registration("u1", 10))
    if is_list:
        vm.read_list(20)
    else:
        vm.read_changes(20, registration("u1", 10), deleted=True)
    clock.instant += GRACE_SECONDS - 0.01
    assert vm.usable() == {("u1", 1)}
    clock.instant += 0.01
    assert vm.usable() == set()


def test_late_report_of_an_earlier_run_in_a_list_does_not_replace_the_later(vm):
    vm.read_list(5, registration("u1", 5, born=1))
    vm.read_changes(10, registration("u1", 10, born=2))
    vm.read_list(12, registration("u1", 11, born=1))
    assert vm.usable() == {("u1", 2)}


def test_later_list_does_not_extend_the_grace_of_a_removed_upstream(clock, vm):
    follower = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, registration("u1", 10), registration("u2", 10))
    follower.catch_up(vm)
    vm.read_list(20, registration("u2", 10))
    clock.instant += GRACE_SECONDS - 0.5
    vm.read_list(22, registration("u2", 10))
    follower.catch_up(vm)
    clock.instant += 0.5
    assert vm.usable() == follower.usable() == {("u2", 1)}


def test_whole_snapshot_of_an_earlier_version_starts_a_grace(clock, vm):
    vm.read_list(10, registration("u1", 10), registration("u2", 10))
    snapshot = StoreSnapshot(None, 20, (registration("u2", 10),))
    vm.sync.apply_snapshot(snapshot, "peer", clock.instant)
    clock.instant += GRACE_SECONDS - 0.01
    assert vm.usable() == {("u1", 1), ("u2", 1)}
    clock.instant += 0.01
    assert vm.usable() == {("u2", 1)}


class QueueingLoop:
    """Event loop that runs callbacks when the test says so."""

    def __init__(self):
        self._callbacks = []
        self._arrived = threading.Condition()

    def call_soon_threadsafe(self, callback, *args):
        """Queue a callback."""
        with self._arrived:
            self._callbacks.append((callback, args))
            self._arrived.notify_all()

    def wait_for(self, count):
        """Wait until a number of callbacks is queued."""
        with self._arrived:
            assert self._arrived.wait_for(
                lambda: len(self._callbacks) >= count, WAIT_SECONDS
            )

    def run(self, count):
        """Wait for a number of callbacks and run them."""
        self.wait_for(count)
        with self._arrived:
            callbacks, self._callbacks = self._callbacks, []
        for callback, args in callbacks:
            callback(*args)


class ScriptedStore:
    """Store with one upstream, which it removes when the test says so."""

    era = 0

    def __init__(self):
        self.removed = threading.Event()
        self._stopped = threading.Event()
        self._is_told = False

    def close(self):
        """Close no connections."""

    def snapshot(self, kind):
        """Return the registration."""
        records = (registration("u1", 10),) if kind == UPSTREAMS else ()
        return Success(Snapshot(10, records))

    def watch(self, kind, revision, wait_seconds):
        """Return the removal once."""
        if kind != UPSTREAMS or self._is_told:
            self._stopped.wait(WAIT_SECONDS)
            return Failure(StoreFailure(StoreError.REFUSED, "stopped"))
        self.removed.wait(WAIT_SECONDS)
        self._is_told = True
        return Success(Changes(20, ((registration("u1", 10), True),)))

    def stop(self):
        """End all calls."""
        self.removed.set()
        self._stopped.set()


def test_late_event_loop_does_not_extend_the_use_of_a_removed_upstream(clock, vm):
    """The feed's thread has read the removal, the loop handles it a second later."""
    loop, store = QueueingLoop(), ScriptedStore()
    vm.sync.set_role(StoreRole.HUB)
    vm.sync.start(store, loop)
    try:
        loop.run(2)
        assert vm.usable() == {("u1", 1)}
        read_at = clock.instant
        store.removed.set()
        loop.wait_for(1)
        clock.instant = read_at + 1.0
        loop.run(1)
        clock.instant = read_at + GRACE_SECONDS
        assert vm.usable() == set()
    finally:
        vm.sync.stop()
        store.stop()


def test_change_during_a_list_of_several_pages_reaches_the_followers(clock, vm):
    """The first page was read at 20; u1 changed at 21, u2 of a later page at 22."""
    follower = Vm(clock, GRACE_SECONDS)
    vm.read_list(20, registration("u1", 10), registration("u2", 22))
    follower.catch_up(vm)
    vm.read_changes(22, registration("u1", 21, state="draining"))
    follower.catch_up(vm)
    assert vm.usable() == {("u2", 1)}
    assert follower.usable() == {("u2", 1)}


def make_exchanges(*names):
    data_centre = make_upstream().data_centre
    peers = [Peer(VmId(name), data_centre, Address(name, 1)) for name in names]
    exchanges = {}
    for peer in peers:
        table = PeerTable(peer.vm, peer.data_centre)
        state = FleetState(table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
        table.add_registered(0.0, peers)
        exchanges[peer.vm] = (DigestExchange(peer, Incarnation(1), state), state)
    return exchanges


def test_only_a_hub_schedules_a_digest_when_it_is_told_of_a_leaving_upstream():
    """Asked where the transport asks, in the callback of a change."""
    exchanges = make_exchanges(*"abcdef")
    for sender, state in exchanges.values():
        state.view.directory.update(0.0, at(1), make_upstream())
        digest = sender.next_digests(0.0)[0].message
        for receiver, _ in exchanges.values():
            receiver.receive(0.0, digest)
    hub = next(vm for vm, (_, state) in exchanges.items() if state.peers.is_hub(0.0))
    teller = next(vm for vm in exchanges if vm != hub)
    urgent = set()
    for vm, (exchange, state) in exchanges.items():
        if vm != teller:
            state.on_load_change = lambda vm=vm, exchange=exchange: (
                urgent.add(vm) if exchange.is_urgent(0.1) else None
            )
    run = make_upstream().run
    exchanges[teller][1].record_leaving(
        LeavingReport(run, LeavingSource.RESPONSE, "a1")
    )
    digest = exchanges[teller][0].next_digests(0.1)[0].message
    for vm, (exchange, _) in exchanges.items():
        if vm != teller:
            exchange.receive(0.1, digest)
    assert urgent <= {hub}


def test_all_leaving_upstreams_are_announced_in_time():
    """An outage of the store, in which many upstreams leave."""
    exchange, state = make_exchanges("vm", "other")["vm"]
    runs = set()
    for number in range(100):
        upstream = make_upstream(f"e{number:03}")
        state.view.directory.update(0.0, at(number + 1), upstream)
        runs.add(upstream.run)
        state.record_leaving(LeavingReport(upstream.run, LeavingSource.RESPONSE, "a"))
    announced = set()
    for tick in range(8):
        for addressed in exchange.next_digests(tick * 0.25):
            announced.update(addressed.message.leaving)
    assert announced == runs
