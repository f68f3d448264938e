"""Tests of which VM plays an allocator's role, and of who is believed to."""

import pytest
from virtual import SERVICE, VirtualFleet, Workload

from oleandershift.ids import Incarnation, Seq, VmId
from oleandershift.messages import ProcessId, Role, Snapshot
from oleandershift.rendezvous import allocator_for

REGIONS = {r: [f"{r}1", f"{r}2"] for r in "ab"}
SLOTS = {"a-1": ("a", 4), "b-1": ("b", 4)}
TEAMS = {"t0": 1.0, "t1": 2.0}
BUSY = 0.9


@pytest.fixture
def fleet() -> VirtualFleet:
    return VirtualFleet(1, REGIONS, SLOTS, TEAMS)


def split(fleet: VirtualFleet, region: str) -> tuple[str, str]:
    """Return the VM that a region's role falls on, and the other one."""
    chosen = allocator_for(SERVICE, region, fleet.members.values())
    (other,) = [vm for vm in REGIONS[region] if vm != chosen.vm]
    return chosen.vm, other


def test_role_held_for_a_moment_does_not_shut_out_the_true_allocator(fleet) -> None:
    true, other = split(fleet, "b")
    fleet.run(5.0)
    partial = {vm: member for vm, member in fleet.members.items() if vm != true}
    taken = fleet.roles[other].configure(fleet.now, fleet.table, partial, frozenset())
    fleet._act(other, taken)
    fleet.run(0.3)
    fleet.configure(other)
    fleet.add(Workload("t0", "a1", 16))
    fleet.run(2.0)
    fleet.busy_seconds = fleet.slot_seconds = 0.0
    fleet.run(4.0)
    assert fleet.utilisation() >= BUSY


@pytest.mark.parametrize(
    ("calls", "taken"),
    [
        ([0.0], False),
        ([0.0, 9.0], False),
        ([0.0, 0.5, 3.0, 3.5], False),
        ([0.0, 0.5, 1.0, 1.6], True),
    ],
)
def test_only_lasting_calls_take_another_vms_role(fleet, calls, taken) -> None:
    _, other = split(fleet, "b")
    roles = fleet.roles[other]
    router = ProcessId(VmId("b1"), Role.ROUTER, Incarnation(1))
    for index, at in enumerate(calls):
        snapshot = Snapshot(SERVICE, router, "b", "", Seq(0), Seq(index + 1))
        roles._take_call(fleet.now + at, snapshot.service)
    roles.configure(fleet.now + calls[-1], fleet.table, fleet.members, frozenset())
    assert bool(roles.upstreams()) is taken
