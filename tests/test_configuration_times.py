"""Tests of when a configuration is in force at all VMs of a fleet."""

import pytest
from virtualfleet import (
    CONFIGURATION,
    LOCAL_VMS,
    SMALL_DRAIN_SECONDS,
    SMALL_LOCAL_VMS,
    STEP_SECONDS,
)

from oleandershift.io.storesync import KINDS
from standins.gateway_fleet import configuration

APPLY_SECONDS = 2.5
"""`configApplyMs` of the deployments."""

VERSION = 7
VMS = [SMALL_LOCAL_VMS, LOCAL_VMS]


def put_and_wait(fleet, vms):
    """Put a configuration; return when the last of some VMs has it, seconds."""
    fleet.store.put(CONFIGURATION, "main", configuration(VERSION))
    put_at = fleet.loop.time()
    while fleet.loop.time() < put_at + 20.0:
        versions = [vm.view.configuration for vm in vms]
        if all(cfg is not None and cfg.version == VERSION for cfg in versions):
            break
        fleet.run(STEP_SECONDS)
    return fleet.loop.time() - put_at


@pytest.fixture(params=range(3))
def make_fleet_of(request, make_fleet):
    return lambda vms: make_fleet(request.param, SMALL_DRAIN_SECONDS, vms)


@pytest.mark.parametrize("vms", VMS)
def test_configuration_is_in_force_in_time_on_a_calm_day(make_fleet_of, vms):
    fleet = make_fleet_of(vms)
    assert put_and_wait(fleet, fleet.vms.values()) <= APPLY_SECONDS


@pytest.mark.parametrize("separated", [False, True])
@pytest.mark.parametrize("vms", VMS)
def test_configuration_is_in_force_in_time_though_all_connections_went_silent(
    make_fleet_of, vms, separated
):
    fleet = make_fleet_of(vms)
    fleet.separated = separated
    fleet.store.silence()
    fleet.run(0.3)
    assert put_and_wait(fleet, fleet.vms.values()) <= APPLY_SECONDS


@pytest.mark.parametrize("separated", [False, True])
@pytest.mark.parametrize("vms", VMS)
def test_configuration_passes_by_readers_that_the_store_does_not_answer(
    make_fleet_of, vms, separated
):
    fleet = make_fleet_of(vms)
    fleet.separated = separated
    for vm in fleet.by_rank()[:2]:
        fleet.store.deaf.update((vm.name, kind) for kind in KINDS)
    assert put_and_wait(fleet, fleet.followers()) <= APPLY_SECONDS


@pytest.mark.parametrize("separated", [False, True])
@pytest.mark.parametrize("vms", VMS)
def test_configuration_passes_by_readers_that_the_store_refuses(
    make_fleet_of, vms, separated
):
    fleet = make_fleet_of(vms)
    fleet.separated = separated
    fleet.store.refused.update(vm.name for vm in fleet.by_rank()[:2])
    fleet.run(0.3)
    assert put_and_wait(fleet, fleet.followers()) <= APPLY_SECONDS
