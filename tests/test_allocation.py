"""Tests of routers with allocators on virtual time."""

import pytest
from virtual import VirtualFleet, Workload

from oleandershift.ids import TeamId
from oleandershift.messages import Row
from oleandershift.rows import TeamRow, encode_row

REGIONS = {r: [f"{r}{i}" for i in (1, 2, 3)] for r in "abc"}
SLOTS = {f"{r}-{i}": (r, 8) for r in "abc" for i in (1, 2)}
TEAM_VMS = ["a1", "a2", "a3", "a1", "a2", "a3", "a1", "b1", "b2", "c1"]


@pytest.fixture
def fleet() -> VirtualFleet:
    virtual_fleet = VirtualFleet(1, REGIONS, SLOTS, {f"t{i}": 1.0 for i in range(10)})
    for index, vm in enumerate(TEAM_VMS):
        virtual_fleet.add(Workload(f"t{index}", vm, 30))
    return virtual_fleet


def test_teams_spread_unevenly_get_equal_shares(fleet: VirtualFleet) -> None:
    fleet.run(60.0)
    service = fleet.samples[-1][1]
    assert min(service.values()) > 0.9 * max(service.values())


def test_no_upstream_runs_more_than_its_slots(fleet: VirtualFleet) -> None:
    fleet.run(60.0)
    assert max(fleet.peak_running.values()) <= 8


def test_router_clock_ahead_frees_no_grant_in_use(fleet: VirtualFleet) -> None:
    clock_of = fleet.clock_of
    fleet.clock_of = lambda vm: clock_of(vm) + 10.0 * (vm == "a1")
    fleet.run(30.0)
    assert max(fleet.peak_running.values()) <= 8


def count_running(fleet: VirtualFleet, team: str) -> int:
    return sum(running.team == team for running in fleet.running.values())


def test_max_running_applies_across_routers() -> None:
    limits = {"t0": {"max_running": 3}}
    weights = {"t0": 1.0, "t1": 1.0}
    virtual_fleet = VirtualFleet(1, REGIONS, SLOTS, weights, limits=limits)
    for vm in ("a1", "a2", "a3"):
        virtual_fleet.add(Workload("t0", vm, 10))
    peak = 0
    for _ in range(100):
        virtual_fleet.run(0.1)
        peak = max(peak, count_running(virtual_fleet, "t0"))
    assert peak == 3


def test_weight_change_applies_to_waiting_requests(fleet: VirtualFleet) -> None:
    fleet.run(20.0)
    before = dict(fleet.samples[-1][1])
    row = TeamRow(name=TeamId("t0"), weight=5.0)
    fleet.table.update([Row("teams", "t0", 2, encode_row(row))])
    for vm in fleet.members:
        fleet.configure(vm)
    fleet.run(60.0)
    after = fleet.samples[-1][1]
    received = {team: after[team] - before[team] for team in before}
    assert 3.5 < received["t0"] / received["t1"] < 6.5
