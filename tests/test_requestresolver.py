"""Tests of how a VM resolves requests that its configuration does not allow."""

import pytest
from returns.result import Success

from oleandershift.arrivals import ArrivalClock
from oleandershift.demand import DemandMeter
from oleandershift.digests import Digest, Scope
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, Incarnation, Seq, VmId
from oleandershift.io.callers import CallerRequest
from oleandershift.io.requestresolver import RefusalError, RequestResolver
from oleandershift.neighbours import DIGEST_TTL_SECONDS, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.platform import configuration as decoder
from oleandershift.state import FleetState
from standins.gateway_fleet import HOST, KEY, configuration

VERSION = 7


@pytest.fixture
def instant(monkeypatch):
    """Return the time of the resolver."""
    monkeypatch.setattr("oleandershift.io.requestresolver.now", lambda: 100.0)
    return 100.0


@pytest.fixture
def state():
    view = FleetView()
    decoded = decoder.decode(configuration(VERSION))
    assert isinstance(decoded, Success)
    view.update_configuration(decoded.unwrap())
    view.directory.loaded = True
    table = PeerTable(VmId("vm"), DataCentreId("here"))
    return FleetState(table, view, LoadTracker(10.0), DemandMeter(4.0))


def digest(version, data_centre="here", seq=1):
    return Digest(
        vm=VmId("other"),
        data_centre=DataCentreId(data_centre),
        incarnation=Incarnation(1),
        seq=Seq(seq),
        scope=Scope.VM if data_centre == "here" else Scope.DATA_CENTRE,
        vms=1,
        configuration=version,
        revision=1,
        host="127.0.0.1",
        port=1,
        work=(),
        demand=(),
    )


def refusal_status(state, instant, path, key=KEY):
    fields = [(b"host", HOST.encode()), (b"authorization", b"Bearer " + key.encode())]
    req = CallerRequest(b"POST", path.encode(), fields, b"", instant, keep_alive=True)
    with pytest.raises(RefusalError) as raised:
        RequestResolver(state, ArrivalClock(instant)).resolve(req)
    return raised.value.status


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/new/x", KEY, 404), ("/read/x", "new-key", 401)]
)
@pytest.mark.parametrize("data_centre", ["here", "there"])
def test_vm_that_is_behind_refuses_for_now_what_a_newer_version_may_allow(
    state, instant, path, key, status, data_centre
):
    assert refusal_status(state, instant, path, key) == status
    state.peers.merge(instant, digest(VERSION, data_centre))
    assert refusal_status(state, instant, path, key) == status
    state.peers.merge(instant, digest(VERSION + 1, data_centre, seq=2))
    assert refusal_status(state, instant, path, key) == 503


def test_newer_version_of_a_vm_that_is_gone_does_not_count(state, instant):
    state.peers.merge(instant - DIGEST_TTL_SECONDS, digest(VERSION + 1))
    assert refusal_status(state, instant, "/new/x") == 404
