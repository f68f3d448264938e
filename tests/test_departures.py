"""Tests of what VMs do with an upstream that leaves, however they learn of it."""

import pytest

from oleandershift.fleetview import FleetView
from oleandershift.ids import ServiceId
from oleandershift.io.feed import ChangesRead, SnapshotRead
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.storesync import StoreSync
from oleandershift.neighbours import StoreRole
from oleandershift.records import Changes, Record, Snapshot

UPSTREAMS = "servers"
GRACE_SECONDS = 2.4
BATCH_SECONDS = 1.5
TRANSFER_SECONDS = 0.9


class SilentLog:
    """Log that drops its lines."""

    def info(self, event, **fields):
        """Drop a line."""

    warning = info


class ManualClock:
    """Clock that tests set."""

    def __init__(self):
        self.instant = 100.0

    def __call__(self):
        """Return the time that was set."""
        return self.instant


@pytest.fixture
def clock(monkeypatch):
    manual_clock = ManualClock()
    monkeypatch.setattr("oleandershift.io.storesync.now", manual_clock)
    return manual_clock


class Vm:
    """What one VM knows of the store."""

    def __init__(self, clock):
        self.clock = clock
        self.view = FleetView(GRACE_SECONDS)
        self.sync = StoreSync(
            self.view, lambda name: None, SilentLog(), GatewayMetrics()
        )

    def read_list(self, revision, *records):
        """Read a complete list from the store."""
        self.sync.on_event(SnapshotRead(UPSTREAMS, Snapshot(revision, records)))

    def read_changes(self, revision, *events):
        """Read changes from the store."""
        self.sync.on_event(ChangesRead(UPSTREAMS, Changes(revision, events)))

    def catch_up(self, peer, transfer_s=0.0):
        """Fetch what another VM has read, as after its digest."""
        if peer.view.directory.revision > self.view.directory.revision:
            asked_at = self.clock.instant
            snapshot = peer.sync.snapshot(self.sync.request())
            self.clock.instant += transfer_s
            self.sync.apply_snapshot(snapshot, "peer", asked_at)

    def usable(self):
        """Return the names of the upstreams that may get requests now."""
        usable = self.view.directory.usable(self.clock.instant, ServiceId("s"))
        return {entry.name for entry in usable}


def registration(name, revision, state="ready", born=1, sequence=1):
    spec = {
        "service": "s",
        "address": "10.0.0.1:8000",
        "zone": "z",
        "slots": 4,
        "state": state,
        "born": born,
        "sequence": sequence,
    }
    return Record(name, revision, spec)


@pytest.fixture
def reader(clock):
    vm = Vm(clock)
    vm.read_list(6, registration("u1", 5), registration("u2", 6))
    return vm


@pytest.fixture
def follower(clock, reader):
    vm = Vm(clock)
    vm.catch_up(reader)
    return vm


def test_removal_found_in_a_list_reaches_the_followers(clock, reader, follower):
    reader.read_list(20, registration("u2", 6))
    follower.catch_up(reader)
    clock.instant += GRACE_SECONDS
    assert follower.usable() == {"u2"}


def test_follower_of_a_list_drops_a_removed_upstream_with_its_reader(
    clock, reader, follower
):
    reader.read_list(20, registration("u2", 6), registration("u3", 18))
    clock.instant += BATCH_SECONDS
    follower.catch_up(reader)
    clock.instant += GRACE_SECONDS - BATCH_SECONDS
    assert reader.usable() == {"u2", "u3"}
    assert follower.usable() == {"u2", "u3"}


@pytest.mark.parametrize("is_list", [True, False])
def test_slow_transfer_does_not_extend_the_use_of_a_removed_upstream(
    clock, reader, follower, is_list
):
    if is_list:
        reader.read_list(20, registration("u2", 6))
    else:
        reader.read_changes(20, (registration("u1", 5), True))
    follower.catch_up(reader, TRANSFER_SECONDS)
    clock.instant += GRACE_SECONDS - TRANSFER_SECONDS
    assert reader.usable() == {"u2"}
    assert follower.usable() == {"u2"}


def test_new_reader_does_not_use_a_removed_upstream_again(clock, reader, follower):
    reader.read_changes(9, (registration("u1", 9), False))
    reader.read_changes(20, (registration("u1", 9), True))
    follower.catch_up(reader)
    clock.instant += 10.0
    assert follower.usable() == {"u2"}
    follower.sync.set_role(StoreRole.HUB)
    # A watch from the revision of its own first list.
    follower.read_changes(
        20, (registration("u1", 9), False), (registration("u1", 9), True)
    )
    assert follower.usable() == {"u2"}


@pytest.mark.parametrize("removal_revision", [9, 12, 20])
def test_replayed_registration_does_not_undo_a_removal(clock, reader, removal_revision):
    reader.read_changes(9, (registration("u1", 9), False))
    gone = Record("u1", removal_revision, None)
    reader.read_changes(20, (gone, True))
    clock.instant += 10.0
    assert reader.usable() == {"u2"}
    reader.read_changes(20, (registration("u1", 9), False))
    assert reader.usable() == {"u2"}


def test_late_report_of_an_upstream_does_not_take_back_its_leaving(reader):
    draining = registration("u1", 10, state="draining", sequence=7)
    reader.read_changes(10, (draining, False))
    reader.read_changes(11, (registration("u1", 11, sequence=6), False))
    assert reader.usable() == {"u2"}


def test_late_report_of_an_earlier_run_does_not_replace_the_later(reader):
    later = registration("u1", 10, state="draining", born=2)
    reader.read_changes(10, (later, False))
    reader.read_changes(11, (registration("u1", 11, born=1), False))
    assert reader.usable() == {"u2"}


def test_upstream_that_starts_again_after_leaving_is_used(reader):
    reader.read_changes(10, (registration("u1", 10, state="draining"), False))
    reader.read_changes(12, (registration("u1", 12, born=2), False))
    assert reader.usable() == {"u1", "u2"}


def test_upstream_that_lapsed_and_registered_again_is_used(clock, reader):
    reader.read_changes(10, (registration("u1", 5), True))
    clock.instant += GRACE_SECONDS
    assert reader.usable() == {"u2"}
    reader.read_changes(12, (registration("u1", 12), False))
    assert reader.usable() == {"u1", "u2"}
