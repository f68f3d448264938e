"""Cases of the bench: loads, and faults injected into the fleet under load."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import TypeAlias

import msgspec
import urllib3

from oleandershift.ids import VmId
from oleandershift.messages import Role
from standins.calls import CallRecord
from standins.faults import UpstreamFaults
from standins.fleet import Fleet
from standins.fleet_file import FleetFile
from standins.load import TeamLoad, backlogged_loads
from standins.sampling import sample_fleet
from standins.workload import RequestMix

EXTRA_CALLERS = 8
FLOOD_FACTOR = 50
HEAVY_WEIGHT = 100.0
WRONG_HINT_FACTOR = 10.0
SLOW_FACTOR = 10.0
FAULT_START_FRACTION = 0.3
FAULT_END_FRACTION = 0.6

LoadFactory: TypeAlias = Callable[[FleetFile], dict[str, TeamLoad]]


@dataclass(frozen=True)
class ScheduledAction:
    """Action on the fleet during a run, such as a fault or its end.

    Parameters
    ----------
    window_fraction : float
        Fraction of the measured window after which the action runs.
    action : callable
        Function that performs the action.
    """

    window_fraction: float
    action: Callable[[Fleet], None]


def backlog_every_team(fleet: FleetFile) -> dict[str, TeamLoad]:
    """Return loads under which every team is always backlogged."""
    return backlogged_loads(fleet, RequestMix(), EXTRA_CALLERS)


def _small_team(fleet: FleetFile) -> str:
    return next(team.name for team in fleet.teams if team.weight == 1.0)


def _flood(fleet: FleetFile) -> dict[str, TeamLoad]:
    loads = backlog_every_team(fleet)
    name = _small_team(fleet)
    share = 1.0 / sum(team.weight for team in fleet.teams)
    slots = sum(upstream.slots for upstream in fleet.upstreams_of(fleet.engine_service))
    loads[name] = replace(loads[name], callers=round(FLOOD_FACTOR * share * slots))
    return loads


def _wrong_hints(fleet: FleetFile) -> dict[str, TeamLoad]:
    loads = backlog_every_team(fleet)
    factors = (WRONG_HINT_FACTOR, 1 / WRONG_HINT_FACTOR)
    for team, factor in zip(fleet.teams, factors, strict=False):
        mix = RequestMix(hint_share=1.0, hint_factor=factor)
        loads[team.name] = replace(loads[team.name], mix=mix)
    return loads


def _engine_control_url(fleet: Fleet) -> str:
    service = fleet.addresses.engine_service
    return fleet.addresses.upstreams_of(service)[0].control


def _set_engine_faults(fleet: Fleet, faults: UpstreamFaults) -> None:
    url = f"{_engine_control_url(fleet)}/faults"
    urllib3.request("PUT", url, body=msgspec.json.encode(faults), timeout=5.0)


def _slow_engine(fleet: Fleet) -> None:
    _set_engine_faults(fleet, UpstreamFaults(slow_factor=SLOW_FACTOR))


def _clear_engine_faults(fleet: Fleet) -> None:
    _set_engine_faults(fleet, UpstreamFaults())


def _first_vm(fleet: Fleet) -> VmId:
    return fleet.plan.vms[0].name


def _granting_vm(fleet: Fleet) -> VmId:
    """Return a VM of the busiest region whose allocator grants engines' slots."""
    region = fleet.plan.regions[0]
    service = fleet.plan.engine_service
    for report in sample_fleet(fleet, time.time()).reports:
        grants_slots = any(upstream.service == service for upstream in report.upstreams)
        if grants_slots and fleet.addresses.vm(report.process.vm).region == region:
            return report.process.vm
    return _first_vm(fleet)


def _kill_router(fleet: Fleet) -> None:
    fleet.daemon(_first_vm(fleet), Role.ROUTER).kill()


def _kill_allocator(fleet: Fleet) -> None:
    fleet.daemon(_granting_vm(fleet), Role.ALLOCATOR).kill()


def _kill_allocators_of_region(fleet: Fleet) -> None:
    for vm in fleet.plan.vms:
        if vm.region == fleet.plan.regions[0]:
            fleet.daemon(vm.name, Role.ALLOCATOR).kill()


def _restart_daemons(fleet: Fleet) -> None:
    """Start every daemon that is not running."""
    for role in Role:
        for child in fleet.daemons(role):
            if not child.is_running():
                child.start()


def _freeze_vm(fleet: Fleet) -> None:
    for child in fleet.vm_processes(_first_vm(fleet)):
        child.freeze()


def _thaw_vm(fleet: Fleet) -> None:
    for child in fleet.vm_processes(_first_vm(fleet)):
        child.thaw()


@dataclass(frozen=True)
class Case:
    """One case of the bench.

    Parameters
    ----------
    description : str
        Description for the report.
    loads : callable
        Function that returns the load of each team for a fleet.
    actions : tuple of ScheduledAction
        Actions during the run, in order of time.
    weights : mapping of int to float
        Weights that replace the preset's, by index of the team.
    single_entry : bool
        Whether the first team sends all requests to a single router.
    """

    description: str
    loads: LoadFactory = backlog_every_team
    actions: tuple[ScheduledAction, ...] = ()
    weights: Mapping[int, float] = field(default_factory=lambda: MappingProxyType({}))
    single_entry: bool = False


def _fault_case(
    description: str, inject: Callable[[Fleet], None], clear: Callable[[Fleet], None]
) -> Case:
    return Case(
        description,
        actions=(
            ScheduledAction(FAULT_START_FRACTION, inject),
            ScheduledAction(FAULT_END_FRACTION, clear),
        ),
    )


CASES = {
    "backlog": Case("every team is backlogged throughout the run"),
    "flood": Case("a small team sends 50 times its share", _flood),
    "heavy": Case(
        "a team of weight 100 beside teams of weight 1",
        weights=MappingProxyType({0: HEAVY_WEIGHT, 3: 1.0}),
    ),
    "hints": Case(
        "the cost hints of two teams are wrong, ten times too high and too low",
        _wrong_hints,
    ),
    "entry": Case(
        "all requests of the largest team go to one router", single_entry=True
    ),
    "slow": _fault_case(
        "an engine slows down to a tenth of its speed",
        _slow_engine,
        _clear_engine_faults,
    ),
    "kill-allocator": _fault_case(
        "the allocator that grants the busiest region's engines is killed",
        _kill_allocator,
        _restart_daemons,
    ),
    "kill-allocators": _fault_case(
        "all allocators of the busiest region are killed and restarted",
        _kill_allocators_of_region,
        _restart_daemons,
    ),
    "kill-router": _fault_case(
        "a router is killed and restarted", _kill_router, _restart_daemons
    ),
    "freeze-vm": _fault_case("a VM is frozen and resumed", _freeze_vm, _thaw_vm),
}
"""Cases by name."""


class ActionRunner:
    """Runs the actions of a case when they are due.

    Parameters
    ----------
    fleet : Fleet
        Fleet on which the actions run.
    case : Case
        Case with the actions.
    seconds : float
        Length of the measured window in seconds.
    """

    def __init__(self, fleet: Fleet, case: Case, seconds: float) -> None:
        self._fleet = fleet
        self._pending = list(case.actions)
        self._seconds = seconds

    def __call__(
        self, elapsed_seconds: float, _records: tuple[CallRecord, ...]
    ) -> None:
        """Run the actions that are due."""
        while (
            self._pending
            and elapsed_seconds >= self._pending[0].window_fraction * self._seconds
        ):
            self._pending.pop(0).action(self._fleet)
