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
from oleandershift.state import AnnouncementKind, FleetState

RUNS = [UpstreamRun(UpstreamId("e1"), born) for born in (1000, 2000, 3000)]
HEARD_MS = 3500


@pytest.fixture
def state():
    peers = PeerTable(VmId("vm"), DataCentreId("here"))
    return FleetState(peers, FleetView(), LoadTracker(10.0), DemandMeter(4.0))


def test_wish_of_a_run_outlasts_two_restarts_before_it_registers(state):
    """A VM that follows others reads the registrations of both runs late."""
    first, second, third = RUNS
    state.on_announcement(first, AnnouncementKind.AWAY, HEARD_MS)
    state.standings.on_turned_away(0.0, first, 5.0)
    state.on_restart(first, second)
    assert not state.standings.accepts(1.0, second)
    state.on_restart(second, third)
    assert not state.standings.accepts(1.0, third)


@pytest.fixture
def sync(clock, state):
    return StoreSync(state.view, state.on_restart, SilentLog(), GatewayMetrics())


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
    state.on_announcement(second, AnnouncementKind.LIMIT, HEARD_MS)
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
    state.on_announcement(second, AnnouncementKind.LIMIT, HEARD_MS)
    state.allowances.on_answer(clock.instant, second, 2.0, clock.instant)
    end = clock.instant + CONFIRMATION_SECONDS
    while clock.instant < end:
        clock.instant += 1.0
        sync.on_event(ChangesRead(UPSTREAMS, Changes(6, ())))
        state.view.directory.expire(clock.instant)
    assert state.allowances.limit(clock.instant, first) == 2.0
