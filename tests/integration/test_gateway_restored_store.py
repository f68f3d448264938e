"""Gateways beside a store that comes back from an older copy."""

import time
from collections.abc import Iterator

import pytest

from standins.gateway_fleet import (
    GatewayFleet,
    configuration,
    route,
    running_fleet,
    wait_for_new_route,
    wait_until,
)
from standins.metastore import StoreMode

CONFIGURATION_APPLY_SECONDS = 2.5
"""`configApplyMs` of the gateways' settings."""

REREGISTRATION_SECONDS = 2.0
OUTAGE_SECONDS = 1.5
LOST_CHANGES = 10


@pytest.fixture(params=[1, 4])
def fleet(request, tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, gateways=request.param) as running:
        yield running


def change_registrations(fleet, count, start=0):
    """Change the registration of an upstream, each time with a new revision."""
    entry = fleet.engines["e1"].entry("model", "one")
    for number in range(start, start + count):
        fleet.store.put("servers", "e1", {**entry, "slots": 100 + number})


def lose_changes(fleet, copy):
    """Let the store be away for a moment and come back from an older copy."""
    fleet.store.set_mode(StoreMode.RESET)
    time.sleep(OUTAGE_SECONDS)
    fleet.store.restore(copy)


def revision_of(gateway):
    (line,) = (
        line
        for line in gateway.metrics().splitlines()
        if line.startswith("oleander_upstreams_revision ")
    )
    return float(line.split()[1])


def wait_until_read(fleet):
    """Wait until all gateways have read the latest change of an upstream."""
    latest = fleet.store.put("servers", "probe", {})
    for gateway in fleet.gateways:
        wait_until(
            lambda gateway=gateway: revision_of(gateway) >= latest,
            f"{gateway.name} has read revision {latest}",
        )


def put_new_route(fleet):
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)


def statuses(fleet, path):
    return [
        gateway.call(path, f"a-{gateway.name}").status for gateway in fleet.gateways
    ]


def test_configuration_whose_revision_is_given_out_again_is_in_force_in_time(fleet):
    copy = fleet.store.copy()
    change_registrations(fleet, LOST_CHANGES)
    wait_until_read(fleet)
    lose_changes(fleet, copy)
    put_new_route(fleet)
    change_registrations(fleet, 2 * LOST_CHANGES, start=LOST_CHANGES)
    fleet.store.set_mode(StoreMode.SERVE)
    time.sleep(CONFIGURATION_APPLY_SECONDS)
    assert statuses(fleet, "/new/x") == [200] * len(fleet.gateways)


def test_configuration_that_a_copy_lacks_stays_in_force(fleet):
    copy = fleet.store.copy()
    put_new_route(fleet)
    wait_for_new_route(fleet.gateways)
    lose_changes(fleet, copy)
    fleet.store.set_mode(StoreMode.SERVE)
    time.sleep(CONFIGURATION_APPLY_SECONDS)
    assert statuses(fleet, "/new/x") == [200] * len(fleet.gateways)


def test_upstream_that_registers_at_a_revision_given_out_again_gets_requests(fleet):
    copy = fleet.store.copy()
    change_registrations(fleet, LOST_CHANGES)
    wait_until_read(fleet)
    lose_changes(fleet, copy)
    fleet.store.set_mode(StoreMode.SERVE)
    added = fleet.add_engine("e3")
    time.sleep(REREGISTRATION_SECONDS)
    for name in ("e1", "e2"):
        fleet.store.put(
            "servers", name, fleet.engines[name].entry("model", "one", "draining")
        )
    time.sleep(REREGISTRATION_SECONDS)
    assert statuses(fleet, "/read/x") == [200] * len(fleet.gateways)
    assert added.runs().total() == len(fleet.gateways)


def test_upstream_that_had_left_before_the_loss_gets_no_requests(fleet):
    copy = fleet.store.copy()
    left = fleet.engines["e2"]
    fleet.store.delete("servers", "e2")
    for gateway in fleet.gateways:
        wait_until(
            lambda gateway=gateway: "oleander_upstreams 1.0" in gateway.metrics(),
            f"{gateway.name} has removed the upstream",
        )
    lose_changes(fleet, copy)
    fleet.store.set_mode(StoreMode.SERVE)
    time.sleep(REREGISTRATION_SECONDS)
    runs_before = left.runs().total()
    for number in range(4):
        for gateway in fleet.gateways:
            assert gateway.call("/read/x", f"b{number}-{gateway.name}").status == 200
    assert left.runs().total() == runs_before


def test_vms_register_again_after_the_store_lost_their_registrations(fleet):
    names = {gateway.name for gateway in fleet.gateways}
    wait_until(
        lambda: set(fleet.store.names("gateways")) == names, "all VMs are registered"
    )
    copy = fleet.store.copy()
    for name in names:
        del copy.objects["gateways", name]
    lose_changes(fleet, copy)
    fleet.store.set_mode(StoreMode.SERVE)
    wait_until(
        lambda: set(fleet.store.names("gateways")) == names, "all VMs are registered"
    )


def test_vm_that_starts_beside_an_older_copy_learns_the_configuration_from_others(
    fleet,
):
    copy = fleet.store.copy()
    put_new_route(fleet)
    wait_for_new_route(fleet.gateways)
    lose_changes(fleet, copy)
    fleet.store.set_mode(StoreMode.SERVE)
    started = fleet.add_gateway()
    wait_until(started.is_ready, "the new VM is ready")
    time.sleep(CONFIGURATION_APPLY_SECONDS)
    assert started.call("/new/x", "b").status == 200
