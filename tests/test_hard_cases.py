"""Hard cases of fair sharing, each run with and without the mechanism that handles it.

Every case runs twice: unchanged, and with one mechanism patched to be naive. The first
run must stay within the limit and the second must exceed it; otherwise the case would
not test the mechanism.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from virtual import SERVICE, NetworkFaults, VirtualFleet, Workload

from oleandershift.accounting import Accounting
from oleandershift.costs import CostModel
from oleandershift.dispatch import Action, Policy
from oleandershift.fair import FairPolicy, _AllocatorLink
from oleandershift.holdings import GrantManager
from oleandershift.ids import RegionId
from oleandershift.local import StaticSplitPolicy
from oleandershift.messages import MemberState
from oleandershift.rendezvous import allocator_for
from oleandershift.slots import SlotTable, UpstreamSlots
from oleandershift.totals import ServiceTotals

SEED = 1
WARM_UP_SECONDS = 10.0
REGIONS = {r: [f"{r}{i}" for i in (1, 2, 3)] for r in "abc"}
VMS = [vm for vms in REGIONS.values() for vm in vms]
REGION_SLOTS = 16
SLOTS = {f"{r}-{i}": (r, 8) for r in "abc" for i in (1, 2)}

Patch = pytest.MonkeyPatch


@dataclass(frozen=True)
class Measurement:
    """Measured value of a case, and its limit."""

    value: float
    limit: float


def fleet(
    weights: dict[str, float], faults: NetworkFaults | None = None
) -> VirtualFleet:
    return VirtualFleet(
        SEED, REGIONS, SLOTS, weights, make_policy, faults or NetworkFaults()
    )


def make_policy(*args: object) -> Policy:
    return POLICY[0](*args)


POLICY: dict[int, Callable[..., Policy]] = {0: FairPolicy}
"""Policy of the routers; naive variants replace the entry for the time of a run."""


def six_teams(faults: NetworkFaults | None = None) -> VirtualFleet:
    """Return a fleet with four teams in the first region, one in each other region."""
    virtual_fleet = fleet({f"t{i}": 1.0 for i in range(6)}, faults)
    for index, vm in enumerate(("a1", "a2", "a3", "a1", "b1", "c1")):
        virtual_fleet.add(Workload(f"t{index}", vm, 40))
    return virtual_fleet


def gap(virtual_fleet: VirtualFleet) -> Measurement:
    end = virtual_fleet.samples[-1][0]
    return Measurement(
        virtual_fleet.max_pairwise_gap(virtual_fleet.weights, WARM_UP_SECONDS, end),
        virtual_fleet.bound(),
    )


def mean_excess(
    virtual_fleet: VirtualFleet, seconds: float, limit: float
) -> Measurement:
    """Run for a time and return the mean number of requests beyond the slots."""
    before = virtual_fleet.excess_slot_seconds
    virtual_fleet.run(seconds)
    return Measurement((virtual_fleet.excess_slot_seconds - before) / seconds, limit)


def allocator_vm(virtual_fleet: VirtualFleet, region: str) -> str:
    allocator = allocator_for(SERVICE, RegionId(region), virtual_fleet.members.values())
    assert allocator is not None
    return allocator.vm


def split_membership(virtual_fleet: VirtualFleet, region: str) -> None:
    """Show the allocator's VM as dead to all other VMs of its region."""
    vm = allocator_vm(virtual_fleet, region)
    members = virtual_fleet.members
    dead = msgspec.structs.replace(members[vm], state=MemberState.DEAD)
    virtual_fleet.members = members | {vm: dead}
    for other in REGIONS[region]:
        if other != vm:
            virtual_fleet.configure(other)
    virtual_fleet.members = members


# Cases


def flood() -> Measurement:
    virtual_fleet = fleet({"flood": 1.0, "s1": 1.0, "s2": 1.0, "s3": 1.0})
    for vm in VMS:
        virtual_fleet.add(Workload("flood", vm, 90))
    for team, vm in zip(("s1", "s2", "s3"), ("a1", "b1", "c1"), strict=True):
        virtual_fleet.add(Workload(team, vm, 16))
    virtual_fleet.run(90.0)
    return gap(virtual_fleet)


def heavy_weight() -> Measurement:
    virtual_fleet = fleet({"heavy": 100.0, "light": 1.0})
    for vm in VMS[:3]:
        virtual_fleet.add(Workload("heavy", vm, 60))
    for vm in VMS[3:]:
        virtual_fleet.add(Workload("light", vm, 20))
    virtual_fleet.run(90.0)
    return gap(virtual_fleet)


