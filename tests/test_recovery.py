"""Tests of recovery from random faults on virtual time.

No upstream may exceed its slots during the faults. Afterwards every request must
finish and every slot must be free again.
"""

from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from virtual import NetworkFaults, VirtualFleet, Workload

from oleandershift.messages import MemberState

REGIONS = {r: [f"{r}1", f"{r}2"] for r in "ab"}
SLOTS = {"a-1": ("a", 4), "b-1": ("b", 4)}
TEAMS = {"t0": 1.0, "t1": 2.0, "t2": 0.5}
STEP_SECONDS = 3.0
SETTLE_SECONDS = 140.0
"""Longer than the lifetime of an orphaned grant."""


def restart_allocator(fleet: VirtualFleet, vm: str) -> None:
    fleet.start_allocator(vm)


def restart_router(fleet: VirtualFleet, vm: str) -> None:
    for request, load in fleet.workload_of.items():
        if load.vm == vm:
            fleet.costs[request] = 0.0
    for key in fleet.outstanding:
        if key[1] == vm:
            fleet.outstanding[key] = 0
    fleet.start_router(vm)


def freeze(fleet: VirtualFleet, vm: str) -> None:
    fleet.frozen.add(vm)


def declare_dead(fleet: VirtualFleet, vm: str) -> None:
    fleet.set_member_state(vm, MemberState.DEAD)


def partition_regions(fleet: VirtualFleet, vm: str) -> None:
    fleet.faults.is_cut = lambda sender, receiver: sender[0] != receiver[0]


def lose_messages(fleet: VirtualFleet, vm: str) -> None:
    fleet.faults.loss = fleet.faults.duplication = 0.3
    fleet.faults.jitter_seconds = 0.2


FAULTS = [
    restart_allocator,
    restart_router,
    freeze,
    declare_dead,
    partition_regions,
    lose_messages,
]


def heal(fleet: VirtualFleet) -> None:
    fleet.frozen.clear()
    fleet.faults = NetworkFaults()
    for vm in fleet.members:
        fleet.set_member_state(vm, MemberState.ALIVE)


@settings(
    max_examples=15,
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.integers(0, 10_000),
    st.lists(
        st.tuples(st.sampled_from(FAULTS), st.sampled_from(["a1", "a2", "b1", "b2"])),
        min_size=1,
        max_size=4,
    ),
)
def test_all_requests_finish_and_slots_are_free_after_faults(seed, script) -> None:
    fleet = VirtualFleet(seed, REGIONS, SLOTS, TEAMS)
    load_ends_at = 5.0 + STEP_SECONDS * len(script)
    for index, team in enumerate(TEAMS):
        vm = ("a1", "a2", "b1")[index]
        fleet.add(Workload(team, vm, 8, is_active=lambda now: now < load_ends_at))
    fleet.run(5.0)
    for inject_fault, vm in script:
        inject_fault(fleet, vm)
        fleet.run(STEP_SECONDS)
    heal(fleet)
    fleet.run(SETTLE_SECONDS)
    waiting = sum(s.waiting for r in fleet.routers.values() for s in r.team_statuses())
    running = sum(s.running for r in fleet.routers.values() for s in r.team_statuses())
    taken_slots = sum(
        s.slots_in_use
        for roles in fleet.roles.values()
        for s in roles.upstream_statuses()
    )
    assert (waiting, running, taken_slots) == (0, 0, 0)
