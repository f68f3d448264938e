"""Cases of the bench: loads, and harm done to the fleet under them."""

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
    """Something done to a fleet during a run.

    Parameters
    ----------
    window_fraction : float
        Part of the measured window after which it is done.
    action : callable
        Does it.
    """

    window_fraction: float
    action: Callable[[Fleet], None]


def backlog_every_team(fleet: FleetFile) -> dict[str, TeamLoad]:
    """Return loads that keep every team backlogged."""
    return backlogged_loads(fleet, RequestMix(), EXTRA_CALLERS)


def _small_team(fleet: FleetFile) -> str:
    return next(team.name for team in fleet.teams if team.weight == 1.0)


def _flood(fleet: FleetFile) -> dict[str, TeamLoad]:
    loads = backlog_every_team(fleet)
    name = _small_team(fleet)
    share = 1.0 / sum(team.weight for team in fleet.teams)
    slots = sum(one.slots for one in fleet.upstreams_of(fleet.engine_service))
    loads[name] = replace(loads[name], callers=round(FLOOD_FACTOR * share * slots))
    return loads


def _wrong_hints(fleet: FleetFile) -> dict[str, TeamLoad]:
    loads = backlog_every_team(fleet)
    factors = (WRONG_HINT_FACTOR, 1 / WRONG_HINT_FACTOR)
    for team, factor in zip(fleet.teams, factors, strict=False):
        mix = RequestMix(hint_share=1.0, hint_factor=factor)
        loads[team.name] = replace(loads[team.name], mix=mix)
    return loads


def _engine_control(fleet: Fleet) -> str:
    service = fleet.addresses.engine_service
    return fleet.addresses.upstreams_of(service)[0].control


def _set_faults(fleet: Fleet, faults: UpstreamFaults) -> None:
    url = f"{_engine_control(fleet)}/faults"
    urllib3.request("PUT", url, body=msgspec.json.encode(faults), timeout=5.0)


def _slow(fleet: Fleet) -> None:
    _set_faults(fleet, UpstreamFaults(slow_factor=SLOW_FACTOR))


def _heal(fleet: Fleet) -> None:
    _set_faults(fleet, UpstreamFaults())


def _first_vm(fleet: Fleet) -> VmId:
    return fleet.plan.vms[0].name


def _granting_vm(fleet: Fleet) -> VmId:
    """Return a VM of the busiest region whose allocator grants engines' slots."""
    region = fleet.plan.regions[0]
    service = fleet.plan.engine_service
    for report in sample_fleet(fleet, time.time()).reports:
        serves = any(one.service == service for one in report.upstreams)
        if serves and fleet.addresses.vm(report.process.vm).region == region:
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


def _restart(fleet: Fleet) -> None:
    """Start every daemon that has ended."""
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
    """One case.

    Parameters
    ----------
    description : str
        What it is about.
    loads : callable
        Load by team for a fleet.
    actions : tuple of Harm
        What is done meanwhile, in order.
    weights : mapping of str to float
        Weights other than the preset's, by position of the team.
    single_entry : bool
        The first team enters at a single router.
    """

    description: str
    loads: LoadFactory = backlog_every_team
    actions: tuple[ScheduledAction, ...] = ()
    weights: Mapping[int, float] = field(default_factory=lambda: MappingProxyType({}))
    single_entry: bool = False


def _harmed(
    purpose: str, harm: Callable[[Fleet], None], heal: Callable[[Fleet], None]
) -> Case:
    return Case(
        purpose,
        actions=(
            ScheduledAction(FAULT_START_FRACTION, harm),
            ScheduledAction(FAULT_END_FRACTION, heal),
        ),
    )


CASES = {
    "backlog": Case("every team is backlogged all along"),
    "flood": Case("a small team sends 50 times its share", _flood),
    "heavy": Case(
        "a team of weight 100 beside teams of weight 1",
        weights=MappingProxyType({0: HEAVY_WEIGHT, 3: 1.0}),
    ),
    "hints": Case("two teams' hints are ten times off, one each way", _wrong_hints),
    "entry": Case("all of the largest team at one router", single_entry=True),
    "slow": _harmed("an engine slows to a tenth", _slow, _heal),
    "kill-allocator": _harmed(
        "the allocator that grants the busiest region's engines is killed",
        _kill_allocator,
        _restart,
    ),
    "kill-allocators": _harmed(
        "all allocators of the busiest region are killed and come back",
        _kill_allocators_of_region,
        _restart,
    ),
    "kill-router": _harmed("a router is killed and comes back", _kill_router, _restart),
    "freeze-vm": _harmed("a VM is paused and goes on", _freeze_vm, _thaw_vm),
}
"""Cases by name."""


class ActionRunner:
    """Does the harms of a case when their time has come.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    case : Case
        The case.
    seconds : float
        Length of the measured window.
    """

    def __init__(self, fleet: Fleet, case: Case, seconds: float) -> None:
        self._fleet = fleet
        self._left = list(case.actions)
        self._seconds = seconds

    def __call__(self, gone: float, _records: tuple[CallRecord, ...]) -> None:
        """Do what is due."""
        while self._left and gone >= self._left[0].window_fraction * self._seconds:
            self._left.pop(0).action(self._fleet)
