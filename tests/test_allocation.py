"""Tests of routers and allocators together, on virtual time."""

import pytest
from virtual import Fleet, Load

REGIONS = {r: [f"{r}{i}" for i in (1, 2, 3)] for r in "abc"}
SLOTS = {f"{r}-{i}": (r, 8) for r in "abc" for i in (1, 2)}
PLACES = ["a1", "a2", "a3", "a1", "a2", "a3", "a1", "b1", "b2", "c1"]


@pytest.fixture
def fleet() -> Fleet:
    made = Fleet(1, REGIONS, SLOTS, {f"t{i}": 1.0 for i in range(10)})
    for index, vm in enumerate(PLACES):
        made.add(Load(f"t{index}", vm, 30))
    return made


def test_teams_spread_unevenly_get_equal_shares(fleet: Fleet) -> None:
    fleet.run(60.0)
    service = fleet.samples[-1][1]
    assert min(service.values()) > 0.9 * max(service.values())


def test_no_upstream_runs_more_than_its_slots(fleet: Fleet) -> None:
    fleet.run(60.0)
    assert max(fleet.most_running.values()) <= 8


def test_fast_clock_of_a_router_frees_no_grant_in_use(fleet: Fleet) -> None:
    send = fleet.stamp
    fleet.stamp = lambda vm: send(vm) + 10.0 * (vm == "a1")
    fleet.run(30.0)
    assert max(fleet.most_running.values()) <= 8
