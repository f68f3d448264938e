"""What is heard of an upstream's run before it registers."""

import pytest
from storereaders import UPSTREAMS, SilentLog, registration

from oleandershift.demand import DemandMeter
from oleandershift.directory import CONFIRMATION_SECONDS, UpstreamRun
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, UpstreamId, VmId
from oleandershift.io.feed import ChangesRead, SnapshotRead
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.storesync import StoreSync
from oleandershift.neighbours import PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.records import Changes, Snapshot
from oleandershift.state import (
    REGISTRATION_SECONDS,
    AnnouncementKind,
    FleetState,
)

RUNS = [UpstreamRun(UpstreamId("e1"), born) for born in (1000, 2000, 3000)]
HEARD_MS = 3500


@pytest.fixture
def state():
    peers = PeerTable(VmId("vm"), DataCentreId("here"))
    return FleetState(peers, FleetView(), LoadTracker(10.0), DemandMeter(4.0))


def test_wish_of_a_run_outlasts_two_restarts_before_it_registers(state):
    """A VM that follows others reads the registrations of both runs late."""
    first, second, third = RUNS
    state.on_announcement(0.0, first, AnnouncementKind.AWAY, HEARD_MS)
    state.standings.on_turned_away(0.0, first, 5.0)
    state.on_restart(first, second, 1.0)
    assert not state.standings.accepts(1.0, second)
    state.on_restart(second, third, 1.0)
    assert not state.standings.accepts(1.0, third)


@pytest.fixture
def sync(clock, state):
    return StoreSync(state.view, SilentLog(), GatewayMetrics())


def read(sync, *records):
    revision = records[-1].revision
    changes = Changes(revision, tuple((record, False) for record in records))
    sync.on_event(ChangesRead(UPSTREAMS, changes))


def test_late_report_of_an_earlier_run_does_not_end_the_limit_of_the_later(
    clock, state, sync
):
    first, second, _ = RUNS
    known = registration("e1", 5, born=second.incarnation)
    sync.on_event(SnapshotRead(UPSTREAMS, Snapshot(5, (known,))))
    state.on_announcement(clock.instant, second, AnnouncementKind.LIMIT, HEARD_MS)
    state.allowances.on_answer(clock.instant, second, 2.0, clock.instant)
    read(sync, registration("e1", 6, born=first.incarnation))
    assert state.allowances.limit(clock.instant, second) == 2.0


def test_word_of_a_run_whose_clock_was_set_back_holds_once_its_report_is_believed(
    clock, state, sync
):
    first, second, _ = RUNS
    known = registration("e1", 5, born=second.incarnation)
    sync.on_event(SnapshotRead(UPSTREAMS, Snapshot(5, (known,))))
    read(sync, registration("e1", 6, born=first.incarnation))
    state.on_announcement(clock.instant, second, AnnouncementKind.LIMIT, HEARD_MS)
    state.allowances.on_answer(clock.instant, second, 2.0, clock.instant)
    end = clock.instant + CONFIRMATION_SECONDS
    while clock.instant < end:
        clock.instant += 1.0
        sync.on_event(ChangesRead(UPSTREAMS, Changes(6, ())))
        state.view.directory.expire(clock.instant)
    assert state.allowances.limit(clock.instant, first) == 2.0


@pytest.mark.parametrize("born", [0, 1500, HEARD_MS + 1])
def test_word_heard_long_before_a_run_registers_does_not_hold_for_it(state, born):
    first, second = RUNS[0], UpstreamRun(UpstreamId("e1"), born)
    state.on_announcement(0.0, first, AnnouncementKind.LEAVING, HEARD_MS)
    state.on_restart(first, second, REGISTRATION_SECONDS + 0.1)
    assert state.view.directory.on_leaving(second)


def test_word_heard_since_a_run_was_read_holds_for_it_whatever_its_clock(state):
    first, second = RUNS[0], UpstreamRun(UpstreamId("e1"), HEARD_MS + 600_000)
    state.on_announcement(2.0, first, AnnouncementKind.LEAVING, HEARD_MS)
    state.on_restart(first, second, 1.0)
    assert not state.view.directory.on_leaving(second)


def test_word_of_a_run_that_could_not_register_in_an_outage_holds_for_it(state):
    first, second, _ = RUNS
    state.view.freshness.on_recovered(9.0)
    state.on_announcement(0.0, first, AnnouncementKind.LEAVING, HEARD_MS)
    state.on_restart(first, second, 10.0)
    assert not state.view.directory.on_leaving(second)
