"""Words of an upstream's run, and a later run whose host's clock is behind."""

import pytest
from storereaders import UPSTREAMS, SilentLog, registration

from oleandershift.demand import DemandMeter
from oleandershift.directory import CONFIRMATION_SECONDS, UpstreamRun
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId, VmId
from oleandershift.io.feed import ChangesRead, SnapshotRead
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.storesync import StoreSync
from oleandershift.neighbours import PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.records import Changes, Snapshot
from oleandershift.state import (
    AnnouncementKind,
    FleetState,
    LeavingReport,
    LeavingSource,
)

E1 = UpstreamId("e1")
FIRST = UpstreamRun(E1, 1_000_000)
LEFT_MS = 1_060_000
"""Unix time of the VM at which the first run said that it leaves."""


@pytest.fixture
def state():
    peers = PeerTable(VmId("vm"), DataCentreId("here"))
    return FleetState(peers, FleetView(), LoadTracker(10.0), DemandMeter(4.0))


@pytest.fixture
def sync(state):
    return StoreSync(state.view, SilentLog(), GatewayMetrics())


def read(sync, *records):
    revision = records[-1].revision if records else 6
    changes = Changes(revision, tuple((record, False) for record in records))
    sync.on_event(ChangesRead(UPSTREAMS, changes))


def leave(instant, state, sync):
    """Let the first run say in an answer that it leaves, and register that."""
    known = registration("e1", 5, born=FIRST.incarnation)
    sync.on_event(SnapshotRead(UPSTREAMS, Snapshot(5, (known,))))
    state.on_announcement(instant, FIRST, AnnouncementKind.LEAVING, LEFT_MS)
    state.record_leaving(LeavingReport(FIRST, LeavingSource.RESPONSE, "header"))


def usable(state, instant):
    entries = state.view.directory.usable(instant, ServiceId("s"))
    return {(entry.name, entry.incarnation) for entry in entries}


@pytest.mark.parametrize(
    "born", [LEFT_MS - 1_000, FIRST.incarnation - 600_000], ids=["behind", "set back"]
)
def test_new_run_does_not_leave_as_the_run_before_said_so(clock, state, sync, born):
    """It began 2 s after the word by true time; its host's clock is behind by more."""
    leave(clock.instant, state, sync)
    for _ in range(2):
        clock.instant += 1.0
        read(sync)
    read(sync, registration("e1", 6, born=born))
    end = clock.instant + 2 * CONFIRMATION_SECONDS
    while clock.instant < end:
        clock.instant += 1.0
        read(sync)
        state.view.directory.expire(clock.instant)
    assert state.view.directory.get(E1).incarnation == born
    assert usable(state, clock.instant) == {("e1", born)}
