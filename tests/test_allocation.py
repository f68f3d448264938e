"""Tests of routers and allocators together, on virtual time."""

import pytest
from virtual import VirtualFleet, Workload

from oleandershift.ids import TeamId
from oleandershift.messages import Row
from oleandershift.rows import TeamRow, encode_row

REGIONS = {r: [f"{r}{i}" for i in (1, 2, 3)] for r in "abc"}
SLOTS = {f"{r}-{i}": (r, 8) for r in "abc" for i in (1, 2)}
PLACES = ["a1", "a2", "a3", "a1", "a2", "a3", "a1", "b1", "b2", "c1"]


@pytest.fixture
def fleet() -> VirtualFleet:
    made = VirtualFleet(1, REGIONS, SLOTS, {f"t{i}": 1.0 for i in range(10)})
    for index, vm in enumerate(PLACES):
        made.add(Workload(f"t{index}", vm, 30))
    return made


def test_teams_spread_unevenly_get_equal_shares(fleet: VirtualFleet) -> None:
    fleet.run(60.0)
    service = fleet.samples[-1][1]
    assert min(service.values()) > 0.9 * max(service.values())


def test_no_upstream_runs_more_than_its_slots(fleet: VirtualFleet) -> None:
    fleet.run(60.0)
    assert max(fleet.peak_running.values()) <= 8


def test_fast_clock_of_a_router_frees_no_grant_in_use(fleet: VirtualFleet) -> None:
    send = fleet.clock_of
    fleet.clock_of = lambda vm: send(vm) + 10.0 * (vm == "a1")
    fleet.run(30.0)
    assert max(fleet.peak_running.values()) <= 8


def running_of(fleet: VirtualFleet, team: str) -> int:
    return sum(held.team == team for held in fleet.running.values())


def test_limit_of_running_requests_holds_over_routers() -> None:
    limits = {"t0": {"max_running": 3}}
    weights = {"t0": 1.0, "t1": 1.0}
    made = VirtualFleet(1, REGIONS, SLOTS, weights, limits=limits)
    for vm in ("a1", "a2", "a3"):
        made.add(Workload("t0", vm, 10))
    most = 0
    for _ in range(100):
        made.run(0.1)
        most = max(most, running_of(made, "t0"))
    assert most == 3


def test_change_of_weight_is_in_force_on_waiting_requests(fleet: VirtualFleet) -> None:
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