def false_hints() -> Measurement:
    virtual_fleet = fleet({"over": 1.0, "under": 1.0, "honest": 1.0})
    virtual_fleet.add(Workload("over", "a1", 60, cost_hint=lambda cost: cost * 10))
    virtual_fleet.add(Workload("under", "a2", 60, cost_hint=lambda cost: cost / 10))
    virtual_fleet.add(Workload("honest", "b1", 60, cost_hint=lambda cost: cost))
    virtual_fleet.run(90.0)
    return gap(virtual_fleet)


def return_after_long_idle() -> Measurement:
    """Return the gap after a team has returned from a long idle time."""
    virtual_fleet = fleet({"t0": 1.0, "t1": 1.0, "t2": 1.0, "goer": 1.0})
    for index, vm in enumerate(VMS[:3]):
        virtual_fleet.add(Workload(f"t{index}", vm, 40))
    virtual_fleet.add(Workload("goer", "b1", 150, is_active=lambda now: now > 50.0))
    virtual_fleet.run(80.0)
    return Measurement(
        virtual_fleet.max_gap("goer", "t0", 51.0, 80.0), virtual_fleet.bound()
    )


def frequently_empty_queue() -> Measurement:
    """Return the lead of a team whose queue is often empty."""
    virtual_fleet = fleet({"t0": 1.0, "t1": 1.0, "t2": 1.0, "goer": 1.0})
    for index, vm in enumerate(VMS[:3]):
        virtual_fleet.add(Workload(f"t{index}", vm, 40))
    virtual_fleet.add(Workload("goer", "b1", 24))
    virtual_fleet.run(120.0)
    service = virtual_fleet.samples[-1][1]
    return Measurement(service["goer"] - service["t0"], virtual_fleet.bound())


def team_at_one_router() -> Measurement:
    virtual_fleet = fleet({"spread": 1.0, "single": 1.0})
    for vm in VMS:
        virtual_fleet.add(Workload("spread", vm, 30))
    virtual_fleet.add(Workload("single", "a1", 60))
    virtual_fleet.run(90.0)
    return gap(virtual_fleet)


def slow_upstream() -> Measurement:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    virtual_fleet.speeds["a-1"] = 50.0
    virtual_fleet.run(130.0)
    return gap(virtual_fleet)


def allocator_killed() -> Measurement:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    vm = allocator_vm(virtual_fleet, "a")
    virtual_fleet.roles.pop(vm)
    virtual_fleet.run(1.0)
    virtual_fleet.start_allocator(vm)
    result = mean_excess(virtual_fleet, 3.0, 1.0)
    virtual_fleet.run(60.0)
    assert gap(virtual_fleet).value <= virtual_fleet.bound()
    return result


def allocator_hung_gap() -> Measurement:
    """Return the gap while a live VM has no allocator process."""
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    virtual_fleet.roles.pop(allocator_vm(virtual_fleet, "a"))
    virtual_fleet.run(45.0)
    return gap(virtual_fleet)


def allocator_hung() -> Measurement:
    """Return the idle share of all slots while a live VM has no allocator process."""
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    virtual_fleet.roles.pop(allocator_vm(virtual_fleet, "a"))
    virtual_fleet.run(15.0)
    busy, slots = virtual_fleet.busy_seconds, virtual_fleet.slot_seconds
    virtual_fleet.run(30.0)
    return Measurement(
        1 - (virtual_fleet.busy_seconds - busy) / (virtual_fleet.slot_seconds - slots),
        0.1,
    )


def router_killed() -> Measurement:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    vm = next(vm for vm in ("a1", "a2", "a3") if vm != allocator_vm(virtual_fleet, "a"))
    virtual_fleet.kill(vm)
    virtual_fleet.set_member_state(vm, MemberState.DEAD)
    return mean_excess(virtual_fleet, 3.0, 1.0)


def unreliable_messages() -> Measurement:
    virtual_fleet = six_teams(
        NetworkFaults(loss=0.1, duplication=0.2, jitter_seconds=0.3)
    )
    virtual_fleet.run(90.0)
    assert gap(virtual_fleet).value <= virtual_fleet.bound()
    return Measurement(max(virtual_fleet.peak_running.values()), 8)


def two_allocators() -> Measurement:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    split_membership(virtual_fleet, "a")
    virtual_fleet.run(130.0)
    return mean_excess(virtual_fleet, 20.0, REGION_SLOTS / 2)


