"""Tests of which VM takes an allocator role, and which VM its clients use."""

import pytest
from virtual import SERVICE, VirtualFleet, Workload

from oleandershift.ids import Incarnation, Seq, VmId
from oleandershift.messages import ProcessId, Role, Snapshot
from oleandershift.rendezvous import allocator_for
from oleandershift.roles import TAKEOVER_EXPIRY_SECONDS

REGIONS = {r: [f"{r}1", f"{r}2"] for r in "ab"}
SLOTS = {"a-1": ("a", 4), "b-1": ("b", 4)}
TEAMS = {"t0": 1.0, "t1": 2.0}
BUSY = 0.9


@pytest.fixture
def fleet() -> VirtualFleet:
    return VirtualFleet(1, REGIONS, SLOTS, TEAMS)


def elected_and_other(fleet: VirtualFleet, region: str) -> tuple[str, str]:
    """Return the VM elected as a region's allocator, and the other one."""
    elected = allocator_for(SERVICE, region, fleet.members.values())
    (other,) = [vm for vm in REGIONS[region] if vm != elected.vm]
    return elected.vm, other


def test_brief_second_allocator_does_not_displace_elected_one(fleet) -> None:
    elected, other = elected_and_other(fleet, "b")
    fleet.run(5.0)
    partial = {vm: member for vm, member in fleet.members.items() if vm != elected}
    actions = fleet.roles[other].configure(fleet.now, fleet.table, partial, frozenset())
    fleet._act(other, actions)
    fleet.run(0.3)
    fleet.configure(other)
    fleet.add(Workload("t0", "a1", 16))
    fleet.run(2.0)
    fleet.busy_seconds = fleet.slot_seconds = 0.0
    fleet.run(4.0)
    assert fleet.utilisation() >= BUSY


@pytest.mark.parametrize(
    ("snapshot_times", "taken_over"),
    [
        ([0.0], False),
        ([0.0, 9.0], False),
        ([0.0, 0.5, 3.0, 3.5], False),
        ([0.0, 0.5, 1.0, 1.6], True),
    ],
)
def test_only_sustained_snapshots_take_over_another_vms_role(
    fleet, snapshot_times, taken_over
) -> None:
    _, other = elected_and_other(fleet, "b")
    roles = fleet.roles[other]
    router = ProcessId(VmId("b1"), Role.ROUTER, Incarnation(1))
    for index, at in enumerate(snapshot_times):
        snapshot = Snapshot(SERVICE, router, "b", "", Seq(0), Seq(index + 1))
        roles._on_router_snapshot(fleet.now + at, snapshot.service)
    roles.configure(
        fleet.now + snapshot_times[-1], fleet.table, fleet.members, frozenset()
    )
    assert bool(roles.upstream_statuses()) is taken_over


def test_gap_between_snapshots_does_not_end_a_takeover(fleet) -> None:
    _, other = elected_and_other(fleet, "b")
    roles = fleet.roles[other]
    for at in (0.0, 0.5, 1.0, 1.6, 4.0):
        roles._on_router_snapshot(fleet.now + at, SERVICE)
    roles.configure(fleet.now + 4.0, fleet.table, fleet.members, frozenset())
    assert roles.upstream_statuses()
    roles.on_tick(fleet.now + 4.0 + TAKEOVER_EXPIRY_SECONDS)
    assert not roles.upstream_statuses()
