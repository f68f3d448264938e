"""What is heard of an upstream's run before it registers."""

import pytest

from oleandershift.demand import DemandMeter
from oleandershift.directory import UpstreamRun
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, UpstreamId, VmId
from oleandershift.neighbours import PeerTable
from oleandershift.placement import LoadTracker
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