def region_cut_off() -> Measurement:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    virtual_fleet.faults.is_cut = lambda sender, receiver: (
        (sender[0] == "a") != (receiver[0] == "a")
    )
    virtual_fleet.run(30.0)
    virtual_fleet.faults.is_cut = lambda sender, receiver: False
    virtual_fleet.run(120.0)
    return Measurement(virtual_fleet.final_gap(), virtual_fleet.bound())


# Naive variants


def static_split(patch: Patch) -> None:
    patch.setitem(POLICY, 0, StaticSplitPolicy)


def trusted_hints(patch: Patch) -> None:
    patch.setattr(CostModel, "estimate", lambda *args: args[-1] or 500.0)
    patch.setattr(CostModel, "clamp", lambda self, key, estimate, factor: estimate)
    patch.setattr(GrantManager, "_adjust_charge", lambda self, open_grant, use: None)


def no_lift(patch: Patch) -> None:
    patch.setattr(Accounting, "lift", lambda *args: None)


def set_to_the_minimum(patch: Patch) -> None:
    def lift(self: Accounting, now: float, team: str, idle_since: float) -> None:
        min_service = self._backlog.min_settled_service_of_others(team)
        if min_service is not None:
            self.totals.charge(team, min_service - self.totals.virtual_service(team))
            self._update_backlog(team)

    patch.setattr(Accounting, "lift", lift)


def no_recovery(patch: Patch) -> None:
    patch.setattr(SlotTable, "set_recovering", lambda self, recovering: None)
    patch.setattr(SlotTable, "free_slots", _free_without_recovery)
    patch.setattr(UpstreamSlots, "apply_load", lambda self, load: None)
    patch.setattr(GrantManager, "_apply_unknown_use", lambda *args: None)


def _free_without_recovery(self: SlotTable, upstream_slots: UpstreamSlots) -> int:
    return max(0, upstream_slots.row.slots - upstream_slots.open_grants)


def no_answer_timeout(patch: Patch) -> None:
    patch.setattr(_AllocatorLink, "check_answer_timeout", lambda *args: None)


def immediate_release(patch: Patch) -> None:
    def on_client_lost(self: GrantManager, now: float, client: str) -> None:
        for open_grant in self._open_grants.orphan_client(now, client):
            self._close_grant(now, open_grant)

    patch.setattr(GrantManager, "on_client_lost", on_client_lost)
    patch.setattr(UpstreamSlots, "apply_load", lambda self, load: None)


def no_duplicate_check(patch: Patch) -> None:
    on_grant = FairPolicy._on_grant

    def without_duplicate_check(self: FairPolicy, *args: Any) -> list[Action]:
        self._link(args[1]).grant_deadlines.clear()
        return on_grant(self, *args)

    patch.setattr(FairPolicy, "_on_grant", without_duplicate_check)


def no_load_reports(patch: Patch) -> None:
    patch.setattr(UpstreamSlots, "apply_load", lambda self, load: None)


def no_exchange(patch: Patch) -> None:
    patch.setattr(ServiceTotals, "merge", lambda *args: frozenset())


CASES = [
    (flood, static_split),
    (heavy_weight, static_split),
    (false_hints, trusted_hints),
    (return_after_long_idle, no_lift),
    (frequently_empty_queue, set_to_the_minimum),
    (team_at_one_router, static_split),
    (slow_upstream, static_split),
    (allocator_killed, no_recovery),
    (allocator_hung, no_answer_timeout),
    (allocator_hung_gap, no_answer_timeout),
    (router_killed, immediate_release),
    (unreliable_messages, no_duplicate_check),
    (two_allocators, no_load_reports),
    (region_cut_off, no_exchange),
]


@pytest.mark.parametrize(("case", "naive"), CASES, ids=[c.__name__ for c, _ in CASES])
def test_case_stays_within_its_limit_unless_naive(
    case: Callable[[], Measurement],
    naive: Callable[[Patch], None],
    monkeypatch: Patch,
) -> None:
    result = case()
    print("fair", result)
    with monkeypatch.context() as patch:
        naive(patch)
        naive_result = case()
    print("naive", naive_result)
    assert result.value <= result.limit
    assert naive_result.value > naive_result.limit


def test_gap_returns_within_its_bound_after_a_membership_split() -> None:
    virtual_fleet = six_teams()
    virtual_fleet.run(20.0)
    split_membership(virtual_fleet, "a")
    virtual_fleet.run(30.0)
    split_gap = virtual_fleet.final_gap()
    for vm in VMS:
        virtual_fleet.configure(vm)
    virtual_fleet.run(90.0)
    print("gap at the end of the split", split_gap, "later", virtual_fleet.final_gap())
    assert virtual_fleet.final_gap() <= virtual_fleet.bound()
